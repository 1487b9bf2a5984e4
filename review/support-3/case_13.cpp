// Case 13: a client reads a stream slowly, and its connections are reset twice on the way.
#include <iostream>
#include <nlohmann/json.hpp>

#include "client.hpp"
#include "deployment.hpp"
#include "worker.hpp"

namespace {

using namespace review;
using Json = nlohmann::json;

constexpr const char* kHost = "ficu95.example";
constexpr const char* kKey = "3fexd9dnn2ctnfzs989a";
/// Conversations whose connections are reset, and as many each at the two machines that aren't.
constexpr int kConversations = 10;
constexpr milliseconds kDeadline{15'000};
/// Streams of 24 events, 100 ms apart.
const WorkerWork kWork{milliseconds(2), 24, milliseconds(100)};
/// Time that a client takes for an event.
constexpr milliseconds kReadTime{300};
/// Events that a client has taken of its first and second try when the connection is reset.
constexpr int kFirstReset = 4;
constexpr int kSecondReset = 7;

Json Configuration() {
  const Json route{{"name", "r-consult"}, {"host", kHost},        {"path_prefix", "/pufi791/"},
                   {"kind", "stream"},    {"timeout_ms", 15000},  {"slo_ms", 200},
                   {"priority", 0},       {"service", "huvo11a"}, {"attempts", 2},
                   {"retain", true},      {"retain_s", 60.0},     {"no_auth", false},
                   {"affinity", true},    {"resumable", true},    {"gap_target_ms", 200}};
  const Json engine{{"slots", 8}, {"kv_tokens", 97383}, {"stride", 14}, {"most", 12}};
  return {
      {"version", 3},
      {"routes", Json::array({route})},
      {"services", Json::array({{{"name", "huvo11a"},
                                 {"health_path", "/healthz"},
                                 {"max_conns", 140},
                                 {"protocol", "h1"},
                                 {"tls", false},
                                 {"engine", engine}}})},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       Json::array(
           {{{"name", "hule930"}, {"api_keys", {kKey}}, {"rate_per_s", 229}, {"burst", 229}}})}};
}

/// What a client has taken of a stream, over its tries.
struct Received {
  int last_event = 0;
  /// Data of the events, each followed by a line feed.
  std::string output;
  /// Bytes of an event that isn't complete.
  std::string unread;
  int status = 0;
  bool whole = false;
};

/// Takes the complete events of a piece.
void TakeEvents(std::string_view piece, Received& received) {
  std::string& unread = received.unread;
  unread += piece;
  for (auto end = unread.find("\n\n"); end != std::string::npos; end = unread.find("\n\n")) {
    const std::string event = unread.substr(0, end + 1);
    unread.erase(0, end + 2);
    const auto id = event.find("id: ");
    const auto data = event.find("data: ");
    if (id == std::string::npos || data == std::string::npos) continue;
    received.last_event = std::atoi(event.c_str() + id + 4);
    received.output += event.substr(data + 6, event.find('\n', data) - data - 6) + "\n";
  }
}

Request Turn(const std::string& program, const std::string& input) {
  Request turn{"POST", "/pufi791/4b", kHost, kKey, {}, input, kDeadline};
  turn.headers = {{"X-Program-Id", program},     {"X-Session-Id", "77d20b"},
                  {"X-Finish-Ms", "60000"},      {"X-Token-Budget", "9000"},
                  {"X-Token-Count", "1840,400"}, {"X-Model", "m"}};
  return turn;
}

/// Sends the turn and reads its stream, an event each kReadTime. The connection is reset once the
/// client has taken the event `reset_after`; 0 for never. What it has not taken is lost.
void Try(const Address& front, Request turn, const std::string& id, const std::string& first,
         int reset_after, Received& received) {
  if (received.last_event > 0) {
    turn.headers["Last-Event-Id"] = std::to_string(received.last_event);
    turn.headers["Resumes"] = first;
  }
  received.unread.clear();
  received.whole = false;
  received.status = 0;
  const auto connection = Connection::Open(front, milliseconds(1000));
  if (!connection || !connection->Send(TextOf(turn, id))) return;
  const Message answer = connection->Read(kDeadline, [&](std::string_view piece) {
    const int before = received.last_event;
    if (reset_after > 0 && before >= reset_after) return;
    TakeEvents(piece, received);
    if (received.last_event > before) std::this_thread::sleep_for(kReadTime);
    if (reset_after > 0 && received.last_event >= reset_after) connection->Reset();
  });
  received.status = answer.Status();
  received.whole = answer.whole && answer.Status() == 200;
}

/// Texts of the turns that workers ran.
class Bodies {
 public:
  void Add(const Run& run) {
    const std::lock_guard lock(mutex_);
    bodies_[run.request] = run.body;
  }
  std::string Of(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    const auto it = bodies_.find(id);
    return it == bodies_.end() ? std::string() : it->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::string> bodies_;
};

enum class Result { kRight, kWrong, kNone };

/// Holds a conversation of two turns; tells whether the worker got for the second one what was said
/// in the first.
Result Converse(Record& record, Deployment& deployment, const Bodies& bodies, int number) {
  const bool is_reset = WithTrouble() && number < kConversations;
  const bool begins_elsewhere = number >= 2 * kConversations;
  const std::string program = "3fa81c" + std::to_string(number);
  const std::string input = "what does a repair cost " + std::to_string(number);
  const std::vector<std::size_t> machines{begins_elsewhere ? 2U : 0U, 2U, 0U};
  const std::vector<int> resets =
      is_reset ? std::vector<int>{kFirstReset, kSecondReset, 0} : std::vector<int>{0, 0, 0};
  Received received;
  std::string first;
  std::string id;
  for (std::size_t n = 0; n < machines.size() && !received.whole; ++n) {
    const Entry& front = deployment.Front(machines[n]);
    id = NewRequestId();
    if (first.empty()) first = id;
    const int from = received.last_event;
    Try(front.Front(), Turn(program, input), id, first, resets[n], received);
    record.Line("turn " + id + " at " + front.Node() + " after event " + std::to_string(from) +
                ": " + std::to_string(received.status) +
                (received.whole ? ", whole" : ", the connection ended") + ", taken up to event " +
                std::to_string(received.last_event));
  }
  if (!received.whole) return Result::kNone;
  const std::string next = NewRequestId();
  Request turn = Turn(program, "and by when");
  turn.headers["X-Previous-Turn"] = id;
  Received ignored;
  Try(deployment.Front(4).Front(), turn, next, next, 1, ignored);
  const std::string body = bodies.Of(next);
  if (body.empty()) return Result::kNone;
  const std::string said = input + received.output + turn.body;
  record.Line("turn " + next + " goes on from " + id +
              (body == said ? ": the worker got what was said"
                            : ": the worker got another text\n--- said:\n" + said +
                                  "\n--- at the worker:\n" + body));
  return body == said ? Result::kRight : Result::kWrong;
}

int Play(const std::string& path) {
  Record record(path);
  Bodies bodies;
  Deployment deployment(record, {"austin-east", "austin-east", "austin-north", "austin-north",
                                 "san-marcos", "san-marcos"});
  Store& store = deployment.PlatformStore();
  store.Put("keyed.op", "config", Configuration().dump());
  const auto on_run = [&](const Run& run) { bodies.Add(run); };
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < 6; ++n) {
    const WorkerIdentity identity{"i-" + std::to_string(7000 + n), "huvo11a",
                                  n % 2 == 0 ? "austin-east" : "austin-north", "v1", 8};
    workers.push_back(
        std::make_unique<Worker>(store, identity, Deployment::WorkerIp(), 0, kWork, on_run));
  }
  if (!deployment.StartAll()) return 2;
  // A tenant's tokens begin to collect with its first requests.
  for (std::size_t n = 0; n < deployment.Fronts(); ++n) {
    const std::string id = NewRequestId();
    Received ignored;
    Try(deployment.Front(n).Front(), Turn("warm" + id, "hello"), id, id, 1, ignored);
  }
  std::this_thread::sleep_for(milliseconds(2000));
  std::atomic<int> right{0};
  std::atomic<int> wrong{0};
  std::vector<std::thread> clients;
  for (int k = 0; k < 3 * kConversations; ++k) {
    clients.emplace_back([&, k] {
      const Result result = Converse(record, deployment, bodies, k);
      right += result == Result::kRight ? 1 : 0;
      wrong += result == Result::kWrong ? 1 : 0;
    });
  }
  for (auto& one : clients) one.join();
  record.Line("UNASKED: " + std::to_string(wrong) + " of " + std::to_string(right + wrong) +
              " turns reached a worker with another text than was said before");
  if (right + wrong == 0) return 2;
  record.Line(wrong > 0 ? "the rule is broken" : "the rule holds");
  return wrong > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  try {
    return Play(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
