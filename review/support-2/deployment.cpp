#include "deployment.hpp"

#include <array>
#include <cstdio>

namespace review {
namespace {

constexpr int kEvents = 5;
constexpr int kPollMs = 10;
constexpr int kRestartDelayMs = 500;
/// Traffic starts 10 s after the machines do.
constexpr int kTrafficAfterS = 10;

std::string Tenant(const std::string& name, const std::string& key, int rate) {
  const std::string text = std::to_string(rate);
  return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"],\"rate_per_s\":" + text +
         ",\"burst\":" + text + "}";
}

}  // namespace

void PutConfiguration(Store& store, int rate, int order_timeout_ms) {
  store.Put(
      "keyed.op", "config",
      "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"routes\":["
      "{\"name\":\"turns\",\"host\":\"app.example\",\"path_prefix\":\"/turn/\","
      "\"service\":\"agents\",\"kind\":\"stream\",\"timeout_ms\":3000,\"slo_ms\":200,"
      "\"attempts\":2,\"priority\":0,\"affinity\":true,\"retain\":true,\"retain_s\":60,"
      "\"gap_target_ms\":150},"
      "{\"name\":\"orders\",\"host\":\"app.example\",\"path_prefix\":\"/order/\","
      "\"service\":\"desk\",\"kind\":\"non_idempotent\",\"timeout_ms\":" +
          std::to_string(order_timeout_ms) +
          ",\"slo_ms\":800,"
          "\"attempts\":1,\"priority\":2},"
          "{\"name\":\"notes\",\"host\":\"app.example\",\"path_prefix\":\"/note/\","
          "\"service\":\"desk\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\"slo_ms\":250,"
          "\"attempts\":2,\"priority\":2}],\"services\":["
          "{\"name\":\"agents\",\"health_path\":\"/healthz\",\"max_conns\":140,"
          "\"engine\":{\"stride\":8}},"
          "{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":100}],\"tenants\":[" +
          Tenant("t1", "key1", rate) + "," + Tenant("t2", "key2", rate) + "]}");
}

std::string ToText(const TurnRequest& turn) {
  std::string text = "POST /turn/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + turn.id +
                     "\r\nX-Model: m\r\nX-Token-Count: 1000,80\r\nX-Deadline-Ms: 3000\r\n" +
                     "X-Program-Id: " + turn.program +
                     "\r\nX-Session-Id: 1\r\nX-Finish-Ms: 9000\r\nX-Token-Budget: 2240\r\n";
  if (!turn.previous.empty()) text += "X-Previous-Turn: " + turn.previous + "\r\n";
  text += "Authorization: Bearer " + turn.key + "\r\nContent-Length: ";
  return text + std::to_string(turn.body.size()) + "\r\n\r\n" + turn.body;
}

void AnswerTurn(const Message& request, Socket& socket, int pause_ms) {
  socket.Send(Worker::Head(request) +
              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int n = 1; n <= kEvents; ++n) {
    if (pause_ms > 0) SleepMs(pause_ms);
    const std::string number = std::to_string(n);
    const std::string event = "id: " + number + "\ndata: piece " + number + "\n\n";
    std::array<char, 16> length{};
    std::snprintf(length.data(), length.size(), "%zx\r\n", event.size());
    if (!socket.Send(length.data() + event + "\r\n")) return;
  }
  socket.Send("0\r\n\r\n");
}

bool IsWholeTurn(const std::optional<Message>& answer) {
  return answer && answer->whole && answer->Status() == 200 &&
         answer->body.find("piece " + std::to_string(kEvents) + "\n\n") != std::string::npos;
}

MemoryGuard::MemoryGuard(Machine& machine, int memory_mb, Record& record)
    : machine_(machine), limit_kb_(static_cast<std::size_t>(memory_mb) * 1024), record_(record) {
  thread_ = std::thread([this] { Run(); });
}

MemoryGuard::~MemoryGuard() {
  stopping_ = true;
  thread_.join();
}

void MemoryGuard::Run() {
  while (!stopping_) {
    SleepMs(kPollMs);
    const bool ended = machine_.HasEnded();
    const std::size_t memory_kb = ended ? 0 : machine_.MemoryKb();
    if (memory_kb > peak_kb_) peak_kb_ = memory_kb;
    if (!ended && memory_kb <= limit_kb_) continue;
    if (!ended) machine_.Kill();
    ++ends_;
    record_.Line(machine_.Name() + (ended
                                        ? " ended by itself"
                                        : " exceeds its memory: " + std::to_string(memory_kb) +
                                              " kB of " + std::to_string(limit_kb_) + ", killed"));
    SleepMs(kRestartDelayMs);
    machine_.Start();
  }
}

bool StartAll(std::vector<std::unique_ptr<Machine>>& machines, Record& record) {
  const auto traffic_at = Clock::now() + std::chrono::seconds{kTrafficAfterS};
  for (auto& machine : machines) machine->Start();
  for (auto& machine : machines) {
    if (machine->AwaitReady(20'000)) continue;
    record.Line(machine->Name() + " did not become ready");
    return false;
  }
  std::this_thread::sleep_until(traffic_at);
  return true;
}

}  // namespace review
