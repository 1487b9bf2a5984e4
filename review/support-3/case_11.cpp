// Case 11: a tenant keeps many long turns; then conversations go on at machines that have to read
// their turns.
#include <iostream>
#include <nlohmann/json.hpp>

#include "client.hpp"
#include "deployment.hpp"
#include "worker.hpp"

namespace {

using namespace review;
using Json = nlohmann::json;

constexpr const char* kHost = "ficu95.example";
/// Keys of the tenant that keeps long turns, and of an ordinary one.
constexpr const char* kLongKey = "nu6wsjnbanfqasnmgkcu";
constexpr const char* kKey = "3fexd9dnn2ctnfzs989a";
constexpr int kMemoryMb = 130;
/// Long turns: 350 MB in all of the 400 MB that the store takes, each within a record and the
/// limits for clients.
constexpr std::size_t kLongInput = 250'000;
constexpr int kLongTurns = 1400;
constexpr int kLongClients = 12;
/// Conversations of the ordinary tenant, and their turns.
constexpr int kConversations = 8;
constexpr int kTurns = 30;
constexpr std::size_t kInput = 2000;
/// Times that a process ends by itself before the day counts 0, on two machines at least.
constexpr int kEnds = 3;
constexpr int kRounds = 5;

Json Tenant(const char* name, const char* key) {
  return {{"name", name}, {"api_keys", {key}}, {"rate_per_s", 229}, {"burst", 229}};
}

Json Configuration() {
  const Json route{{"name", "r-consult"}, {"host", kHost},        {"path_prefix", "/pufi791/"},
                   {"kind", "stream"},    {"timeout_ms", 3000},   {"slo_ms", 200},
                   {"priority", 0},       {"service", "huvo11a"}, {"attempts", 2},
                   {"retain", true},      {"retain_s", 60.0},     {"no_auth", false},
                   {"affinity", true},    {"resumable", false},   {"gap_target_ms", 150}};
  const Json engine{{"slots", 8}, {"kv_tokens", 97383}, {"stride", 14}, {"most", 12}};
  return {{"version", 3},
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
          {"tenants", Json::array({Tenant("hule930", kLongKey), Tenant("daki114", kKey)})}};
}

Request Turn(const char* key, const std::string& program, std::size_t input,
             const std::string& previous) {
  Request turn{"POST", "/pufi791/4b", kHost, key, {}, std::string(input, 'x')};
  turn.headers = {{"X-Program-Id", program},    {"X-Session-Id", "s" + program},
                  {"X-Finish-Ms", "20000"},     {"X-Token-Budget", "224000"},
                  {"X-Token-Count", "1840,28"}, {"X-Model", "m"}};
  if (!previous.empty()) turn.headers["X-Previous-Turn"] = previous;
  return turn;
}

/// Kills a process that exceeds the memory of its machine, as the platform does, and starts it
/// again.
class MemoryWatch {
 public:
  MemoryWatch(Record& record, Deployment& deployment)
      : record_(record), deployment_(deployment), ends_(deployment.Fronts(), 0) {
    peak_kb_.resize(deployment.Fronts(), 0);
    watching_ = std::thread([this] { Watch(); });
  }
  ~MemoryWatch() {
    stopping_ = true;
    watching_.join();
  }
  std::vector<int> Ends() const { return ends_; }
  std::vector<std::size_t> PeakKb() const { return peak_kb_; }

 private:
  void Watch() {
    while (!stopping_) {
      for (std::size_t n = 0; n < deployment_.Fronts(); ++n) Look(n);
      std::this_thread::sleep_for(milliseconds(2));
    }
  }
  void Look(std::size_t n) {
    Entry& front = deployment_.Front(n);
    const bool runs = front.Runs();
    const std::size_t kb = runs ? front.MemoryKb() : 0;
    peak_kb_[n] = std::max(peak_kb_[n], kb);
    if (runs && kb <= std::size_t{kMemoryMb} * 1024) return;
    ++ends_[n];
    record_.Line(front.Node() + (runs ? " holds " + std::to_string(kb) + " kB and is killed"
                                      : " has ended by itself"));
    front.Kill();
    std::this_thread::sleep_for(milliseconds(300));
    front.Start();
  }

