// Clients send orders on kept connections to a machine that is stopped as planned meanwhile, and
// read the answers two seconds late, well before their deadline.
#include <algorithm>
#include <csignal>
#include <string>

#include "../support-2/deployment.hpp"

namespace {

using namespace review;  // NOLINT: the case is written in the words of the stand-ins.

constexpr int kMemoryMb = 130;
constexpr int kRate = 100;
constexpr int kClients = 5;
constexpr int kDeadlineMs = 3000;
/// The longest answer of the sheet's services.
constexpr std::size_t kAnswerBytes = 4'800;
/// Small windows, so that a client that doesn't read blocks the writer.
constexpr int kReceiveBuffer = 2'304;
constexpr int kWorkMs = 78;
constexpr int kTermAtMs = 40;
constexpr int kReadAtMs = 2'500;

struct Order {
  bool first_answered = false;
  bool whole = false;
  bool reset = false;
  std::size_t bytes = 0;
  double took = 0;
};

std::string OrderText(const std::string& id) {
  return "POST /order/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
         "\r\nAuthorization: Bearer key1\r\nContent-Length: 4\r\n\r\nbook";
}

// One order on a kept connection, whose answer is read `read_at_ms` after it was sent.
Order Send(std::uint16_t port, const std::string& id, int read_at_ms, std::atomic<int>& sent) {
  Order order;
  const auto socket = Socket::Connect(port, kReceiveBuffer);
  if (!socket) return order;
  std::string buffer;
  socket->Send(OrderText("first-" + id));
  const auto first = ReadMessage(*socket, buffer, kDeadlineMs);
  order.first_answered = first && first->whole && first->Status() == 200;
  ++sent;
  while (sent % kClients != 0) SleepMs(1);
  const double begin = Elapsed();
  socket->Send(OrderText(id));
  SleepMs(read_at_ms);
  while (socket->Receive(buffer, kDeadlineMs - read_at_ms)) {
    if (buffer.find("\r\n\r\n") == std::string::npos) continue;
    if (buffer.size() >= buffer.find("\r\n\r\n") + 4 + kAnswerBytes) break;
  }
  order.took = Elapsed() - begin;
  order.reset = socket->WasReset();
  order.bytes = buffer.size();
  const auto body = buffer.find("\r\n\r\n");
  order.whole = buffer.starts_with("HTTP/1.1 200") && body != std::string::npos &&
                buffer.size() == body + 4 + kAnswerBytes;
  return order;
}

// Sends the orders to the machine and counts those whose connection ended without a whole answer.
int CountCut(Machine& machine, const std::string& prefix, bool term, Record& record) {
  std::vector<Order> orders(kClients);
  std::atomic<int> sent{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      orders[n] = Send(machine.Port(), prefix + std::to_string(n), Trouble() ? kReadAtMs : 0, sent);
    });
  }
  while (sent < kClients) SleepMs(1);
  SleepMs(kTermAtMs);
  if (term) {
    machine.Signal(SIGTERM);
    record.Line("SIGTERM to " + machine.Name());
  }
  for (auto& client : clients) client.join();
  int cut = 0;
  for (int n = 0; n < kClients; ++n) {
    const Order& one = orders[n];
    const bool counts = one.first_answered && !one.whole && one.took * 1000 < kDeadlineMs;
    if (counts) ++cut;
    record.Line("order " + prefix + std::to_string(n) + ": whole answer " +
                (one.whole ? "yes" : "no") + ", " + std::to_string(one.bytes) + " bytes, reset " +
                (one.reset ? "yes" : "no") + ", after " + std::to_string(one.took) + " s");
  }
  return cut;
}

int Run() {
  Record record("review/10/record.txt");
  Store store;
  PutConfiguration(store, kRate, kDeadlineMs);
  std::atomic<int> ran{0};
  Worker worker(store, "w1", "desk", "austin-east", [&](const Message& request, Socket& socket) {
    ++ran;
    SleepMs(kWorkMs);
    socket.Send(Worker::Reply(request, std::string(kAnswerBytes, 'r')));
  });
  Worker second(store, "w2", "agents", "austin-east",
                [](const Message& request, Socket& socket) { AnswerTurn(request, socket, 0); });
  std::vector<std::unique_ptr<Machine>> machines;
  for (const char* zone : {"austin-east", "austin-north", "san-marcos"}) {
    machines.push_back(
        std::make_unique<Machine>(std::string("front-") + zone + "-1", zone, store, kMemoryMb));
  }
  if (!StartAll(machines, record)) return kNotRun;
  const int calm = CountCut(*machines[1], "calm-", false, record);
  record.Line("without a stop, connections that ended without a whole answer: " +
              std::to_string(calm) + " of " + std::to_string(kClients) + " (not judged)");
  const int cut = CountCut(*machines[0], "planned-", true, record);
  record.Line("orders that ran: " + std::to_string(ran) + " of " + std::to_string(4 * kClients));
  if (ran < 4 * kClients) return kNotRun;
  record.Line("beside the stop, connections that ended without a whole answer: " +
              std::to_string(cut) + " of " + std::to_string(kClients));
  record.Line(cut > 0 ? "LOST: broken" : "LOST: held");
  return cut > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return Run(); }
