// Case 11: a tenant keeps long turns until the store is full; then all processes are killed.
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
constexpr std::size_t kLongInput = 250'000;
constexpr int kLongClients = 12;
constexpr milliseconds kFillTime{25'000};
/// Traffic before the long turns, between the final fault and the end, and `recover_s`.
constexpr milliseconds kBefore{25'000};
constexpr milliseconds kAfter{25'000};
constexpr milliseconds kRecover{12'000};
constexpr milliseconds kDown{1000};

Json Tenant(const char* name, const char* key) {
  return {{"name", name}, {"api_keys", {key}}, {"rate_per_s", 229}, {"burst", 229}};
}

Json Route(const char* name, const char* prefix, const char* kind, const char* service,
           bool retain) {
  return {{"name", name},       {"host", kHost},      {"path_prefix", prefix}, {"kind", kind},
          {"timeout_ms", 3000}, {"slo_ms", 200},      {"priority", 0},         {"service", service},
          {"attempts", 2},      {"retain", retain},   {"retain_s", 60.0},      {"no_auth", false},
          {"affinity", false},  {"resumable", false}, {"gap_target_ms", 150}};
}

Json Service(const char* name) {
  return {{"name", name},     {"health_path", "/healthz"},
          {"max_conns", 140}, {"protocol", "h1"},
          {"tls", false},     {"engine", {{"slots", 8}, {"stride", 14}}}};
}

Json Configuration() {
  return {{"version", 3},
          {"routes", Json::array({Route("r-consult", "/pufi791/", "stream", "huvo11a", true),
                                  Route("r-status", "/pule252/", "idempotent", "wuno96b", false)})},
          {"services", Json::array({Service("huvo11a"), Service("wuno96b")})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", Json::array({Tenant("hule930", kLongKey), Tenant("daki114", kKey)})}};
}

Request Turn(const char* key, const std::string& program, std::size_t input) {
  Request turn{"POST", "/pufi791/4b", kHost, key, {}, std::string(input, 'x')};
  turn.headers = {{"X-Program-Id", program},    {"X-Session-Id", "77d20b"},
                  {"X-Finish-Ms", "20000"},     {"X-Token-Budget", "224000"},
                  {"X-Token-Count", "1840,28"}, {"X-Model", "m"}};
  return turn;
}

/// Requests that were sent and answered whole with 200, in a span of time.
struct Count {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
};

/// Ordinary clients: lookups and first turns, one after the other, at all machines.
class Clients {
 public:
  explicit Clients(Deployment& deployment) : deployment_(deployment) {
    for (std::size_t k = 0; k < 6; ++k) threads_.emplace_back([this, k] { Run(k); });
  }
  void CountIn(Count* count) { count_ = count; }
  void Stop() {
    stopping_ = true;
    for (auto& one : threads_) one.join();
  }

 private:
  void Run(std::size_t k) {
    const Address front = deployment_.Front(k % deployment_.Fronts()).Front();
    for (int n = 0; !stopping_; ++n) {
      const std::string id = NewRequestId();
      const Request lookup{"GET", "/pule252/2f", kHost, kKey, {}, ""};
      Count* const count = count_;
      ++count->sent;
      const Message answer = Call(front, n % 2 == 0 ? lookup : Turn(kKey, id, 2000), id);
      count->served += answer.Status() == 200 && answer.whole ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

  Deployment& deployment_;
  Count ignored_;
  std::atomic<Count*> count_{&ignored_};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

/// Sends long turns through the first machine until the store refuses them.
int KeepLongTurns(Deployment& deployment, Store& store) {
  const auto until = Clock::now() + kFillTime;
  std::atomic<int> kept{0};
  std::vector<std::thread> clients;
  for (int k = 0; k < kLongClients; ++k) {
    clients.emplace_back([&] {
      std::unique_ptr<Connection> connection;
      while (store.Full() == 0 && Clock::now() < until) {
        if (!connection) {
          connection = Connection::Open(deployment.Front(0).Front(), milliseconds(1000));
        }
        if (!connection) continue;
        const std::string id = NewRequestId();
        const Message answer = Call(*connection, Turn(kLongKey, id, kLongInput), id);
        kept += answer.Status() == 200 && answer.whole ? 1 : 0;
        if (answer.Status() == 429) std::this_thread::sleep_for(milliseconds(100));
        if (!answer.whole || answer.Header("connection") == "close") connection.reset();
      }
    });
  }
  for (auto& one : clients) one.join();
  return kept;
}

int Play(const std::string& path) {
  Record record(path);
  Deployment deployment(record, {"krakow-a", "krakow-b", "tarnow"});
  Store& store = deployment.PlatformStore();
  store.Put("keyed.op", "config", Configuration().dump());
  std::atomic<int> runs{0};
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < 8; ++n) {
    const WorkerIdentity identity{"i-" + std::to_string(7000 + n), n < 5 ? "huvo11a" : "wuno96b",
                                  n % 2 == 0 ? "krakow-a" : "krakow-b", "v1", 8};
    workers.push_back(std::make_unique<Worker>(store, identity, Deployment::WorkerIp(), 0,
                                               WorkerWork{milliseconds(2), 2, milliseconds(2)},
                                               [&](const Run&) { ++runs; }));
  }
  if (!deployment.StartAll()) return 2;
  Count before;
  Count recovering;
  Count after;
  Clients clients(deployment);
  std::this_thread::sleep_for(milliseconds(2000));
  clients.CountIn(&before);
  std::this_thread::sleep_for(kBefore);
  if (WithTrouble()) {
    const int kept = KeepLongTurns(deployment, store);
    record.Line(std::to_string(kept) + " turns of " + std::to_string(kLongInput) +
                " bytes were answered whole; the store holds " +
                std::to_string(store.StoredBytes()) + " bytes and has refused " +
                std::to_string(store.Full()) + " appends");
    if (store.Full() == 0) return 2;
  }
  record.Line("final fault: all processes are killed");
  for (std::size_t n = 0; n < deployment.Fronts(); ++n) deployment.Front(n).Kill();
  clients.CountIn(&recovering);
  std::this_thread::sleep_for(kDown);
  for (std::size_t n = 0; n < deployment.Fronts(); ++n) deployment.Front(n).Start();
  record.Line("the machines are back");
  std::this_thread::sleep_for(kRecover);
  clients.CountIn(&after);
  std::this_thread::sleep_for(kAfter - kRecover);
  const int sent = after.sent;
  const int served = after.served;
  clients.Stop();
  record.Line("ordinary tenant before the final fault: " + std::to_string(before.served) + " of " +
              std::to_string(before.sent) + " requests served");
  record.Line("RECOVER: later than 12 s after the machines were back, " + std::to_string(served) +
              " of " + std::to_string(sent) +
              " requests served; appends refused as the store is "
              "full: " +
              std::to_string(store.Full()));
  const bool was_served = 4 * before.served >= before.sent;
  if (!was_served || sent == 0) return 2;
  const bool broken = 4 * served < sent;
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
