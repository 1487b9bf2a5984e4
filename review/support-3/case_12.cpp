// Case 12: a tenant's programs have long names, inside the limits that the configuration sets for
// clients.
#include <iostream>
#include <nlohmann/json.hpp>

#include "client.hpp"
#include "deployment.hpp"
#include "worker.hpp"

namespace {

using namespace review;
using Json = nlohmann::json;

constexpr const char* kHost = "ficu95.example";
/// Keys of the tenant with long names, and of an ordinary one.
constexpr const char* kLongKey = "nu6wsjnbanfqasnmgkcu";
constexpr const char* kKey = "3fexd9dnn2ctnfzs989a";
constexpr int kMemoryMb = 130;
/// Length of a program's name. The whole head stays below max_header_bytes (16,384).
constexpr std::size_t kLongName = 15'000;
constexpr std::size_t kShortName = 16;
constexpr int kLongClients = 6;
constexpr milliseconds kTraffic{40'000};
/// Times that a process ends by itself before the day counts 0, on two machines at least.
constexpr int kEnds = 3;

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
  turn.headers = {{"X-Program-Id", program},    {"X-Session-Id", "77d20b"},
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

/// Sends a first turn after the other to one machine, each of a new program, until the time is
/// over.
class Clients {
 public:
  Clients(Deployment& deployment, const char* key, std::size_t name, int clients,
          milliseconds pause)
      : deployment_(deployment), key_(key), name_(name), pause_(pause) {
    for (int k = 0; k < clients; ++k) {
      threads_.emplace_back([this, k] { Run(static_cast<std::size_t>(k) % deployment_.Fronts()); });
    }
  }
  void Stop() {
    stopping_ = true;
    for (auto& one : threads_) one.join();
  }
  int Sent() const { return sent_; }
  int Served() const { return served_; }

 private:
  void Run(std::size_t n) {
    std::unique_ptr<Connection> connection;
    while (!stopping_) {
      std::this_thread::sleep_for(pause_);
      if (!connection) {
        connection = Connection::Open(deployment_.Front(n).Front(), milliseconds(1000));
      }
      ++sent_;
      if (!connection) continue;
      const std::string id = NewRequestId();
      const std::string program = id + std::string(name_ - id.size(), 'p');
      const Message answer = Call(*connection, Turn(key_, program, 200, ""), id);
      served_ += answer.Status() == 200 && answer.whole ? 1 : 0;
      if (!answer.whole || answer.Header("connection") == "close") connection.reset();
    }
  }

  Deployment& deployment_;
  const char* key_;
  std::size_t name_;
  milliseconds pause_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
  std::vector<std::thread> threads_;
};

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
  Clients ordinary(deployment, kKey, kShortName, 6, milliseconds(100));
  Clients others(deployment, kLongKey, WithTrouble() ? kLongName : kShortName, kLongClients,
                 milliseconds(25));
  std::this_thread::sleep_for(kTraffic);
  ordinary.Stop();
  others.Stop();
  record.Line("ordinary tenant: " + std::to_string(ordinary.Served()) + " of " +
              std::to_string(ordinary.Sent()) + " turns answered whole; tenant with long names: " +
              std::to_string(others.Served()) + " of " + std::to_string(others.Sent()));
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
