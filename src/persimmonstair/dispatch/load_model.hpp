#ifndef PERSIMMONSTAIR_SRC_DISPATCH_LOAD_MODEL_HPP_
#define PERSIMMONSTAIR_SRC_DISPATCH_LOAD_MODEL_HPP_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "persimmonstair/base/ids.hpp"

namespace persimmonstair::dispatch::model {

/// @brief A kind of program and the load that its callers offer.
struct Kind {
  base::RouteId route;
  std::uint32_t priority = 0;
  /// Turns of the main line; the sub-agents run in parallel between the first and the second half.
  int main_turns = 4;
  int sub_agents = 0;
  int sub_turns = 0;
  /// Programs per second that begin, and the factor of the surge.
  double per_s = 0;
  double surge = 1;
};

/// @brief A run of the model: the surge lasts from `surge_begin` to `surge_end`.
struct Plan {
  std::size_t instances = 21;
  std::size_t engines = 11;
  std::vector<Kind> kinds;
  double surge_begin_s = 6;
  double surge_end_s = 12;
  double end_s = 20;
  std::uint32_t seed = 1;
  /// False admits all programs.
  bool admission = true;
};

/// @brief Programs of one kind that began in one second, by how they ended.
struct Tally {
  int begun = 0;
  /// Within the objective.
  int in_time = 0;
  /// Later, but in less than twice that time.
  int late = 0;
};

/// @brief What a run measured.
struct Report {
  /// By kind and by the second in which the program began.
  std::vector<std::vector<Tally>> by_second;
  std::uint64_t rejections = 0;
  /// Tokens of earlier prompt parts that were read again.
  std::uint64_t read_again = 0;
  /// Requests of programs under way that admission control refused.
  std::uint64_t refused_under_way = 0;

  Tally Sum(std::size_t kind, std::size_t from_s, std::size_t to_s) const;
};

/// @brief Simulates instances, engines and callers in virtual time.
///
/// Engines run 6 requests at once, queue 18 and reject further ones. A turn generates 73 tokens on
/// average at 2.3 ms a step; a prompt is read at 83 tokens a ms, which delays the requests that
/// run. An engine keeps 53,500 tokens of prompts and evicts those that were not used for the
/// longest time. Each turn of a program comes through a random instance, and instances learn loads
/// only from responses to their own requests. Callers send a failed turn again as
/// docs/design/hard-load.md says.
Report Run(const Plan& plan);

}  // namespace persimmonstair::dispatch::model

#endif  // PERSIMMONSTAIR_SRC_DISPATCH_LOAD_MODEL_HPP_
