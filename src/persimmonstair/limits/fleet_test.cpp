#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "sim/search.hpp"
#include "sim/switch_names.hpp"
#include "sim/world.hpp"

namespace persimmonstair::limits::sim {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSequences = 300;

Plan PlanWithoutFaults() {
  Plan plan;
  plan.seed = 5;
  plan.instances = 5;
  plan.length = 60s;
  plan.limits = {{20, 20}};
  plan.load = 0.8;
  plan.skew = 0.5;
  plan.skew_period = 10s;
  return plan;
}

// Guards against use of a workspace beyond its limits (invariant 8) under combined faults. A
// failure prints the seed and the shortest failing sequence.
TEST(FleetTest, RandomFaultsNeverExceedTheLimits) {
  const auto failure = TrySeeds(1, kSequences, {});
  EXPECT_FALSE(failure.has_value()) << Describe(*failure);
}

// Guards against a search that finds no violations: with any of these mechanisms turned off it must
// find one. Mechanisms that need more sequences than a test may run are listed in
// docs/design/limits.md.
TEST(FleetTest, TheSearchNoticesMissingMechanisms) {
  for (const char* name :
       {"reclaim_wait", "reclaim_promise", "consent_of_all", "lease_check", "record_ids",
        "loan_once", "loan_expiry", "start_empty", "floor_versions"}) {
    EXPECT_TRUE(TrySeeds(1, kSequences, *SwitchesFor(name)).has_value()) << name;
  }
}

// Guards against shares that go out of use during a log outage: with the consent of all peers, the
// leases stay valid.
TEST(FleetTest, SharesStayInUseDuringAnHourWithoutTheLog) {
  Plan plan = PlanWithoutFaults();
  plan.length = 1h + 3min;
  plan.limits = {{2, 10}};
  plan.faults = {{60s, FaultKind::kLogOutage, 0, 1h, {}}};
  World world(plan, {});
  EXPECT_EQ(world.RunUntil(59s), std::nullopt);
  const auto before = world.Shares(0);
  EXPECT_EQ(before.leased_ppm, kLeasedSharesPpm);
  EXPECT_EQ(world.RunUntil(1h), std::nullopt);
  // At most one move was pending when the outage began; its share is unused until the log is back.
  EXPECT_GE(world.Shares(0).leased_ppm, kLeasedSharesPpm / 2);
  EXPECT_EQ(world.Shares(0).reserved_ppm, before.reserved_ppm);
  EXPECT_EQ(world.Run(), std::nullopt);
  EXPECT_EQ(world.Shares(0).leased_ppm, kLeasedSharesPpm);
}

// Guards against a partitioned data centre that loses its reserved share, and against shares that
// do not return to use after the partition.
TEST(FleetTest, APartitionedDataCentreKeepsItsReservedShare) {
  Plan plan = PlanWithoutFaults();
  plan.length = 90s;
  plan.faults = {{20s, FaultKind::kPartition, 0, 30s, {}}};
  World world(plan, {});
  EXPECT_EQ(world.RunUntil(45s), std::nullopt);
  EXPECT_EQ(world.Shares(0).reserved_ppm, 200'000U);
  EXPECT_EQ(world.Shares(0).leased_ppm, kLeasedSharesPpm) << "reclaimed by the other instances";
  EXPECT_EQ(world.Run(), std::nullopt);
  EXPECT_EQ(world.Shares(0).reserved_ppm, 200'000U);
  EXPECT_EQ(world.Shares(0).leased_ppm, kLeasedSharesPpm);
}

// Guards against shares that stay with dead instances.
TEST(FleetTest, SharesOfDeadInstancesReturn) {
  Plan plan = PlanWithoutFaults();
  plan.faults = {{20s, FaultKind::kKill, 0, 0s, {}}, {20s, FaultKind::kKill, 1, 0s, {}}};
  World world(plan, {});
  EXPECT_EQ(world.Run(), std::nullopt);
  EXPECT_EQ(world.RunningProcesses(), 3U);
  EXPECT_EQ(world.Shares(0).leased_ppm, kLeasedSharesPpm);
}

}  // namespace
}  // namespace persimmonstair::limits::sim
