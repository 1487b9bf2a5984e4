#include "persimmonstair/dispatch/target_checks.hpp"

#include <gtest/gtest.h>

namespace persimmonstair::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLeaveTime{2000};
const base::TargetId kTarget{"t"};
const base::TimePoint kStart{std::chrono::hours{1}};

/// Knowledge of which each part is `age` old at `now`.
TargetKnowledge Aged(base::TimePoint now, base::Duration list_age, base::Duration store_age) {
  return {now - list_age, now - store_age};
}

// Guards against a request that is sent by a list of targets so old that the target may have said
// long ago that it leaves (DRAIN).
TEST(TargetChecksTest, TargetIsAskedOnceTheListIsTooOld) {
  const TargetChecks checks(kLeaveTime);
  const milliseconds store_age{10};
  EXPECT_FALSE(checks.IsDue(kStart, Aged(kStart, milliseconds{1400}, store_age), kTarget, 1));
  EXPECT_TRUE(checks.IsDue(kStart, Aged(kStart, milliseconds{1500}, store_age), kTarget, 1));
}

// Guards against checks of all targets throughout an outage, in which no target can announce
// anything.
TEST(TargetChecksTest, ListIsReliedOnWhileTheStoreIsAway) {
  const TargetChecks checks(kLeaveTime);
  const milliseconds list_age{9000};
  EXPECT_FALSE(checks.IsDue(kStart, Aged(kStart, list_age, kStoreAwayAfter), kTarget, 1));
}

// Guards against a busy store that counts as away because all reads of an instance wait in it.
TEST(TargetChecksTest, TargetIsAskedWhileTheStoreIsOnlyBusy) {
  const TargetChecks checks(kLeaveTime);
  const auto almost = kStoreAwayAfter - milliseconds{1};
  EXPECT_TRUE(checks.IsDue(kStart, Aged(kStart, almost, almost), kTarget, 1));
}

// Guards against a check before each request.
TEST(TargetChecksTest, AnAnswerOfTheSameStartCountsForAWhile) {
  TargetChecks checks(kLeaveTime);
  checks.OnServing(kStart, kTarget, 1);
  const auto due = [&](milliseconds later, std::int64_t started_ms) {
    const base::TimePoint now = kStart + later;
    return checks.IsDue(now, Aged(now, milliseconds{5000}, {}), kTarget, started_ms);
  };
  EXPECT_FALSE(due(milliseconds{1400}, 1));
  EXPECT_TRUE(due(milliseconds{1400}, 2));
  EXPECT_TRUE(due(milliseconds{1500}, 1));
}

}  // namespace
}  // namespace persimmonstair::dispatch
