// Tests of how instances get new records from their collector in place of the store.
#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "persimmonstair/fleet/feed_path.hpp"
#include "persimmonstair/fleet/packed_record.hpp"
#include "persimmonstair/fleet/record_tail.hpp"

namespace persimmonstair::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::TimePoint At(base::Duration time) { return base::TimePoint{seconds{100}} + time; }

schema::FeedRecord Record(const std::string& key, std::size_t bytes = 1) {
  return {key, false, std::string(bytes, 'v')};
}

std::vector<std::string> Keys(const std::vector<schema::FeedRecord>& records) {
  std::vector<std::string> keys;
  for (const auto& record : records) keys.push_back(record.key);
  return keys;
}

using List = std::vector<std::string>;

TEST(RecordTailTest, ReturnsTheRecordsFromAnOffsetOn) {
  RecordTail tail;
  tail.Add({10}, {Record("a"), Record("b")});
  tail.Add({12}, {Record("c")});
  EXPECT_EQ(Keys(tail.Since({11})), (List{"b", "c"}));
  EXPECT_TRUE(tail.Since({13}).empty());
  EXPECT_TRUE(tail.Since({99}).empty());
  EXPECT_EQ(tail.End(), base::Offset{13});
}

// Guards against records that are handed on under other offsets than theirs.
TEST(RecordTailTest, ForgetsTheRecordsBeforeAGap) {
  RecordTail tail;
  tail.Add({10}, {Record("a")});
  tail.Add({20}, {Record("b")});
  EXPECT_TRUE(tail.Since({10}).empty());
  EXPECT_EQ(Keys(tail.Since({20})), List{"b"});
  tail.Add({5}, {Record("c")});
  EXPECT_TRUE(tail.Since({20}).empty());
  EXPECT_EQ(Keys(tail.Since({5})), List{"c"});
}

// Guards against a long record that is left out between two others.
TEST(RecordTailTest, HoldsNothingUpToARecordThatIsTooLong) {
  RecordTail tail;
  tail.Add({0}, {Record("a"), Record("long", kMaxFeedRecordBytes), Record("b")});
  EXPECT_TRUE(tail.Since({0}).empty());
  EXPECT_TRUE(tail.Since({1}).empty());
  EXPECT_EQ(Keys(tail.Since({2})), List{"b"});
  EXPECT_EQ(tail.End(), base::Offset{3});
}

