#include "store_access/store_probes.hpp"

#include <gtest/gtest.h>

namespace persimmonstair::gateway::store_access {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(int ms) { return base::TimePoint{} + std::chrono::hours{1} + milliseconds{ms}; }

// Guards against reads that are sent again to a store that is only busy: it answers each probe,
// late but in order.
TEST(StoreProbesTest, ReadsAtABusyStoreAreNotLost) {
  StoreProbes probes;
  const auto first = probes.OnSent(At(0));
  const auto second = probes.OnSent(At(1000));
  const auto third = probes.OnSent(At(2000));
  probes.OnAnswered(first);
  probes.OnAnswered(second);
  probes.OnAnswered(third);
  EXPECT_FALSE(probes.IsLost(At(0)));
}

// Guards against reads that are waited for although the store was silent when it got them.
TEST(StoreProbesTest, WhatWasSentUntilTheLastUnansweredProbeIsLost) {
  StoreProbes probes;
  probes.OnSent(At(0));
  probes.OnSent(At(1000));
  const auto third = probes.OnSent(At(2000));
  EXPECT_FALSE(probes.IsLost(At(0)));
  probes.OnAnswered(third);
  EXPECT_TRUE(probes.IsLost(At(0)));
  EXPECT_TRUE(probes.IsLost(At(1000)));
  EXPECT_FALSE(probes.IsLost(At(1001)));
}

// Guards against taking a probe that the store refused, or that answers late, for the loss of
// others.
TEST(StoreProbesTest, RefusedAndLateProbesSayNothingAboutOthers) {
  StoreProbes probes;
  const auto first = probes.OnSent(At(0));
  const auto second = probes.OnSent(At(1000));
  probes.OnRefused(first);
  probes.OnAnswered(second);
  EXPECT_FALSE(probes.IsLost(At(0)));
  probes.OnAnswered(first);
  EXPECT_FALSE(probes.IsLost(At(0)));
}

// Guards against probes that load a store in trouble.
TEST(StoreProbesTest, OneProbeIsDueInAnInterval) {
  StoreProbes probes;
  EXPECT_TRUE(probes.IsDue(At(0)));
  probes.OnSent(At(0));
  EXPECT_FALSE(probes.IsDue(At(0) + StoreProbes::kInterval - milliseconds{1}));
  EXPECT_TRUE(probes.IsDue(At(0) + StoreProbes::kInterval));
}

}  // namespace
}  // namespace persimmonstair::gateway::store_access
