#include "persimmonstair/dispatch/direct_path.hpp"

#include <gtest/gtest.h>

namespace persimmonstair::dispatch {
namespace {

using std::chrono::milliseconds;

const base::TargetId kFirst{"t1"};
const base::TargetId kSecond{"t2"};

// Guards against taking a target that is gone for a lost path.
TEST(DirectPathTest, OneMissedTargetIsNoLostPath) {
  DirectPath path;
  for (int n = 0; n < 10; ++n) path.OnDirect(kFirst, false);
  path.OnRelayed(kFirst, false);
  EXPECT_EQ(path.State(), PathState::kDirect);
}

// Guards against taking targets that go down one after the other for a lost path.
TEST(DirectPathTest, ReachedTargetInBetweenEndsTheDoubt) {
  DirectPath path;
  path.OnDirect(kFirst, false);
  path.OnDirect({"t3"}, true);
  path.OnDirect(kSecond, false);
  EXPECT_EQ(path.State(), PathState::kDirect);
}

// Guards against going on without peers although they reach what this instance misses.
TEST(DirectPathTest, PathIsLostIfPeersReachMissedTargets) {
  DirectPath path;
  path.OnDirect(kFirst, false);
  path.OnDirect(kSecond, false);
  EXPECT_EQ(path.State(), PathState::kDoubtful);
  path.OnRelayed(kSecond, true);
  EXPECT_EQ(path.State(), PathState::kLost);
  path.OnRelayed(kFirst, false);
  EXPECT_EQ(path.State(), PathState::kLost);
}

// Guards against keeping callers waiting for targets that can't be reached in any way, and against
// giving up targets that were not tried or that a peer reaches.
TEST(DirectPathTest, OnlyTargetsMissedInEveryWayAreUnreachable) {
  DirectPath path;
  for (const auto& target : {kFirst, kSecond}) {
    path.OnDirect(target, false);
    path.OnRelayed(target, false);
  }
  EXPECT_TRUE(path.IsUnreachable(kFirst));
  EXPECT_FALSE(path.IsUnreachable({"t3"}));
  path.OnRelayed(kFirst, true);
  EXPECT_FALSE(path.IsUnreachable(kFirst));
  EXPECT_TRUE(path.IsUnreachable(kSecond));
  path.OnDirect({"t3"}, true);
  EXPECT_FALSE(path.IsUnreachable(kSecond));
}

// Guards against leaving the peers because connections that were open before go on working.
TEST(DirectPathTest, AnswerOnAnOpenConnectionDoesNotEndTheLoss) {
  DirectPath path;
  path.OnDirect(kFirst, false);
  path.OnDirect(kSecond, false);
  path.OnRelayed(kFirst, true);
  path.OnAnswer(kSecond);
  EXPECT_EQ(path.State(), PathState::kLost);
}

// Guards against using peers for longer than the direct path is lost.
TEST(DirectPathTest, DirectConnectionEndsTheLoss) {
  DirectPath path;
  path.OnDirect(kFirst, false);
  path.OnDirect(kSecond, false);
  path.OnRelayed(kFirst, true);
  path.OnDirect(kFirst, true);
  EXPECT_EQ(path.State(), PathState::kDirect);
}

// Guards against trying a lost path for every request.
TEST(DirectPathTest, LostPathIsTriedAtIntervals) {
  DirectPath path;
  const base::TimePoint start{std::chrono::hours{1}};
  EXPECT_TRUE(path.TakeProbe(start));
  EXPECT_FALSE(path.TakeProbe(start + milliseconds{1}));
  EXPECT_TRUE(path.TakeProbe(start + kPathProbeInterval));
}

}  // namespace
}  // namespace persimmonstair::dispatch
