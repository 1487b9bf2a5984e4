#ifndef PERSIMMONSTAIR_SRC_ROUTING_DIFFERENTIAL_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_DIFFERENTIAL_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonstair::routing::differential {

/// @brief One random step. The numbers select among the requests, attempts and targets that exist
/// when the step runs, so that any subsequence of a sequence of steps is valid too.
struct Step {
  std::uint32_t kind = 0;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  std::uint32_t c = 0;
};

/// @brief Generates `n` random steps from a seed: requests, ends of attempts, crashes, timeouts,
/// late and repeated events, load reports, events of peers, catalogue changes and ticks.
std::vector<Step> MakeSteps(std::uint64_t seed, std::size_t n);

/// @brief Applies the steps to a Router and to the ReferenceModel. Returns the first rule that the
/// router breaks, or an empty string. `plan_ahead` is the value of Settings::plan_ahead.
std::string Run(const std::vector<Step>& steps, bool plan_ahead);

/// @brief Removes steps from a failing sequence as long as the rest still breaks a rule, and
/// returns the shortest sequence found.
std::vector<Step> Shrink(std::vector<Step> steps, bool plan_ahead);

/// @brief Runs `n` random steps. Returns a report with the seed, the broken rule and the shrunk
/// sequence, or an empty string if no rule is broken. Odd seeds run with Settings::plan_ahead, even
/// seeds without.
std::string RunAndShrink(std::uint64_t seed, std::size_t n);

}  // namespace persimmonstair::routing::differential

#endif  // PERSIMMONSTAIR_SRC_ROUTING_DIFFERENTIAL_HPP_
