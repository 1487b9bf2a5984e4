#include "store_access/poll_intervals.hpp"

#include <gtest/gtest.h>

namespace persimmonstair::gateway::store_access {
namespace {

// Guards against reads of the target list that grow with the fleet and take most of what the store
// serves, at the sizes of 11 to 394 instances.
TEST(PollIntervalsTest, ReadsOfTheFleetStayBounded) {
  constexpr double kMaxReadsPerS = 800;
  for (const std::size_t instances : {11U, 77U, 91U, 295U, 394U}) {
    const double reads =
        static_cast<double>(instances) / base::ToSeconds(TargetPollPause(instances));
    EXPECT_LE(reads, kMaxReadsPerS) << instances;
  }
}

TEST(PollIntervalsTest, IntervalsKeepTheirBounds) {
  EXPECT_EQ(TargetPollPause(0), kMinTargetPollPause);
  EXPECT_EQ(TargetPollPause(11), kMinTargetPollPause);
  EXPECT_EQ(TargetPollPause(10'000), kMaxTargetPollPause);
  EXPECT_EQ(ConfigurationWait(0), kMinConfigurationWait);
  EXPECT_EQ(ConfigurationWait(10'000), kMaxConfigurationWait);
}

}  // namespace
}  // namespace persimmonstair::gateway::store_access
