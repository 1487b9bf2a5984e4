#ifndef PERSIMMONSTAIR_PROGRAMS_SIMULATION_MINIMISE_HPP_
#define PERSIMMONSTAIR_PROGRAMS_SIMULATION_MINIMISE_HPP_

#include <string>
#include <vector>

#include "cluster.hpp"

namespace persimmonstair::programs::simulation {

/// @brief A sequence of a seed that breaks a rule.
struct FailedSequence {
  std::uint64_t seed = 0;
  std::string violation;
  /// The shortest failing part found by leaving out steps.
  std::vector<Op> ops;
};

/// @brief Sums over all sequences, to show that they exercise what they are meant to.
struct Totals {
  std::uint64_t answers = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t runs = 0;
};

/// @brief Leaves out ever smaller parts of a failing sequence while any rule is still broken.
FailedSequence Minimise(std::uint64_t seed, std::vector<Op> ops, IndexChecks checks);

/// @brief Runs the sequences of `count` seeds from `first`; stops at the first that breaks a rule.
std::optional<FailedSequence> RunSeeds(std::uint64_t first, std::uint64_t count, std::size_t length,
                                       IndexChecks checks = {}, Totals* totals = nullptr);

/// @brief Seed, rule and steps as text.
std::string Describe(const FailedSequence& failure);

}  // namespace persimmonstair::programs::simulation

#endif  // PERSIMMONSTAIR_PROGRAMS_SIMULATION_MINIMISE_HPP_
