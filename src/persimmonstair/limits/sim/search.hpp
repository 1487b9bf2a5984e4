#ifndef PERSIMMONSTAIR_LIMITS_SIM_SEARCH_HPP_
#define PERSIMMONSTAIR_LIMITS_SIM_SEARCH_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "sim/plan.hpp"

namespace persimmonstair::limits::sim {

/// @brief A plan that led to a violation.
struct Failure {
  Plan plan;
  std::string violation;
};

/// @brief Runs one random plan.
std::optional<Failure> TrySeed(std::uint64_t seed, const Switches& switches);

/// @brief Leaves out faults, load and time from a failing plan as long as it still fails.
Failure Shorten(Failure failure, const Switches& switches);

/// @brief Runs seeds [first, first + count); the first failure is shortened.
std::optional<Failure> TrySeeds(std::uint64_t first, std::uint64_t count, const Switches& switches);

/// @brief Text with seed, violation and shortest failing plan.
std::string Describe(const Failure& failure);

}  // namespace persimmonstair::limits::sim

#endif  // PERSIMMONSTAIR_LIMITS_SIM_SEARCH_HPP_
