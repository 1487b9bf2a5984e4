// Tests how long other reads wait at a store that sends one answer after the other, while all
// instances read a long record.
#include "persimmonstair/fleet/bulk_pace.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace persimmonstair::fleet {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::size_t kInstances = 91;
constexpr std::size_t kRecordBytes = 800'000;
constexpr double kStoreBytesPerS = 80e6;
/// Interval at which instances ask whether there are new records.
constexpr Seconds kAskInterval{0.4};
/// Longest wait that leaves a read of the list of targets, begun twice, well below the shortest
/// time in which a leaving target must be obeyed, 2 s.
constexpr Seconds kMaxWait{0.3};
/// Shortest time in which a change of the configuration must be in force everywhere.
constexpr Seconds kConfigurationTime{2.0};

struct Burst {
  /// Longest time that an answer waits behind others.
  Seconds longest_wait{0};
  /// Time at which the last answer is sent.
  Seconds last{0};
};

/// Lets all instances read the record at random times, up to `spread` after they learnt of it.
Burst ReadAtOnce(Seconds spread, unsigned seed) {
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> fraction(0, 1);
  std::vector<Seconds> begun(kInstances);
  for (auto& one : begun) one = fraction(random) * kAskInterval + fraction(random) * spread;
  std::sort(begun.begin(), begun.end());
  const Seconds time{kRecordBytes / kStoreBytesPerS};
  Burst burst;
  for (const Seconds at : begun) {
    burst.longest_wait = std::max(burst.longest_wait, burst.last - at);
    burst.last = std::max(burst.last, at) + time;
  }
  return burst;
}

// Guards against news of targets that waits at the store behind a new configuration that all
// instances read at once.
TEST(BulkPaceTest, OtherReadsWaitLittleWhileAllReadALongRecord) {
  const Seconds spread = BulkReadSpread(kInstances, kRecordBytes, kStoreBytesPerS);
  for (unsigned seed = 1; seed <= 50; ++seed) {
    const Burst burst = ReadAtOnce(spread, seed);
    EXPECT_LT(burst.longest_wait, kMaxWait) << seed;
    EXPECT_LT(burst.last, kConfigurationTime) << seed;
    EXPECT_GT(ReadAtOnce(Seconds{0}, seed).longest_wait, kMaxWait) << seed;
  }
}

TEST(BulkPaceTest, FewInstancesOrShortRecordsAreNotDelayed) {
  EXPECT_LT(BulkReadSpread(11, kRecordBytes, kStoreBytesPerS), std::chrono::milliseconds{200});
  EXPECT_LT(BulkReadSpread(kInstances, 20'000, kStoreBytesPerS), std::chrono::milliseconds{50});
  EXPECT_EQ(BulkReadSpread(kInstances, 0, kStoreBytesPerS), base::Duration{0});
}

TEST(BulkPaceTest, DelayIsBounded) {
  EXPECT_EQ(BulkReadSpread(1000, kRecordBytes, kStoreBytesPerS), kMaxBulkSpread);
}

}  // namespace
}  // namespace persimmonstair::fleet
