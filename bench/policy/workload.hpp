#ifndef PERSIMMONSTAIR_BENCH_POLICY_WORKLOAD_HPP_
#define PERSIMMONSTAIR_BENCH_POLICY_WORKLOAD_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonstair::bench {

/// @brief Sizes of one deployment and the distributions of its programs. Times in seconds.
struct Deployment {
  std::string name;
  int engines = 10;
  int services = 18;
  int instances = 11;
  int data_centres = 3;
  /// Maximum number of requests in the batch of an engine.
  int engine_slots = 8;
  int service_slots = 4;
  double prefill_tokens_per_s = 8000;
  /// For each request of a batch, while no prompt is prefilled.
  double decode_tokens_per_s = 40;
  /// Capacity of the KV cache of an engine.
  int cache_tokens = 100'000;
  /// One-way delay between a caller and an instance.
  double caller_delay_s = 0.001;
  /// One-way delay between two data centres.
  double between_centres_s = 0.0005;
  /// Share of each workspace in the admitted programs. The first workspace exceeds its rate limit.
  std::vector<double> shares;

  /// Turns of a program have a log-normal distribution.
  double turns_median = 6;
  double turns_sigma = 0.7;
  /// Means of one turn. The first turn has first_prompt_tokens in addition to turn_tokens.
  int first_prompt_tokens = 2000;
  int turn_tokens = 350;
  double completion_tokens = 150;
  double pause_s = 2;
  /// Probability of a service call after a turn, and its mean duration.
  double service_chance = 0.3;
  double service_s = 0.15;
  /// Probability of sub-programs after a turn of a root program.
  double child_chance = 0.08;
};

/// @brief The two deployments that policy_bench simulates.
Deployment RosaryDesk();
Deployment Puitsnet();

/// @brief A turn and the activities between it and the next turn.
struct Turn {
  int new_tokens = 0;
  int completion_tokens = 0;
  double pause_s = 0;
  /// Duration of a service call after the turn; 0 for none.
  double service_s = 0;
  /// Sub-programs that start after the turn and must end before the next one.
  std::vector<int> children;
};

/// @brief The planned course of a program. `parent` and `root` are indexes of programs; a program
/// without a parent has -1.
struct ProgramPlan {
  int workspace = 0;
  int parent = -1;
  int root = -1;
  int instance = 0;
  double arrival_s = 0;
  /// Whether the exact rate limiter admits the program.
  bool in_rate = true;
  std::vector<Turn> turns;
  /// Latency on otherwise idle engines that keep the prefix of the program.
  double ideal_s = 0;
};

/// @brief The engine work that counts as a load of 1.
enum class LoadBasis {
  /// Every token is prefilled once.
  kNeeded,
  /// Every turn prefills its whole prompt again at 9 of 10 engines, as with round robin.
  kNaive,
};

/// @brief The programs of a run and the rate limits of the workspaces.
struct Workload {
  std::vector<ProgramPlan> programs;
  /// Programs per second that each workspace may start.
  std::vector<double> rate_per_s;
  std::vector<double> burst;
};

/// @brief Generates the programs that arrive until `end_s` at the given load. The first workspace
/// sends four times its rate, of which the exact limiter admits one quarter.
Workload MakeWorkload(const Deployment& deployment, LoadBasis basis, double load, double end_s,
                      std::uint64_t seed);

}  // namespace persimmonstair::bench

#endif  // PERSIMMONSTAIR_BENCH_POLICY_WORKLOAD_HPP_
