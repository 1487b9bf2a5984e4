#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "simulated_fleet_test.hpp"

namespace persimmonstair::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Appends a second that one partition takes.
constexpr double kMaxAppendsPerS = 250;
constexpr seconds kSteadyTime{10};

struct FleetSize {
  std::size_t instances;
  std::size_t data_centres;
};

class FleetSizeTest : public testing::TestWithParam<FleetSize> {
 protected:
  SimulatedFleet fleet{GetParam().instances, GetParam().data_centres, 7};
};

INSTANTIATE_TEST_SUITE_P(Sizes, FleetSizeTest,
                         testing::Values(FleetSize{11, 3}, FleetSize{91, 5}, FleetSize{295, 5},
                                         FleetSize{394, 16}),
                         [](const auto& one) { return std::to_string(one.param.instances); });

// Guards against a fleet whose instances each append a report a second: above the rate of one
// partition no report is confirmed in time, and no instance ever holds shares.
TEST_P(FleetSizeTest, AllInstancesHoldSharesWithinTwoSecondsOfTheirStart) {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    SimulatedFleet started(GetParam().instances, GetParam().data_centres, seed);
    started.StartAll();
    EXPECT_LE(started.RunUntilReady(seconds{30}), seconds{2}) << "seed " << seed;
  }
}

TEST_P(FleetSizeTest, ReportsTakeAQuarterOfTheAppendsOfAPartitionAtMost) {
  fleet.StartAll();
  fleet.RunUntilReady(seconds{30});
  fleet.RunFor(seconds{5});
  const std::size_t before = fleet.store.appends;
  fleet.RunFor(kSteadyTime);
  const double appends = static_cast<double>(fleet.store.appends - before);
  EXPECT_LE(appends / base::ToSeconds(kSteadyTime), kMaxAppendsPerS / 4);
  for (const auto& instance : fleet.instances) {
    EXPECT_EQ(instance->LiveInstances(), fleet.instances.size());
  }
}

// Guards against an outage of the whole fleet after all processes have died at once.
TEST_P(FleetSizeTest, RestartOfAllInstancesIsReadyWithinThreeSeconds) {
  fleet.StartAll();
  fleet.RunUntilReady(seconds{30});
  fleet.RunFor(seconds{3});
  for (std::size_t n = 0; n < fleet.instances.size(); ++n) fleet.Kill(n);
  fleet.RunFor(seconds{1});
  fleet.StartAll();
  EXPECT_LE(fleet.RunUntilReady(seconds{30}), seconds{3});
}

// Guards against members that lose their shares, or count as gone, because their collector died.
TEST_P(FleetSizeTest, DeathOfCollectorsCostsNoOtherInstanceItsShares) {
  fleet.StartAll();
  fleet.RunUntilReady(seconds{30});
  fleet.RunFor(seconds{5});
  std::size_t killed = 0;
  for (std::size_t n = 0; n < fleet.instances.size(); ++n) {
    const std::string collector = fleet.instances[n]->Collector();
    if (collector.empty()) continue;
    SimulatedInstance& victim = *fleet.instances[std::stoul(collector)];
    if (!victim.Killed()) ++killed;
    victim.Kill();
  }
  EXPECT_GE(killed, GetParam().data_centres);
  const std::size_t left = fleet.instances.size() - killed;
  for (int n = 0; n < 30; ++n) {
    fleet.RunFor(milliseconds{500});
    for (const auto& instance : fleet.instances) {
      if (instance->Killed()) continue;
      EXPECT_TRUE(instance->HasLease()) << instance->Id().value;
      EXPECT_GE(instance->LiveInstances(), left) << instance->Id().value << " at " << n;
    }
  }
}

// An instance that the store turns away, but a collector reaches, keeps its shares.
TEST_P(FleetSizeTest, InstancesThatTheStoreTurnsAwayKeepTheirShares) {
  fleet.StartAll();
  fleet.RunUntilReady(seconds{30});
  fleet.RunFor(seconds{5});
  for (std::size_t n = 0; n < fleet.instances.size(); n += 3) {
    fleet.store.refused.insert(fleet.instances[n]->Id());
  }
  for (int n = 0; n < 40; ++n) {
    fleet.RunFor(milliseconds{500});
    for (const auto& instance : fleet.instances) {
      EXPECT_TRUE(instance->HasLease()) << instance->Id().value << " at " << n;
    }
  }
}

// Guards against shares of two rounds that don't follow each other, whatever is killed.
TEST(FleetSimulationTest, LeasesAreOfTwoConsecutiveRounds) {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    SimulatedFleet fleet(40, 4, seed);
    fleet.loss = 0.1;
    fleet.StartAll();
    for (int step = 0; step < 200; ++step) {
      fleet.RunFor(milliseconds{250});
      if (fleet.random() % 8 == 0) fleet.Kill(fleet.random() % fleet.instances.size());
      if (fleet.random() % 16 == 0) fleet.StartAll();
      std::uint64_t first = UINT64_MAX;
      std::uint64_t last = 0;
      for (const auto& instance : fleet.instances) {
        if (instance->Killed() || !instance->HasLease()) continue;
        first = std::min(first, instance->Round());
        last = std::max(last, instance->Round());
      }
      if (last == 0) continue;
      EXPECT_LE(last - first, 1U) << "seed " << seed << " step " << step;
    }
  }
}

