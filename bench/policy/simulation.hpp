#ifndef PERSIMMONSTAIR_BENCH_POLICY_SIMULATION_HPP_
#define PERSIMMONSTAIR_BENCH_POLICY_SIMULATION_HPP_

#include <optional>
#include <string>

#include "persimmonstair/routing/settings.hpp"
#include "workload.hpp"

namespace persimmonstair::bench {

/// @brief A row of the table; without `settings` it is round robin with first in first out.
struct Policy {
  std::string name;
  std::optional<routing::Settings> settings;
  /// Rate / instances at each instance instead of the exact limiter.
  bool static_rate = false;
};

/// @brief Times of a run in virtual seconds.
struct RunPeriod {
  /// Programs that arrive before are not measured.
  double warm_up_s = 120;
  /// Arrivals end here; the run goes on until all programs have ended.
  double end_s = 720;
  double limit_s = 20'000;
};

struct Measures {
  double p50_s = 0;
  double p95_s = 0;
  double p99_s = 0;
  /// Prompt tokens that an earlier turn had computed and that were prefilled again.
  double wasted_tokens = 0;
  /// Mean of latency / latency alone, of the workspace for which it is highest.
  double worst_slowdown = 0;
  int worst_workspace = 0;
  /// Refusals of programs or turns that the exact limiter admits: by the rate limiter, by queues.
  double rate_refusals = 0;
  double queue_refusals = 0;
  /// Engine seconds of the requests admitted by engines before `end_s` / engine time.
  double utilisation = 0;
  /// Part of wasted_tokens whose engine was the one of the previous turn: evicted meanwhile.
  double evicted_tokens = 0;
  int programs = 0;
  int unfinished = 0;
};

Measures Simulate(const Deployment& deployment, const Workload& workload, const Policy& policy,
                  const RunPeriod& run_period);

}  // namespace persimmonstair::bench

#endif  // PERSIMMONSTAIR_BENCH_POLICY_SIMULATION_HPP_
