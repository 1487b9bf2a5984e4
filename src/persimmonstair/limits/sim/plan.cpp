#include "sim/plan.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <random>
#include <sstream>

namespace persimmonstair::limits::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<const char*, 13> kNames = {
    "kill",      "pause",      "duplicate", "join",       "leave",      "log_outage", "log_slow",
    "log_blind", "read_blind", "partition", "peer_split", "limit_edit", "floor_edit"};

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}
  std::int64_t RandomBetween(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(high - low + 1));
  }
  bool OneIn(std::int64_t n) { return RandomBetween(1, n) == 1; }
  double RandomUnit() { return static_cast<double>(random_() >> 11U) * 0x1p-53; }

 private:
  std::mt19937_64 random_;
};

Limit RandomLimit(RandomSource& random_source) {
  return {static_cast<double>(random_source.RandomBetween(2, 40)),
          static_cast<double>(random_source.RandomBetween(1, 40))};
}

base::Duration RandomLength(RandomSource& random_source, FaultKind kind) {
  switch (kind) {
    case FaultKind::kKill:
      return random_source.OneIn(3) ? milliseconds{0}
                                    : milliseconds{random_source.RandomBetween(50, 8'000)};
    case FaultKind::kPause:
      return random_source.OneIn(2) ? milliseconds{random_source.RandomBetween(20, 2'500)}
                                    : milliseconds{random_source.RandomBetween(2'000, 15'000)};
    default:
      return milliseconds{random_source.RandomBetween(200, 15'000)};
  }
}

Fault RandomFault(RandomSource& random_source, base::Duration length) {
  Fault fault;
  fault.at = milliseconds{random_source.RandomBetween(500, base::ToMillis(length))};
  fault.kind = static_cast<FaultKind>(
      random_source.RandomBetween(0, static_cast<std::int64_t>(kNames.size()) - 1));
  fault.subject = static_cast<std::uint32_t>(random_source.RandomBetween(0, 1'000));
  fault.length = RandomLength(random_source, fault.kind);
  fault.limit = RandomLimit(random_source);
  return fault;
}

FaultProbabilities RandomProbabilities(RandomSource& random_source) {
  FaultProbabilities out;
  for (double* fault_probability : {&out.lose_message, &out.repeat_message, &out.late_message,
                                    &out.lose_answer, &out.late_append, &out.repeat_append}) {
    if (random_source.OneIn(2)) *fault_probability = random_source.RandomUnit() * 0.3;
  }
  return out;
}

}  // namespace

Plan RandomPlan(std::uint64_t seed) {
  RandomSource random_source(seed * 0x9E3779B97F4A7C15ULL + 1);
  Plan plan;
  plan.seed = seed;
  plan.instances = static_cast<std::size_t>(random_source.RandomBetween(3, 11));
  plan.data_centres = static_cast<std::size_t>(random_source.RandomBetween(1, 3));
  plan.length = seconds{random_source.RandomBetween(10, 40)};
  const std::int64_t workspaces = random_source.RandomBetween(1, 2);
  for (std::int64_t n = 0; n < workspaces; ++n) plan.limits.push_back(RandomLimit(random_source));
  plan.load = 0.5 + random_source.RandomUnit() * 2.5;
  plan.skew = random_source.RandomUnit() * 0.9;
  plan.skew_period = milliseconds{random_source.RandomBetween(1'000, 10'000)};
  plan.probabilities = RandomProbabilities(random_source);
  const std::int64_t faults = random_source.RandomBetween(0, 10);
  for (std::int64_t n = 0; n < faults; ++n) {
    Fault fault = RandomFault(random_source, plan.length);
    plan.faults.push_back(fault);
    // The usual cause of two processes under one id: the first was taken for dead.
    if (fault.kind != FaultKind::kPause || !random_source.OneIn(2)) continue;
    fault.kind = FaultKind::kDuplicate;
    fault.at += milliseconds{random_source.RandomBetween(1, 3'000)};
    plan.faults.push_back(fault);
  }
  std::sort(plan.faults.begin(), plan.faults.end(),
            [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return plan;
}

std::string Describe(const Plan& plan) {
  std::ostringstream out;
  out << "seed " << plan.seed << ", " << plan.instances << " instances in " << plan.data_centres
      << " data centres, " << base::ToMillis(plan.length) << " ms, load " << plan.load
      << ", limits";
  for (const Limit& limit : plan.limits) out << ' ' << limit.rate_per_s << "/s+" << limit.burst;
  const FaultProbabilities& c = plan.probabilities;
  out << "\n  chances: lose " << c.lose_message << ", repeat " << c.repeat_message << ", late "
      << c.late_message << ", lost append answer " << c.lose_answer << ", late append "
      << c.late_append << ", repeated append " << c.repeat_append << '\n';
  for (const Fault& fault : plan.faults) {
    out << "  " << base::ToMillis(fault.at) << " ms "
        << kNames[static_cast<std::size_t>(fault.kind)] << " subject " << fault.subject
        << ", length " << base::ToMillis(fault.length) << " ms";
    if (fault.kind == FaultKind::kLimitEdit) {
      out << ", limit " << fault.limit.rate_per_s << "/s+" << fault.limit.burst;
    }
    out << '\n';
  }
  return std::move(out).str();
}

}  // namespace persimmonstair::limits::sim
