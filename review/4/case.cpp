// A stream that a client takes up at another machine, on a route that keeps turns. The next turn
// has to bring the worker all events of the stream.

#include "deployment.hpp"

namespace {

using review::Message;

constexpr int kConversations = 10;
constexpr int kEvents = 5;
constexpr int kPauseMs = 120;
constexpr int kDeadlineMs = 3000;

std::string EventOf(const std::string& line, int n) { return line + "-e" + std::to_string(n); }

struct Runs {
  std::mutex mutex;
  std::map<std::string, std::string> bodies;
};

// Sends the events after Last-Event-Id one after the other. What an event says depends on the line
// of turns and on its number alone, so that a stream that goes on is the same.
bool RunTurn(Runs& runs, const Message& request, review::Connection& connection) {
  const std::string id = request.Header("x-request-id");
  {
    const std::lock_guard lock(runs.mutex);
    runs.bodies[id] = request.body;
  }
  const std::string last = request.Header("last-event-id");
  if (!connection.Send("HTTP/1.1 200 OK\r\n" + review::Worker::Headers(request) +
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int n = last.empty() ? 1 : std::stoi(last) + 1; n <= kEvents; ++n) {
    const std::string event = "id: " + std::to_string(n) +
                              "\ndata: " + EventOf(request.Header("x-session-id"), n) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    if (!connection.Send(size + event + "\r\n")) return false;
    review::SleepMs(kPauseMs);
  }
  return connection.Send("0\r\n\r\n");
}

struct Conversation {
  std::string name;
  std::string first_id;
  std::string kept_id;
  std::string events;
  bool whole = false;
};

std::string Turn(const Conversation& one, const std::string& id, const std::string& headers,
                 const std::string& body) {
  return review::ClientRequest(
      "POST", "/consult/turn", id, kDeadlineMs,
      "X-Program-Id: " + one.name + "\r\nX-Session-Id: " + one.name +
          "\r\nX-Finish-Ms: 20000\r\nX-Model: m\r\nX-Token-Budget: 2240\r\n"
          "X-Token-Count: 40,280\r\n" +
          headers,
      body);
}

int LastEvent(const std::string& body) {
  int last = 0;
  for (int n = 1; n <= kEvents; ++n) {
    // An event counts once its empty line has come.
    const auto at = body.find("id: " + std::to_string(n) + "\n");
    if (at != std::string::npos && body.find("\n\n", at) != std::string::npos) last = n;
  }
  return last;
}

void FirstTurn(const review::Entry& at, const review::Entry& other, Conversation& one,
               review::Record& record) {
  one.first_id = one.name + "-t1";
  one.kept_id = one.first_id;
  const std::string input = "input of " + one.name + ";";
  Message answer = review::Call(at, Turn(one, one.first_id, {}, input), kDeadlineMs);
  const int seen = LastEvent(answer.body);
  record.Line("client " + one.first_id + ": " + std::to_string(answer.Status()) + ", " +
              std::to_string(seen) + " events, " + (answer.complete ? "whole" : "broken off"));
  one.whole = answer.complete && seen == kEvents;
  if (one.whole || answer.Status() != 200 || seen == 0) return;
  one.kept_id = one.name + "-t1b";
  const std::string take_up =
      "Last-Event-Id: " + std::to_string(seen) + "\r\nResumes: " + one.first_id + "\r\n";
  for (int n = 0; n < 3 && !one.whole; ++n) {
    answer = review::Call(other, Turn(one, one.kept_id, take_up, input), kDeadlineMs);
    record.Line("client " + one.kept_id + " takes up after event " + std::to_string(seen) + ": " +
                std::to_string(answer.Status()) + ", last event " +
                std::to_string(LastEvent(answer.body)) + ", " +
                (answer.complete ? "whole" : "broken off"));
    one.whole = answer.Status() == 200 && answer.complete && LastEvent(answer.body) == kEvents;
    if (one.whole) break;
    one.kept_id += "b";
    review::SleepMs(300);
  }
}

int RunCase(const std::string& record_path) {
  review::Record record(record_path);
  const std::string folder = review::Folder();
  Runs runs;
  review::Store store;
  auto route = review::Route("consult", "stream", "quote-agents");
  route["retain"] = true;
  route["resumable"] = true;
  store.Put("keyed.op", "config", review::Configuration(nlohmann::json::array({route})).dump());
  std::list<review::Worker> workers;
  for (int n = 0; n < 9; ++n) {
    workers.emplace_back(store, "i-" + std::to_string(n), "quote-agents", review::kZones[n % 3],
                         [&runs](review::Worker&, const Message& request, review::Connection& c) {
                           return RunTurn(runs, request, c);
                         });
  }
  review::Entry first("front-krakow-a-1", "krakow-a", store.Port(), folder);
  review::Entry second("front-krakow-b-1", "krakow-b", store.Port(), folder);
  review::Entry third("front-tarnow-1", "tarnow", store.Port(), folder);
  for (const auto* entry : {&first, &second, &third}) entry->AwaitReady();
  review::SleepMs(2000);
  record.Line("three machines are ready");
  std::vector<Conversation> conversations(kConversations);
  std::vector<std::thread> clients;
  for (int n = 0; n < kConversations; ++n) {
    conversations[n].name = "p" + std::to_string(n);
    clients.emplace_back([&, n] { FirstTurn(first, second, conversations[n], record); });
  }
  review::SleepMs(kPauseMs * 5 / 2);
  if (review::Trouble()) {
    record.Line("front-krakow-a-1 is killed");
    first.Signal(SIGKILL);
  }
  for (auto& client : clients) client.join();
  review::SleepMs(500);
  int continued = 0;
  int wrong = 0;
  for (const Conversation& one : conversations) {
    if (!one.whole) continue;
    const std::string id = one.name + "-t2";
    const Message answer = review::Call(
        second, Turn(one, id, "X-Previous-Turn: " + one.kept_id + "\r\n", "next;"), kDeadlineMs);
    record.Line("client " + id + " continues " + one.kept_id + ": " +
                std::to_string(answer.Status()) + (answer.complete ? ", whole" : ", broken off"));
    std::string expected = "input of " + one.name + ";";
    for (int n = 1; n <= kEvents; ++n) expected += EventOf(one.name, n) + "\n";
    expected += "next;";
    const std::lock_guard lock(runs.mutex);
    const auto run = runs.bodies.find(id);
    if (run == runs.bodies.end()) continue;
    ++continued;
    if (run->second == expected) continue;
    ++wrong;
    std::string text = run->second;
    std::replace(text.begin(), text.end(), '\n', '|');
    std::replace(expected.begin(), expected.end(), '\n', '|');
    record.Line("worker ran " + id + " with the body " + text + " where " + expected + " is due");
  }
  record.Line(std::to_string(continued) + " turns ran, " + std::to_string(wrong) +
              " of them with a body that isn't the chain");
  if (continued < kConversations / 2) return review::kNotRun;
  return wrong > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return argc == 2 ? RunCase(argv[1]) : review::kNotRun;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return review::kNotRun;
  }
}
