// Measures the distributed rate limiter: refusals of requests within the rate under skewed
// arrivals, compared with a static rate/N; the time of an admission decision; and the control
// traffic at 1, 10 and 100 times 11 instances and 8 workspaces.
//
//   limits_bench [refusals|admit|traffic]
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/limits/bucket.hpp"
#include "sim/world.hpp"

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using persimmonstair::base::Duration;
using persimmonstair::base::RequestId;
using persimmonstair::base::TimePoint;
using persimmonstair::base::WorkspaceId;
using persimmonstair::limits::Bucket;
using persimmonstair::limits::Decision;
using persimmonstair::limits::Limit;
using persimmonstair::limits::Limiter;
using persimmonstair::limits::sim::ExactBucket;
using persimmonstair::limits::sim::Observer;
using persimmonstair::limits::sim::Plan;
using persimmonstair::limits::sim::World;

constexpr std::size_t kInstances = 11;
// Requests per second of each workspace: a few large ones among small ones.
constexpr double kRates[] = {200, 100, 50, 20, 10, 10, 5, 5};
constexpr double kBurstSeconds = 2;

std::vector<Limit> Limits(std::size_t workspaces) {
  std::vector<Limit> out;
  for (std::size_t n = 0; n < workspaces; ++n) {
    const double rate = kRates[n % std::size(kRates)];
    out.push_back({rate, rate * kBurstSeconds});
  }
  return out;
}

// Static rate/N limiter: each instance has a fixed part of the rate and a burst of at least one
// token.
class StaticShares {
 public:
  explicit StaticShares(const std::vector<Limit>& limits) : limits_(limits) {}

  bool TryTake(TimePoint now, std::size_t workspace, std::size_t instance) {
    auto [it, is_new] = buckets_.try_emplace({workspace, instance});
    Bucket& bucket = it->second;
    const double burst = std::max(1.0, limits_[workspace].burst / kInstances);
    if (is_new) {
      bucket.SetLimits(now, limits_[workspace].rate_per_s / kInstances, burst);
      bucket.Put(now, burst);
    }
    if (bucket.Level(now) < 1) return false;
    bucket.Take(1);
    return true;
  }

 private:
  std::vector<Limit> limits_;
  std::map<std::pair<std::size_t, std::size_t>, Bucket> buckets_;
};

// Numbers of requests. The refusals are of requests within the rate: by the distributed limiter,
// and by the fixed parts of the static limiter.
struct Refusals {
  std::uint64_t offered = 0;
  std::uint64_t in_rate = 0;
  std::uint64_t refused_by_limiter = 0;
  std::uint64_t fixed = 0;
};

// An exact token bucket determines which requests are within the rate. Both limiters get the same
// arrivals.
Refusals MeasureRefusals(const Plan& plan, Duration warm_up) {
  Refusals out;
  StaticShares fixed(plan.limits);
  std::vector<ExactBucket> exact(plan.limits.size());
  for (std::size_t n = 0; n < exact.size(); ++n) {
    exact[n].SetLimit(TimePoint{} + 1s, plan.limits[n]);
  }
  std::set<std::uint64_t> in_rate;
  const TimePoint start = TimePoint{} + 1s + warm_up;
  Observer observer;
  observer.arrived = [&](TimePoint now, std::size_t workspace, std::uint64_t request,
                         std::size_t instance) {
    const bool within = exact[workspace].TryTake(now);
    const bool fixed_admits = fixed.TryTake(now, workspace, instance);
    if (now < start) return;
    ++out.offered;
    if (!within) return;
    in_rate.insert(request);
    ++out.in_rate;
    if (!fixed_admits) ++out.fixed;
  };
  observer.refused = [&](TimePoint, std::size_t, std::uint64_t request) {
    if (in_rate.contains(request)) ++out.refused_by_limiter;
  };
  World world(plan, {}, observer);
  if (auto violation = world.Run()) {
    std::printf("VIOLATION: %s\n", violation->c_str());
  }
  const auto counters = world.Counters();
  std::printf("  loans per admitted request %.3f, loan requests %.3f, share moves %llu\n",
              static_cast<double>(counters.loans_given) / static_cast<double>(counters.admitted),
              static_cast<double>(counters.loan_requests) / static_cast<double>(counters.admitted),
              static_cast<unsigned long long>(counters.moves));
  return out;
}

