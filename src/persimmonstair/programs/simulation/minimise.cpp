#include "minimise.hpp"

#include <utility>

namespace persimmonstair::programs::simulation {

Finding Minimise(std::uint64_t seed, std::vector<Op> ops, IndexChecks checks) {
  std::string rule = World(checks).Run(ops);
  for (std::size_t part = ops.size() / 2; part > 0; part /= 2) {
    for (std::size_t from = 0; from < ops.size();) {
      std::vector<Op> fewer(ops.begin(), ops.begin() + static_cast<std::ptrdiff_t>(from));
      const std::size_t rest = std::min(from + part, ops.size());
      fewer.insert(fewer.end(), ops.begin() + static_cast<std::ptrdiff_t>(rest), ops.end());
      std::string still = World(checks).Run(fewer);
      if (still.empty()) {
        from += part;
      } else {
        ops = std::move(fewer);
        rule = std::move(still);
      }
    }
  }
  return {seed, std::move(rule), std::move(ops)};
}

std::optional<Finding> RunSeeds(std::uint64_t first, std::uint64_t count, std::size_t length,
                                IndexChecks checks, Totals* totals) {
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::vector<Op> ops = Sequence(seed, length);
    World world(checks);
    if (!world.Run(ops).empty()) return Minimise(seed, ops, checks);
    if (totals == nullptr) continue;
    totals->answers += world.Seen().answers;
    totals->takeovers += world.Seen().takeovers;
    totals->runs += world.Seen().runs;
  }
  return std::nullopt;
}

std::string Describe(const Finding& finding) {
  std::string out = "seed " + std::to_string(finding.seed) + ": " + finding.rule;
  for (const Op& op : finding.ops) out += "\n  " + ToString(op);
  return out;
}

}  // namespace persimmonstair::programs::simulation
