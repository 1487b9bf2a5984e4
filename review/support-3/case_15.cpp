// Case 15: workers are upgraded in place, one after the other, while the store is down.
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "client.hpp"
#include "deployment.hpp"
#include "worker.hpp"

namespace {

using namespace review;
using Json = nlohmann::json;

constexpr const char* kHost = "ficu95.example";
constexpr const char* kKey = "3fexd9dnn2ctnfzs989a";
constexpr int kWorkers = 3;
constexpr int kClients = 12;
/// Streams of 20 events, 100 ms apart.
const WorkerWork kWork{milliseconds(2), 20, milliseconds(100)};
/// Length of the outage: less than the 7 s that the deployment's days name.
constexpr milliseconds kOutage{6500};
constexpr milliseconds kUpgradePause{1500};
constexpr milliseconds kDownTime{300};
/// Streams that may hold events of two versions.
constexpr int kAllowed = 2;

Json Configuration() {
  const Json route{{"name", "r-quote"}, {"host", kHost},        {"path_prefix", "/lohu930/"},
                   {"kind", "stream"},  {"timeout_ms", 3000},   {"slo_ms", 200},
                   {"priority", 1},     {"service", "huvo11a"}, {"attempts", 2},
                   {"retain", false},   {"no_auth", false},     {"affinity", true},
                   {"resumable", true}, {"gap_target_ms", 150}};
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

/// Versions that wrote events of an answer, as its data says.
std::set<std::string> VersionsOf(const std::string& body) {
  std::set<std::string> versions;
  for (std::size_t at = body.find("data: "); at != std::string::npos;
       at = body.find("data: ", at + 1)) {
    const std::string line = body.substr(at, body.find('\n', at) - at);
    versions.insert(line.substr(line.rfind(' ') + 1));
  }
  return versions;
}

/// Clients that send one stream after the other.
class Clients {
 public:
  Clients(Record& record, Deployment& deployment) : record_(record), deployment_(deployment) {
    for (std::size_t k = 0; k < kClients; ++k) threads_.emplace_back([this, k] { Run(k); });
  }
  void Stop() {
    stopping_ = true;
    for (auto& one : threads_) one.join();
  }
  int Mixed() const { return mixed_; }
  int Served() const { return served_; }

 private:
  void Run(std::size_t k) {
    Entry& front = deployment_.Front(k % deployment_.Fronts());
    while (!stopping_) {
      Request stream{"POST", "/lohu930/2f", kHost, kKey, {}, "what does a repair cost"};
      stream.headers = {{"X-Model", "m"}, {"X-Token-Count", "1460,280"}};
      const std::string id = NewRequestId();
      const Message answer = Call(front.Front(), stream, id);
      const auto versions = VersionsOf(answer.body);
      served_ += answer.Status() == 200 && answer.whole ? 1 : 0;
      mixed_ += versions.size() > 1 ? 1 : 0;
      std::string names;
      for (const auto& one : versions) names += " " + one;
      record_.Line("stream " + id + " at " + front.Node() + ": " + Describe(answer) +
                   ", events of versions" + names);
      if (answer.Status() != 200) std::this_thread::sleep_for(milliseconds(100));
    }
  }

  Record& record_;
  Deployment& deployment_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> mixed_{0};
  std::atomic<int> served_{0};
  std::vector<std::thread> threads_;
};

int Play(const std::string& path) {
  Record record(path);
  Deployment deployment(record, {"krakow-a", "krakow-b"});
  Store& store = deployment.PlatformStore();
  store.Put("keyed.op", "config", Configuration().dump());
  const auto on_run = [&](const Run& run) {
    record.Line("worker " + run.worker + " " + run.version + " runs " + run.request +
                (run.last_event.empty() ? "" : " after event " + run.last_event));
  };
  std::vector<WorkerIdentity> identities;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < kWorkers; ++n) {
    identities.push_back({"i-" + std::to_string(7000 + n), "huvo11a",
                          n % 2 == 0 ? "krakow-a" : "krakow-b", "v1", 8});
    workers.push_back(std::make_unique<Worker>(store, identities.back(), Deployment::WorkerIp(), 0,
                                               kWork, on_run));
  }
  if (!deployment.StartAll()) return 2;
  Clients clients(record, deployment);
  std::this_thread::sleep_for(milliseconds(3000));
  const auto outage_at = Clock::now();
  if (WithTrouble()) {
    record.Line("the store is down");
    store.SetDown(true);
  }
  std::this_thread::sleep_for(milliseconds(500));
  for (std::size_t n = 0; n < workers.size(); ++n) {
    const std::uint16_t port = workers[n]->At().port;
    record.Line("worker " + identities[n].id + " stops, to start again with software v2");
    workers[n].reset();
    std::this_thread::sleep_for(kDownTime);
    identities[n].version = "v2";
    workers[n] =
        std::make_unique<Worker>(store, identities[n], Deployment::WorkerIp(), port, kWork, on_run);
    record.Line("worker " + identities[n].id + " runs software v2");
    std::this_thread::sleep_for(kUpgradePause);
  }
  std::this_thread::sleep_until(outage_at + kOutage);
  if (WithTrouble()) {
    store.SetDown(false);
    record.Line("the store is back");
  }
  std::this_thread::sleep_for(milliseconds(4000));
  clients.Stop();
  record.Line("ORDER: " + std::to_string(clients.Mixed()) +
              " streams hold events of two versions; " + std::to_string(kAllowed) +
              " are allowed; " + std::to_string(clients.Served()) + " streams were whole");
  if (clients.Served() == 0) return 2;
  const bool broken = clients.Mixed() > kAllowed;
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
