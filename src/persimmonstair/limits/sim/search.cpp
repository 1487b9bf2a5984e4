#include "sim/search.hpp"

#include <chrono>
#include <utility>

#include "sim/world.hpp"

namespace persimmonstair::limits::sim {
namespace {

bool StoreIfFailing(Failure& failure, const Plan& plan, const Switches& switches) {
  World world(plan, switches);
  const auto violation = world.Run();
  if (!violation) return false;
  failure.plan = plan;
  failure.violation = *violation;
  failure.plan.length = world.ViolationAt();
  return true;
}

bool DropOneFault(Failure& failure, const Switches& switches) {
  for (std::size_t n = 0; n < failure.plan.faults.size(); ++n) {
    Plan plan = failure.plan;
    plan.faults.erase(plan.faults.begin() + static_cast<std::ptrdiff_t>(n));
    if (StoreIfFailing(failure, plan, switches)) return true;
  }
  return false;
}

void DropChances(Failure& failure, const Switches& switches) {
  for (double FaultProbabilities::*fault_probability :
       {&FaultProbabilities::lose_message, &FaultProbabilities::repeat_message,
        &FaultProbabilities::late_message, &FaultProbabilities::lose_answer,
        &FaultProbabilities::late_append, &FaultProbabilities::repeat_append}) {
    if (failure.plan.probabilities.*fault_probability <= 0) continue;
    Plan plan = failure.plan;
    plan.probabilities.*fault_probability = 0;
    StoreIfFailing(failure, plan, switches);
  }
}

}  // namespace

std::optional<Failure> TrySeed(std::uint64_t seed, const Switches& switches) {
  Failure failure;
  if (!StoreIfFailing(failure, RandomPlan(seed), switches)) return std::nullopt;
  return failure;
}

Failure Shorten(Failure failure, const Switches& switches) {
  while (DropOneFault(failure, switches)) {
  }
  DropChances(failure, switches);
  while (failure.plan.instances > 1) {
    Plan plan = failure.plan;
    --plan.instances;
    if (!StoreIfFailing(failure, plan, switches)) break;
  }
  return failure;
}

std::optional<Failure> TrySeeds(std::uint64_t first, std::uint64_t count,
                                const Switches& switches) {
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    if (auto failure = TrySeed(seed, switches)) return Shorten(std::move(*failure), switches);
  }
  return std::nullopt;
}

std::string Describe(const Failure& failure) {
  return failure.violation + "\nshortest failing sequence: " + Describe(failure.plan);
}

}  // namespace persimmonstair::limits::sim
