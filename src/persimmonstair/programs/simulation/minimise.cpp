#include "minimise.hpp"

#include <utility>

namespace persimmonstair::programs::simulation {

FailedSequence Minimise(std::uint64_t seed, std::vector<Op> ops, IndexChecks checks) {
  std::string violation = SimulatedCluster(checks).Run(ops);
  for (std::size_t part = ops.size() / 2; part > 0; part /= 2) {
    for (std::size_t from = 0; from < ops.size();) {
      std::vector<Op> fewer(ops.begin(), ops.begin() + static_cast<std::ptrdiff_t>(from));
      const std::size_t rest = std::min(from + part, ops.size());
      fewer.insert(fewer.end(), ops.begin() + static_cast<std::ptrdiff_t>(rest), ops.end());
      std::string still = SimulatedCluster(checks).Run(fewer);
      if (still.empty()) {
        from += part;
      } else {
        ops = std::move(fewer);
        violation = std::move(still);
      }
    }
  }
  return {seed, std::move(violation), std::move(ops)};
}

std::optional<FailedSequence> RunSeeds(std::uint64_t first, std::uint64_t count, std::size_t length,
                                       IndexChecks checks, Totals* totals) {
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::vector<Op> ops = Sequence(seed, length);
    SimulatedCluster cluster(checks);
    if (!cluster.Run(ops).empty()) return Minimise(seed, ops, checks);
    if (totals == nullptr) continue;
    totals->answers += cluster.RunCounts().answers;
    totals->takeovers += cluster.RunCounts().takeovers;
    totals->runs += cluster.RunCounts().runs;
  }
  return std::nullopt;
}

std::string Describe(const FailedSequence& failure) {
  std::string out = "seed " + std::to_string(failure.seed) + ": " + failure.violation;
  for (const Op& op : failure.ops) out += "\n  " + ToString(op);
  return out;
}

}  // namespace persimmonstair::programs::simulation