  Record& record_;
  Deployment& deployment_;
  std::vector<int> ends_;
  std::vector<std::size_t> peak_kb_;
  std::atomic<bool> stopping_{false};
  std::thread watching_;
};

/// Sends the long turns through the first machine.
int KeepLongTurns(Deployment& deployment) {
  std::atomic<int> next{0};
  std::atomic<int> kept{0};
  std::vector<std::thread> clients;
  for (int k = 0; k < kLongClients; ++k) {
    clients.emplace_back([&, k] {
      std::unique_ptr<Connection> connection;
      while (next++ < kLongTurns) {
        if (!connection) {
          connection = Connection::Open(deployment.Front(0).Front(), milliseconds(1000));
        }
        if (!connection) continue;
        const std::string program = "long-" + std::to_string(k) + "-" + std::to_string(next / 100);
        const Message answer =
            Call(*connection, Turn(kLongKey, program, kLongInput, ""), NewRequestId());
        const bool whole = answer.Status() == 200 && answer.whole;
        kept += whole ? 1 : 0;
        if (answer.Status() == 429) std::this_thread::sleep_for(milliseconds(100));
        if (!answer.whole || answer.Header("connection") == "close") connection.reset();
      }
    });
  }
  for (auto& one : clients) one.join();
  return kept;
}

/// Holds one conversation at the first machine; returns the id of its last turn, empty if a turn
/// failed.
std::string Converse(Deployment& deployment, const std::string& program) {
  std::string previous;
  for (int n = 0; n < kTurns; ++n) {
    const std::string id = NewRequestId();
    const Message answer =
        Call(deployment.Front(0).Front(), Turn(kKey, program, kInput, previous), id);
    if (answer.Status() != 200 || !answer.whole) return {};
    previous = id;
  }
  return previous;
}

/// All conversations go on at once at machine `n`; returns how many turns were answered whole.
int GoOn(Deployment& deployment, std::size_t n, const std::vector<std::string>& last) {
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (std::size_t k = 0; k < last.size(); ++k) {
    clients.emplace_back([&, k] {
      const Message answer =
          Call(deployment.Front(n).Front(),
               Turn(kKey, "talk-" + std::to_string(k), kInput, last[k]), NewRequestId());
      served += answer.Status() == 200 && answer.whole ? 1 : 0;
    });
  }
  for (auto& one : clients) one.join();
  return served;
}

int Play(const std::string& path) {
  Record record(path);
  Deployment deployment(record, {"krakow-a", "krakow-b", "tarnow"}, kMemoryMb);
  Store& store = deployment.PlatformStore();
  store.Put("keyed.op", "config", Configuration().dump());
  std::atomic<int> runs{0};
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < 6; ++n) {
    const WorkerIdentity identity{"i-" + std::to_string(7000 + n), "huvo11a",
                                  n % 2 == 0 ? "krakow-a" : "krakow-b", "v1", 8};
    workers.push_back(std::make_unique<Worker>(store, identity, Deployment::WorkerIp(), 0,
                                               WorkerWork{milliseconds(1), 2, milliseconds(2)},
                                               [&](const Run&) { ++runs; }));
  }
  if (!deployment.StartAll()) return 2;
  MemoryWatch watch(record, deployment);
  std::vector<std::string> last;
  for (int k = 0; k < kConversations; ++k) {
    last.push_back(Converse(deployment, "talk-" + std::to_string(k)));
    if (last.back().empty()) return 2;
  }
  record.Line(std::to_string(kConversations) + " conversations of " + std::to_string(kTurns) +
              " turns were held at " + deployment.Front(0).Node());
  if (WithTrouble()) {
    const int kept = KeepLongTurns(deployment);
    record.Line(std::to_string(kept) + " turns of " + std::to_string(kLongInput) +
                " bytes were answered whole");
    if (kept < kLongTurns / 2) return 2;
  }
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t n = 1; n < deployment.Fronts(); ++n) {
      // The platform sends nobody to a machine that isn't ready.
      if (!deployment.Front(n).WaitReady(milliseconds(8000))) {
        record.Line(deployment.Front(n).Node() + " isn't ready");
        continue;
      }
      const int served = GoOn(deployment, n, last);
      record.Line("the conversations go on at " + deployment.Front(n).Node() + ": " +
                  std::to_string(served) + " of " + std::to_string(kConversations) +
                  " turns answered whole");
    }
    std::this_thread::sleep_for(milliseconds(3000));
  }
  int machines = 0;
  for (std::size_t n = 0; n < deployment.Fronts(); ++n) {
    const int ends = watch.Ends()[n];
    record.Line(deployment.Front(n).Node() + ": " + std::to_string(ends) + " ends, " +
                std::to_string(watch.PeakKb()[n]) + " kB at the most of " +
                std::to_string(kMemoryMb * 1024));
    machines += ends >= kEnds ? 1 : 0;
  }
  const bool broken = machines >= 2;
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