// Guards against a long record that only the store can give.
TEST(RecordTailTest, HoldsLongRecordsForTransfers) {
  RecordTail tail;
  const auto longest = Record("long", 100'000);
  tail.Add({0}, {Record("a"), longest, Record("b")});
  const auto packed = tail.PackedSince({0});
  ASSERT_EQ(packed.size(), 3U);
  EXPECT_EQ(Unpack(packed[1]), longest);
  EXPECT_LT(packed[1].data.size(), longest.value.size() / 10);
  EXPECT_EQ(tail.PackedSince({1}).size(), 2U);
  EXPECT_TRUE(tail.PackedSince({3}).empty());
}

// Guards against a receiver that can't hand the records on.
TEST(RecordTailTest, HoldsWhatWasHandedOn) {
  RecordTail giver;
  RecordTail receiver;
  const std::vector<schema::FeedRecord> records{Record("a"), Record("long", 100'000)};
  giver.Add({5}, records);
  receiver.AddPacked({5}, giver.PackedSince({5}), records);
  EXPECT_EQ(receiver.PackedSince({5}), giver.PackedSince({5}));
  EXPECT_EQ(receiver.End(), base::Offset{7});
}

// Guards against versions of a long record that fill the memory.
TEST(RecordTailTest, HoldsTheNewestLongRecordAndABoundedNumberOfBytes) {
  RecordTail tail;
  std::mt19937 random(1);
  for (std::uint64_t n = 0; n < 10; ++n) {
    auto record = Record("k", kMaxPackedTailBytes / 2);
    for (char& c : record.value) c = static_cast<char>(random());
    tail.Add({n}, {record});
  }
  EXPECT_TRUE(tail.PackedSince({7}).empty());
  EXPECT_FALSE(tail.PackedSince({9}).empty());
}

// Guards against bytes of another build, or damaged ones, that are taken for a configuration.
TEST(PackedRecordTest, DamageIsFound) {
  const auto good = Pack(Record("k", 5000));
  ASSERT_TRUE(Unpack(good));
  auto bad = good;
  bad.checksum ^= 1;
  EXPECT_FALSE(Unpack(bad));
  bad = good;
  bad.size -= 1;
  EXPECT_FALSE(Unpack(bad));
  bad = good;
  bad.size = kMaxUnpackedBytes + 1;
  EXPECT_FALSE(Unpack(bad));
  bad = good;
  bad.data.resize(bad.data.size() / 2);
  EXPECT_FALSE(Unpack(bad));
  EXPECT_EQ(Unpack(Pack({"k", true, {}})), (schema::FeedRecord{"k", true, {}}));
}

TEST(RecordTailTest, HoldsABoundedNumberOfBytes) {
  RecordTail tail;
  constexpr std::uint64_t kRecords = 1000;
  for (std::uint64_t n = 0; n < kRecords; ++n) tail.Add({n}, {Record("k", 900)});
  EXPECT_TRUE(tail.Since({kRecords - 200}).empty());
  EXPECT_FALSE(tail.Since({kRecords - 100}).empty());
}

TEST(RecordTailTest, AnswersFitIntoADatagram) {
  RecordTail tail;
  for (std::uint64_t n = 0; n < 20; ++n) tail.Add({n}, {Record("k", 300)});
  EXPECT_EQ(tail.Since({0}).size(), 3U);
}

// Guards against an instance that no longer learns whether it reaches the store, and against one
// that reads it as often as without a collector.
TEST(FeedPathTest, ReadsTheStoreEverySecond) {
  FeedPath path;
  int store_reads = 0;
  constexpr seconds kTime{60};
  for (base::Duration time{0}; time < kTime; time += milliseconds{100}) {
    if (path.IsOpen(At(time), "c:1")) {
      path.OnAnswer();
    } else {
      path.OnStoreRead(At(time));
      ++store_reads;
    }
  }
  EXPECT_EQ(store_reads, kTime / kMaxTimeBetweenReads);
}

TEST(FeedPathTest, IsClosedWithoutACollector) {
  FeedPath path;
  path.OnStoreRead(At({}));
  EXPECT_FALSE(path.IsOpen(At({}), ""));
  EXPECT_TRUE(path.IsOpen(At({}), "c:1"));
}

// One lost datagram must not send an instance back to the store.
TEST(FeedPathTest, LeavesACollectorAloneThatDoesNotAnswerTwice) {
  FeedPath path;
  path.OnStoreRead(At({}));
  ASSERT_TRUE(path.IsOpen(At({}), "c:1"));
  path.OnSilence(At({}));
  EXPECT_TRUE(path.IsOpen(At({}), "c:1"));
  path.OnSilence(At({}));
  EXPECT_FALSE(path.IsOpen(At({}), "c:1"));
  EXPECT_TRUE(path.IsOpen(At({}), "d:1"));
}

// Guards against the wait for an answer, at each read, of a collector that never answers because
// its build is older.
TEST(FeedPathTest, AsksASilentCollectorMoreAndMoreRarely) {
  FeedPath path;
  int asks = 0;
  constexpr seconds kTime{80};
  for (base::Duration time{0}; time < kTime; time += milliseconds{100}) {
    path.OnStoreRead(At(time));
    if (!path.IsOpen(At(time), "c:1")) continue;
    path.OnSilence(At(time));
    ++asks;
  }
  EXPECT_LE(asks, 30);
}

TEST(FeedPathTest, LeavesACollectorAloneThatDeclines) {
  FeedPath path;
  path.OnStoreRead(At({}));
  ASSERT_TRUE(path.IsOpen(At({}), "c:1"));
  path.OnRefusal(At({}));
  EXPECT_FALSE(path.IsOpen(At(milliseconds{500}), "c:1"));
  path.OnStoreRead(At(milliseconds{1500}));
  EXPECT_TRUE(path.IsOpen(At(milliseconds{1500}), "c:1"));
}

}  // namespace
}  // namespace persimmonstair::fleet
