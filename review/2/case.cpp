// All processes are killed while the store is silent, and start again before it returns.

#include "deployment.hpp"

namespace {

using review::Message;

constexpr int kDeadlineMs = 1500;
/// How long the store is silent, and when the processes are killed and start again within it.
constexpr int kSilentMs = 4500;
constexpr int kKillAfterMs = 1000;
constexpr int kDownMs = 500;
/// When the operator adds a route, after the store's return: later than `contact_ms` and
/// `config_ms`.
constexpr int kRouteAfterMs = 6000;
constexpr int kConfigMs = 2000;
constexpr int kRequests = 40;
constexpr int kLaterMs = 20'000;

struct Served {
  int asked = 0;
  int served = 0;
};

// Sends requests on a route, at all machines in turn.
Served Ask(const std::list<review::Entry>& entries, const std::string& route, int count,
           int pause_ms, review::Record& record) {
  static int next = 0;
  Served result;
  std::map<int, int> by_status;
  for (int n = 0; n < count; ++n) {
    const auto& at = *std::next(entries.begin(), n % static_cast<int>(entries.size()));
    const Message answer =
        review::Call(at,
                     review::ClientRequest("GET", "/" + route + "/x", "r" + std::to_string(next++),
                                           kDeadlineMs, {}, {}),
                     kDeadlineMs);
    ++by_status[answer.Status()];
    ++result.asked;
    result.served += answer.Status() == 200 ? 1 : 0;
    review::SleepMs(pause_ms);
  }
  std::string line = "requests on " + route + ":";
  for (const auto& [status, n] : by_status) {
    line += " " + std::to_string(n) + " x " + std::to_string(status);
  }
  record.Line(line);
  return result;
}

int RunCase(const std::string& record_path) {
  review::Record record(record_path);
  const std::string folder = review::Folder();
  review::Store store;
  auto routes = nlohmann::json::array({review::Route("first", "idempotent", "desk-app")});
  auto configuration = review::Configuration(routes);
  store.Put("keyed.op", "config", configuration.dump());
  std::list<review::Worker> workers;
  for (int n = 0; n < 17; ++n) {
    workers.emplace_back(
        store, "i-" + std::to_string(n), "desk-app", review::kZones[n % 3],
        [](review::Worker&, const Message& request, review::Connection& c) {
          review::SleepMs(20);
          return c.Send(review::Response(200, review::Worker::Headers(request), "note"));
        });
  }
  std::list<review::Entry> entries;
  for (const auto& zone : review::kZones) {
    entries.emplace_back("front-" + zone + "-1", zone, store.Port(), folder);
  }
  for (const auto& one : entries) one.AwaitReady();
  review::SleepMs(2000);
  record.Line("three machines are ready");
  Served first = Ask(entries, "first", 2 * kRequests, 20, record);
  if (review::Trouble()) {
    record.Line("the store is silent");
    store.silent = true;
    review::SleepMs(kKillAfterMs);
    record.Line("all processes are killed");
    for (auto& one : entries) one.Kill();
    review::SleepMs(kDownMs);
    for (auto& one : entries) one.Start();
    record.Line("all processes start");
    review::SleepMs(kSilentMs - kKillAfterMs - kDownMs);
    store.silent = false;
    record.Line("the store is back");
  }
  review::SleepMs(kRouteAfterMs);
  routes.push_back(review::Route("later", "idempotent", "desk-app"));
  configuration["routes"] = routes;
  configuration["version"] = 9;
  store.Put("keyed.op", "config", configuration.dump());
  record.Line("the operator adds a route");
  review::SleepMs(kConfigMs);
  const Served later = Ask(entries, "later", kRequests, kLaterMs / kRequests, record);
  const Served again = Ask(entries, "first", kRequests, 20, record);
  first.asked += again.asked;
  first.served += again.served;
  record.Line(std::to_string(later.served) + " of " + std::to_string(later.asked) +
              " requests on the route that was added are served, " + std::to_string(first.served) +
              " of " + std::to_string(first.asked) + " on the first");
  if (first.served < kRequests) return review::kNotRun;
  const bool broken =
      later.asked >= 20 && 4 * later.served * first.asked < first.served * later.asked;
  return broken ? review::kBroken : review::kHeld;
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
