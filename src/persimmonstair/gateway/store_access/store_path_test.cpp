#include "store_access/store_path.hpp"

#include <gtest/gtest.h>

namespace persimmonstair::gateway::store_access {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(int ms) { return base::TimePoint{std::chrono::seconds{10} + milliseconds{ms}}; }

void Fail(StorePath& path, int ms) { path.OnEnded(At(ms), path.OnSent(At(ms), {}), false); }
void Answer(StorePath& path, int ms) { path.OnEnded(At(ms), path.OnSent(At(ms), {}), true); }

// A single refusal is no reason to ask another instance.
TEST(StorePathTest, ShortTroubleIsNotProbed) {
  StorePath path;
  Fail(path, 0);
  EXPECT_FALSE(path.TakeProbe(At(100)));
  Answer(path, 200);
  EXPECT_FALSE(path.TakeProbe(At(600)));
}

TEST(StorePathTest, RefusedInstanceFindsAnotherWay) {
  StorePath path;
  Fail(path, 0);
  Fail(path, 200);
  ASSERT_TRUE(path.TakeProbe(At(300)));
  path.OnProbe(At(310), true);
  EXPECT_TRUE(path.IsRelayed());
}

// Guards against calls that hang for as long as the store is silent.
TEST(StorePathTest, SilenceIsProbedToo) {
  StorePath path;
  path.OnSent(At(0), milliseconds{500});
  EXPECT_FALSE(path.TakeProbe(At(600)));
  EXPECT_TRUE(path.TakeProbe(At(750)));
}

// Guards against probes of hundreds of instances that load a store which is away for all.
TEST(StorePathTest, FailedProbesBecomeRarer) {
  StorePath path;
  Fail(path, 0);
  int probes = 0;
  for (int ms = 0; ms <= 10'000; ms += 50) {
    if (!path.TakeProbe(At(ms))) continue;
    ++probes;
    path.OnProbe(At(ms), false);
  }
  EXPECT_LE(probes, 8);
}

TEST(StorePathTest, ReturnsToTheDirectWay) {
  StorePath path;
  Fail(path, 0);
  ASSERT_TRUE(path.TakeProbe(At(300)));
  path.OnProbe(At(310), true);
  EXPECT_FALSE(path.TakeProbe(At(400)));
  ASSERT_TRUE(path.TakeProbe(At(1400)));
  path.OnProbe(At(1410), true);
  EXPECT_FALSE(path.IsRelayed());
}

TEST(StorePathTest, AWayThatFailsIsGivenUp) {
  StorePath path;
  Fail(path, 0);
  ASSERT_TRUE(path.TakeProbe(At(300)));
  path.OnProbe(At(310), true);
  for (int n = 0; n < 4; ++n) path.OnRelayed(false);
  EXPECT_FALSE(path.IsRelayed());
}

}  // namespace
}  // namespace persimmonstair::gateway::store_access
