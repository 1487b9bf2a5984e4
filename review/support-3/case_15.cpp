// Case 15: kept turns whose new input is longer than a record of the store, inside the limits that
// the configuration sets for clients.
#include <csignal>
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
constexpr std::size_t kMaxBodyBytes = 4'194'304;
/// Input of a turn with and without the disruption: more than a record (262,144 bytes) and well
/// below it. Both are inside max_body_bytes.
constexpr std::size_t kLongInput = 300'000;
constexpr std::size_t kShortInput = 200'000;
constexpr std::size_t kSmallInput = 4'300;
/// Turns that are sent to each machine before its SIGTERM, and after it.
constexpr int kTurns = 3;
constexpr milliseconds kDeadline{3000};
constexpr milliseconds kAfterTerm{300};
/// `grace_s`.
constexpr milliseconds kGrace{8000};

Json Configuration() {
  const Json route{{"name", "r-consult"}, {"host", kHost},        {"path_prefix", "/pufi791/"},
                   {"kind", "stream"},    {"timeout_ms", 3000},   {"slo_ms", 200},
                   {"priority", 0},       {"service", "huvo11a"}, {"attempts", 2},
                   {"retain", true},      {"retain_s", 60.0},     {"no_auth", false},
                   {"affinity", true},    {"resumable", false},   {"gap_target_ms", 150}};
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
        {"max_body_bytes", kMaxBodyBytes},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       Json::array(
           {{{"name", "hule930"}, {"api_keys", {kKey}}, {"rate_per_s", 229}, {"burst", 229}}})}};
}

Request Turn(std::size_t input) {
  Request turn{"POST", "/pufi791/4b", kHost, kKey, {}, std::string(input, 'x')};
  turn.headers = {{"X-Program-Id", "3fa81c"},    {"X-Session-Id", "77d20b"},
                  {"X-Finish-Ms", "20000"},      {"X-Token-Budget", "22400"},
                  {"X-Token-Count", "1840,280"}, {"X-Model", "m"}};
  return turn;
}

/// Requests that workers ran, with the size of their bodies.
class Runs {
 public:
  void Add(const Run& run) {
    const std::lock_guard lock(mutex_);
    bytes_[run.request] = run.body_bytes;
  }
  bool Has(const std::string& id, std::size_t bytes) const {
    const std::lock_guard lock(mutex_);
    const auto it = bytes_.find(id);
    return it != bytes_.end() && it->second == bytes;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::size_t> bytes_;
};

/// Sends a turn on a kept connection; returns true if a worker ran it and the connection ended
/// without its whole answer.
bool IsLost(Record& record, Connection& connection, const Runs& runs, std::size_t input) {
  const std::string id = NewRequestId();
  const auto sent_at = Clock::now();
  const Message answer = Call(connection, Turn(input), id);
  const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - sent_at);
  const bool ran = runs.Has(id, input);
  // Before its deadline, so that neither that nor the route's timeout is the cause.
  const bool cut = !answer.whole && took < kDeadline && connection.PeerHasClosed();
  record.Line("turn " + id + " with " + std::to_string(input) + " bytes: " + Describe(answer) +
              " after " + std::to_string(took.count()) + " ms" +
              (ran ? ", a worker ran it" : ", no worker ran it") +
              (cut ? "; the connection was closed" : ""));
  return ran && cut;
}

int Play(const std::string& path) {
  Record record(path);
  Runs runs;
  Deployment deployment(record, {"krakow-a", "krakow-b"});
  Store& store = deployment.PlatformStore();
  store.Put("keyed.op", "config", Configuration().dump());
  const auto on_run = [&](const Run& run) { runs.Add(run); };
  Worker first(store, {"i-7f3a91c2", "huvo11a", "krakow-a"}, Deployment::WorkerIp(), 0, {}, on_run);
  Worker second(store, {"i-02d9e6b4", "huvo11a", "krakow-b"}, Deployment::WorkerIp(), 0, {},
                on_run);
  if (!deployment.StartAll()) return 2;
  const std::size_t input = WithTrouble() ? kLongInput : kShortInput;
  int calm = 0;
  int planned = 0;
  for (std::size_t n = 0; n < deployment.Fronts(); ++n) {
    Entry& front = deployment.Front(n);
    std::vector<std::unique_ptr<Connection>> kept;
    for (int k = 0; k < 2 * kTurns; ++k) {
      kept.push_back(Connection::Open(front.Front(), milliseconds(1000)));
      if (!kept.back()) return 2;
      const Message small = Call(*kept.back(), Turn(kSmallInput), NewRequestId());
      record.Line("turn with " + std::to_string(kSmallInput) + " bytes at " + front.Node() + ": " +
                  Describe(small));
      if (small.Status() != 200 || !small.whole) return 2;
    }
    for (int k = 0; k < kTurns; ++k) calm += IsLost(record, *kept[k], runs, input) ? 1 : 0;
    record.Line("SIGTERM to " + front.Node());
    front.Signal(SIGTERM);
    std::this_thread::sleep_for(kAfterTerm);
    for (int k = kTurns; k < 2 * kTurns; ++k) {
      planned += IsLost(record, *kept[k], runs, input) ? 1 : 0;
    }
    kept.clear();
    if (!front.WaitEnd(kGrace)) return 2;
    record.Line(front.Node() + " has ended");
  }
  record.Line("appends that the store refused as too long: " + std::to_string(store.TooLong()));
  record.Line("in calm, " + std::to_string(calm) +
              " turns that a worker ran were lost with their kept connection");
  record.Line("LOST: " + std::to_string(planned) +
              " turns that a worker ran ended without a whole answer after a SIGTERM");
  const bool broken = planned > 0;
  record.Line(broken ? "the rule is broken" : "the rule holds");
  return broken ? 1 : 0;
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
