#ifndef PERSIMMONSTAIR_BENCH_POLICY_SIMULATION_HPP_
#define PERSIMMONSTAIR_BENCH_POLICY_SIMULATION_HPP_

#include <optional>
#include <string>

#include "persimmonstair/routing/settings.hpp"
#include "workload.hpp"

namespace persimmonstair::bench {

/// @brief One compared policy, a row of the printed table.
struct Policy {
  std::string name;
  /// Settings of the routers. Without them, calls are sent round robin and the targets serve them
  /// first in, first out.
  std::optional<routing::Settings> settings;
  /// Limits each workspace at each instance to its rate divided by the number of instances, instead
  /// of applying the exact limiter.
  bool static_rate = false;
};

/// @brief Start and end times of a run in virtual seconds.
struct RunPeriod {
  /// Programs that arrive earlier are not measured.
  double warm_up_s = 120;
  /// Arrivals stop here. The run continues until all programs have ended.
  double end_s = 720;
  /// The run stops here even if programs have not ended.
  double limit_s = 20'000;
};

/// @brief Results of a run. Percentiles are of the latencies of programs.
struct Measures {
  double p50_s = 0;
  double p95_s = 0;
  double p99_s = 0;
  /// Prompt tokens that were prefilled again although an earlier turn had already computed them.
  double wasted_tokens = 0;
  /// Mean of latency / ideal latency, for the workspace with the highest mean.
  double worst_slowdown = 0;
  int worst_workspace = 0;
  /// Refusals of programs or calls that the exact limiter admits: by the static rate limiter, and
  /// by full queues.
  double rate_refusals = 0;
  double queue_refusals = 0;
  /// Engine time needed by the requests that engines admitted before `end_s`, divided by the
  /// available engine time.
  double utilisation = 0;
  /// The part of wasted_tokens for which the turn ran on the same engine as the previous one, so
  /// the prefix had been evicted.
  double evicted_tokens = 0;
  int programs = 0;
  int unfinished = 0;
};

/// @brief Runs the workload under the policy in virtual time.
Measures Simulate(const Deployment& deployment, const Workload& workload, const Policy& policy,
                  const RunPeriod& run_period);

}  // namespace persimmonstair::bench

#endif  // PERSIMMONSTAIR_BENCH_POLICY_SIMULATION_HPP_
