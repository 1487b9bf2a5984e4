#ifndef PERSIMMONSTAIR_SRC_ROUTING_DIFFERENTIAL_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_DIFFERENTIAL_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonstair::routing::differential {

/// @brief One random step; the numbers select among what exists when the step runs, so that any
/// subsequence of a sequence is itself valid.
struct Step {
  std::uint32_t kind = 0;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  std::uint32_t c = 0;
};

/// @brief Random steps of one seed: requests, ends of attempts, crashes, silence, late and repeated
/// events, reports, peers, catalogue changes, time.
std::vector<Step> MakeSteps(std::uint64_t seed, std::size_t n);

/// @brief Runs the steps against a Router and a naive model of its rules. Returns the first broken
/// rule, or an empty text.
std::string Run(const std::vector<Step>& steps, bool plan_ahead);

/// @brief The shortest sequence that was found to still break a rule.
std::vector<Step> Shrink(std::vector<Step> steps, bool plan_ahead);

/// @brief Text for a report: seed, rule and the shortest failing sequence; empty if none fails.
/// Odd seeds run with plan-ahead, even ones without.
std::string RunAndShrink(std::uint64_t seed, std::size_t n);

}  // namespace persimmonstair::routing::differential

#endif  // PERSIMMONSTAIR_SRC_ROUTING_DIFFERENTIAL_HPP_
