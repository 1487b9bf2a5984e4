#ifndef PERSIMMONSTAIR_BENCH_POLICY_WORKLOAD_HPP_
#define PERSIMMONSTAIR_BENCH_POLICY_WORKLOAD_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonstair::bench {

/// @brief Sizes and program shape of one deployment. Times in seconds.
struct Deployment {
  std::string name;
  int engines = 10;
  int services = 18;
  int instances = 11;
  int data_centres = 3;
  /// Requests in one batch of an engine.
  int engine_slots = 8;
  int service_slots = 4;
  double prefill_tokens_per_s = 8000;
  /// For each request of a batch, while nothing is prefilled.
  double decode_tokens_per_s = 40;
  /// KV cache of an engine.
  int cache_tokens = 100'000;
  double caller_delay_s = 0.001;
  double between_centres_s = 0.0005;
  /// Shares of the admitted programs; the first workspace floods.
  std::vector<double> shares;

  double turns_median = 6;
  double turns_sigma = 0.7;
  int first_prompt_tokens = 2000;
  int turn_tokens = 350;
  double completion_tokens = 150;
  double pause_s = 2;
  double service_chance = 0.3;
  double service_s = 0.15;
  double child_chance = 0.08;
};

Deployment RosaryDesk();
Deployment Puitsnet();

/// @brief A turn and what happens between it and the next one.
struct Turn {
  int new_tokens = 0;
  int completion_tokens = 0;
  double pause_s = 0;
  /// Time of a service call after the turn; 0 for none.
  double service_s = 0;
  /// Sub-programs that start after the turn and must end before the next one.
  std::vector<int> children;
};

struct ProgramPlan {
  int workspace = 0;
  int parent = -1;
  int root = -1;
  int instance = 0;
  double arrival_s = 0;
  /// The exact rate limiter admits it.
  bool in_rate = true;
  std::vector<Turn> turns;
  /// Latency alone on idle engines with its prefix cached.
  double ideal_s = 0;
};

/// @brief What a load of 1 means.
enum class LoadBasis {
  /// Every token is prefilled once.
  kNeeded,
  /// Every turn prefills its prompt again at 9 of 10 engines, as round robin does.
  kNaive,
};

struct Workload {
  std::vector<ProgramPlan> programs;
  /// Programs per second that each workspace may start.
  std::vector<double> rate_per_s;
  std::vector<double> burst;
};

/// @brief Programs that arrive until `end_s` at the given load; the first workspace sends four
/// times its rate, of which the exact limiter admits one.
Workload MakeWorkload(const Deployment& deployment, LoadBasis basis, double load, double end_s,
                      std::uint64_t seed);

}  // namespace persimmonstair::bench

#endif  // PERSIMMONSTAIR_BENCH_POLICY_WORKLOAD_HPP_
