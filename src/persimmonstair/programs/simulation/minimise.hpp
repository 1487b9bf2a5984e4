#ifndef PERSIMMONSTAIR_PROGRAMS_SIMULATION_MINIMISE_HPP_
#define PERSIMMONSTAIR_PROGRAMS_SIMULATION_MINIMISE_HPP_

#include <string>
#include <vector>

#include "cluster.hpp"

namespace persimmonstair::programs::simulation {

/// @brief A sequence that led to a violation.
struct FailedSequence {
  std::uint64_t seed = 0;
  std::string violation;
  /// Steps that are left after Minimise().
  std::vector<Op> ops;
};

/// @brief Sums over all sequences, which show whether they contain answers, takeovers and runs.
struct Totals {
  std::uint64_t answers = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t runs = 0;
};

/// @brief Shortens a failing sequence: removes parts, from half of it down to single steps, as long
/// as any violation remains.
FailedSequence Minimise(std::uint64_t seed, std::vector<Op> ops, IndexChecks checks);

/// @brief Runs the sequences of `count` seeds from `first`. Returns the first one that fails,
/// shortened.
std::optional<FailedSequence> RunSeeds(std::uint64_t first, std::uint64_t count, std::size_t length,
                                       IndexChecks checks = {}, Totals* totals = nullptr);

/// @brief Returns seed, violation and steps as text.
std::string Describe(const FailedSequence& failure);

}  // namespace persimmonstair::programs::simulation

#endif  // PERSIMMONSTAIR_PROGRAMS_SIMULATION_MINIMISE_HPP_