schema::InstanceHeartbeat Beat(std::uint64_t sequence, const std::string& instance) {
  return {sequence, {instance}, "p-" + instance, {"dc"}, instance + ":1", 1};
}

base::TimePoint At(base::Duration time) { return base::TimePoint{seconds{100}} + time; }

const schema::ShareReport kOwn{{"c"}, "p-c", {"dc"}, "c:1", 1, false};

TEST(RosterCollectorTest, ConfirmsOnlyHeartbeatsOfAFinishedAppend) {
  RosterCollector collector({"c"}, "p-c");
  EXPECT_EQ(collector.OnHeartbeat(At({}), Beat(5, "a")).stored_sequence, 0U);
  ASSERT_TRUE(collector.Next(At({}), kOwn, false));
  // This heartbeat comes while the append is in progress, which doesn't report it.
  EXPECT_EQ(collector.OnHeartbeat(At(milliseconds{1}), Beat(6, "a")).stored_sequence, 0U);
  collector.OnAppended(At(milliseconds{4}), true);
  EXPECT_EQ(collector.OnHeartbeat(At(milliseconds{5}), Beat(7, "a")).stored_sequence, 5U);
}

TEST(RosterCollectorTest, DeclinesWhileItsAppendsFail) {
  RosterCollector collector({"c"}, "p-c");
  collector.OnHeartbeat(At({}), Beat(1, "a"));
  ASSERT_TRUE(collector.Next(At({}), kOwn, false));
  collector.OnAppended(At({}), false);
  EXPECT_TRUE(collector.OnHeartbeat(At(seconds{1}), Beat(2, "a")).declined);
  EXPECT_FALSE(collector.OnHeartbeat(At(seconds{4}), Beat(3, "a")).declined);
}

// Guards against a beat for a roster that may not be in the store: readers would ignore it.
TEST(RosterCollectorTest, WritesTheRosterAgainAfterAFailedAppend) {
  RosterCollector collector({"c"}, "p-c");
  ASSERT_TRUE(collector.Next(At({}), kOwn, false));
  collector.OnAppended(At({}), false);
  const auto entries = collector.Next(At(seconds{1}), kOwn, false);
  ASSERT_TRUE(entries);
  EXPECT_TRUE(std::holds_alternative<schema::FleetRoster>(*entries->front().record));
}

// Guards against a silent instance that its collector keeps reporting as running.
TEST(RosterCollectorTest, LeavesSilentInstancesOut) {
  RosterCollector collector({"c"}, "p-c");
  collector.OnHeartbeat(At({}), Beat(1, "a"));
  ASSERT_TRUE(collector.Next(At({}), kOwn, false));
  collector.OnAppended(At({}), true);
  const auto entries = collector.Next(At(kMemberTimeout), kOwn, false);
  ASSERT_TRUE(entries);
  EXPECT_EQ(std::get<schema::FleetRoster>(*entries->front().record).members.size(), 1U);
}

// During a release, builds that read no rosters must see the members too.
TEST(RosterCollectorTest, WritesReportsOfEachMemberForOlderBuilds) {
  RosterCollector collector({"c"}, "p-c");
  collector.OnHeartbeat(At({}), Beat(1, "a"));
  const auto entries = collector.Next(At({}), kOwn, true);
  ASSERT_TRUE(entries);
  ASSERT_EQ(entries->size(), 3U);
  EXPECT_EQ(std::get<schema::ShareReport>(*(*entries)[2].record).instance.value, "a");
}

// Guards against an instance that counts as running again, because its collector reported it once
// more after its stop.
TEST(RosterReaderTest, IgnoresProcessesThatHaveStopped) {
  RosterReader reader;
  const schema::FleetRoster roster{
      {"c"}, "p-c", 1, {kOwn, {{"a"}, "p-a", {"dc"}, "a:1", 1, false}}};
  EXPECT_EQ(reader.OnRoster(At({}), roster).running.size(), 2U);
  reader.OnStopped(At({}), "p-a");
  EXPECT_EQ(reader.OnBeat({{"c"}, "p-c", 1}).running.size(), 1U);
}

TEST(RosterReaderTest, IgnoresBeatsOfOtherRosters) {
  RosterReader reader;
  reader.OnRoster(At({}), {{"c"}, "p-c", 2, {kOwn}});
  EXPECT_TRUE(reader.OnBeat({{"c"}, "p-c", 3}).running.empty());
  EXPECT_TRUE(reader.OnBeat({{"c"}, "restarted", 2}).running.empty());
  EXPECT_EQ(reader.OnBeat({{"c"}, "p-c", 2}).running.size(), 1U);
}

}  // namespace
}  // namespace persimmonstair::fleet
