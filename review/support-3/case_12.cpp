// Case 12: a version of the configuration takes the last tenant away.
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
constexpr const char* kUnknownKey = "zz00notakeyofanyone0";
/// `config_ms` of the deployment, and a second more.
constexpr milliseconds kConfigTime{3000};
constexpr int kRequests = 10;

Json Configuration(int version, const Json& tenants) {
  const Json route{{"name", "r-orders"},
                   {"host", kHost},
                   {"path_prefix", "/puxa403/"},
                   {"kind", "non_idempotent"},
                   {"timeout_ms", 3000},
                   {"slo_ms", 600},
                   {"priority", 2},
                   {"service", "wuno96b"},
                   {"attempts", 1},
                   {"retain", false},
                   {"no_auth", false},
                   {"affinity", false}};
  return {{"version", version},
          {"routes", Json::array({route})},
          {"services", Json::array({{{"name", "wuno96b"},
                                     {"health_path", "/healthz"},
                                     {"max_conns", 100},
                                     {"protocol", "h1"},
                                     {"tls", false}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", tenants}};
}

/// Ids of the requests that workers ran, with the tenant that they were told.
class Runs {
 public:
  void Add(const Run& run) {
    const std::lock_guard lock(mutex_);
    tenants_[run.request] = run.tenant;
  }
  bool Has(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    return tenants_.contains(id);
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::string> tenants_;
};

/// Sends a request with the key to each machine in turn; returns how many of them ran.
int CountRuns(Record& record, Deployment& deployment, const Runs& runs, const std::string& key,
              const std::string& what) {
  int ran = 0;
  for (int n = 0; n < kRequests; ++n) {
    Entry& front = deployment.Front(static_cast<std::size_t>(n) % deployment.Fronts());
    const std::string id = NewRequestId();
    const Message answer =
        Call(front.Front(), {"POST", "/puxa403/2f", kHost, key, {}, "one bead order"}, id);
    ran += runs.Has(id) ? 1 : 0;
    record.Line(what + ": request " + id + " at " + front.Node() + ": " + Describe(answer) +
                (runs.Has(id) ? ", a worker ran it" : ", not run"));
  }
  return ran;
}

int Play(const std::string& path) {
  Record record(path);
  Runs runs;
  Deployment deployment(record, {"krakow-a", "krakow-b"});
  Store& store = deployment.PlatformStore();
  const Json tenant{{"name", "hule930"}, {"rate_per_s", 229}, {"burst", 229}};
  Json with_key = tenant;
  with_key["api_keys"] = {kKey};
  Json without_key = tenant;
  without_key["api_keys"] = Json::array();
  store.Put("keyed.op", "config", Configuration(3, Json::array({with_key})).dump());
  const auto on_run = [&](const Run& run) { runs.Add(run); };
  Worker first(store, {"i-7f3a91c2", "wuno96b", "krakow-a"}, Deployment::WorkerIp(), 0, {}, on_run);
  Worker second(store, {"i-02d9e6b4", "wuno96b", "krakow-b"}, Deployment::WorkerIp(), 0, {},
                on_run);
  if (!deployment.StartAll()) return 2;
  const int served = CountRuns(record, deployment, runs, kKey, "the tenant's key");
  const int forged = CountRuns(record, deployment, runs, kUnknownKey, "a key of nobody");
  if (served != kRequests || forged != 0) return 2;

  const bool trouble = WithTrouble();
  record.Line(trouble ? "version 5 takes the tenant away: tenants is an empty list"
                      : "version 5 takes the tenant's key away: api_keys is an empty list");
  const Json tenants = trouble ? Json::array() : Json::array({without_key});
  store.Put("keyed.op", "config", Configuration(5, tenants).dump());
  record.Line("the store has acknowledged version 5");
  std::this_thread::sleep_for(kConfigTime);
  const int dropped = CountRuns(record, deployment, runs, kKey, "the key that was taken away");
  const int unknown = CountRuns(record, deployment, runs, kUnknownKey, "a key of nobody");
  record.Line("CONFIG: " + std::to_string(dropped) + " of " + std::to_string(kRequests) +
              " requests with a dropped key ran, " + std::to_string(kConfigTime.count()) +
              " ms and more after the acknowledgement");
  record.Line("ROUTE: " + std::to_string(unknown) + " of " + std::to_string(kRequests) +
              " requests ran whose key no configuration ever held");
  const bool broken = dropped > 0 || unknown > 0;
  record.Line(broken ? "the rules are broken" : "the rules hold");
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