void PrintRefusals() {
  std::printf(
      "refused requests within the rate, %zu instances, 8 workspaces, 60 s after 60 s of warm-up\n",
      kInstances);
  std::printf("%6s %6s %10s %10s %10s %10s\n", "load", "skew", "moves", "in rate", "escrow",
              "static/N");
  for (const double load : {0.9, 1.0}) {
    for (const auto& [skew, period] : std::vector<std::pair<double, Duration>>{
             {0.0, 0s}, {0.5, 0s}, {0.9, 0s}, {0.9, 30s}, {0.9, 10s}, {0.9, 2s}}) {
      Plan plan;
      plan.seed = 42;
      plan.instances = kInstances;
      plan.length = 120s;
      plan.limits = Limits(8);
      plan.load = load;
      plan.skew = skew;
      plan.skew_period = period;
      plan.peer_latency_us = 500;
      const Refusals r = MeasureRefusals(plan, 60s);
      const auto percent = [&](std::uint64_t n) {
        return 100.0 * static_cast<double>(n) / static_cast<double>(r.in_rate);
      };
      std::printf(
          "%6.2f %6.2f %9llds %10llu %9.4f%% %9.4f%%\n", load, skew,
          static_cast<long long>(std::chrono::duration_cast<std::chrono::seconds>(period).count()),
          static_cast<unsigned long long>(r.in_rate), percent(r.refused_by_limiter),
          percent(r.fixed));
    }
  }
}

// Measures Admit() of one instance that holds the whole rate of all workspaces.
void PrintAdmit() {
  namespace membership = persimmonstair::membership;
  namespace schema = persimmonstair::schema;
  for (const std::size_t scale : {1U, 10U, 100U}) {
    const std::size_t workspaces = 8 * scale;
    const persimmonstair::base::InstanceId self{"i0"};
    Limiter limiter(self, "p0", 1);
    membership::Registry registry;
    TimePoint now = TimePoint{} + 1s;
    std::uint64_t offset = 1;
    const auto apply = [&](const schema::Record& record) {
      const auto effect = registry.Apply(persimmonstair::base::Offset{offset++}, record);
      limiter.OnRecord(now, record, effect, registry);
    };
    apply(schema::InstanceRegistered{{"r"}, self, {"dc"}, {1}});
    membership::LeaseView view;
    view.registered = true;
    view.incarnation = {1};
    view.leased_until = view.tick_deadline = TimePoint::max();
    limiter.SetLease(now, view);
    std::vector<WorkspaceId> names;
    for (std::size_t n = 0; n < workspaces; ++n) {
      names.push_back({"w" + std::to_string(n)});
      limiter.SetLimit(now, names[n], {1e9, 1e9});
      apply(schema::ShareClaim{{"c" + std::to_string(n)}, names[n], self, {1}, 0});
    }
    constexpr std::uint64_t k_requests = 3'000'000;
    std::uint64_t admitted = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t n = 0; n < k_requests; ++n) {
      now += 1us;
      const auto result = limiter.Admit(now, names[n * 7919 % workspaces], RequestId{n});
      admitted += result.admission.decision == Decision::kAdmitted ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    std::printf("admit with %4zu workspaces: %6.1f ns (%llu of %llu admitted)\n", workspaces,
                took.count() / k_requests, static_cast<unsigned long long>(admitted),
                static_cast<unsigned long long>(k_requests));
  }
}

void PrintTraffic() {
  std::printf("control traffic in the steady state, load 0.5 spread evenly, no moving hot spot\n");
  std::printf("%10s %10s %10s %10s %12s %14s %14s %12s\n", "instances", "workspaces", "appends/s",
              "records/s", "log B/s", "read B/s/inst", "peer B/s/inst", "requests/s");
  for (const std::size_t scale : {1U, 10U, 100U}) {
    Plan plan;
    plan.seed = 7;
    plan.instances = kInstances * scale;
    plan.length = 60s;
    plan.limits = Limits(8 * scale);
    plan.load = 0.5;
    plan.skew = 0.5;
    plan.peer_latency_us = 500;
    World world(plan, {});
    constexpr Duration k_warm_up = 40s;
    if (auto violation = world.RunUntil(k_warm_up)) {
      std::printf("VIOLATION: %s\n", violation->c_str());
    }
    world.ResetTotals();
    world.CountBytes();
    if (auto violation = world.Run()) {
      std::printf("VIOLATION: %s\n", violation->c_str());
    }
    const auto& t = world.Counts();
    const double seconds = persimmonstair::base::ToSeconds(plan.length - k_warm_up);
    const double n = static_cast<double>(plan.instances);
    const auto rate = [&](std::uint64_t v) { return static_cast<double>(v) / seconds; };
    std::printf("%10zu %10zu %10.2f %10.2f %12.0f %14.0f %14.0f %12.0f\n", plan.instances,
                plan.limits.size(), rate(t.appends), rate(t.records), rate(t.record_bytes),
                rate(t.record_bytes), 2 * rate(t.message_bytes) / n, rate(t.arrivals));
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::string part = argc > 1 ? argv[1] : "";
  if (part.empty() || part == "refusals") PrintRefusals();
  if (part.empty() || part == "admit") PrintAdmit();
  if (part.empty() || part == "traffic") PrintTraffic();
  return 0;
}
