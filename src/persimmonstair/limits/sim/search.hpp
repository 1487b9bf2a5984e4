#ifndef PERSIMMONSTAIR_LIMITS_SIM_SEARCH_HPP_
#define PERSIMMONSTAIR_LIMITS_SIM_SEARCH_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "sim/plan.hpp"

namespace persimmonstair::limits::sim {

/// @brief A plan that led to a violation, and the description of the violation.
struct Failure {
  Plan plan;
  std::string violation;
};

/// @brief Runs the random plan of a seed. Returns the failure, or nothing if there was no
/// violation.
std::optional<Failure> TrySeed(std::uint64_t seed, const Switches& switches);

/// @brief Removes faults, probabilities, instances and time from a failing plan while it still
/// fails.
Failure Shorten(Failure failure, const Switches& switches);

/// @brief Runs seeds [first, first + count) up to the first failure, which is shortened.
std::optional<Failure> TrySeeds(std::uint64_t first, std::uint64_t count, const Switches& switches);

/// @brief Text with the violation and the failing plan, which includes the seed.
std::string Describe(const Failure& failure);

}  // namespace persimmonstair::limits::sim

#endif  // PERSIMMONSTAIR_LIMITS_SIM_SEARCH_HPP_
