#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "persimmonstair/schema/codec.hpp"
#include "persimmonstair/turns/stream_copies.hpp"
#include "persimmonstair/turns/stream_take_ups.hpp"
#include "persimmonstair/turns/stream_versions.hpp"
#include "persimmonstair/turns/token_ledger.hpp"
#include "persimmonstair/turns/turn_cache.hpp"

namespace persimmonstair::turns {
namespace {

constexpr std::int64_t kExpires = 60'000;

schema::KeptTurn Turn(const std::string& name, std::vector<base::TurnId> ancestors,
                      const std::string& workspace = "north") {
  return {{name}, {workspace}, std::move(ancestors), "in-" + name, "out-" + name + "\n", kExpires};
}

schema::TokenReservation Reserve(const std::string& turn, std::uint64_t tokens,
                                 bool settled = false) {
  return {{"p"}, {"north"}, {turn}, tokens, settled, kExpires};
}

// Guards against histories in the wrong order or with turns of a sibling branch.
TEST(TurnCacheTest, ChainsAreTreesAndHistoryIsOldestFirst) {
  TurnCache cache(1 << 20);
  cache.Put(Turn("a", {}));
  cache.Put(Turn("b", {{"a"}}));
  cache.Put(Turn("c", {{"a"}}));
  const Chain chain = cache.Find({"north"}, {"c"}, 0);
  EXPECT_TRUE(chain.missing.empty());
  EXPECT_EQ(chain.history, "in-aout-a\nin-cout-c\n");
  EXPECT_EQ(chain.ancestors, (std::vector<base::TurnId>{{"c"}, {"a"}}));
}

// Guards against a history that leaves out a turn because its record is not cached.
TEST(TurnCacheTest, NamesEveryMissingTurnThatIsListed) {
  TurnCache cache(1 << 20);
  EXPECT_EQ(cache.Find({"north"}, {"c"}, 0).missing, (std::vector<base::TurnId>{{"c"}}));
  cache.Put(Turn("c", {{"b"}, {"a"}}));
  const Chain chain = cache.Find({"north"}, {"c"}, 0);
  EXPECT_EQ(chain.missing, (std::vector<base::TurnId>{{"b"}, {"a"}}));
  EXPECT_TRUE(chain.history.empty());
}

// Guards against a turn that counts as missing, and is reported as not found, after another
// instance extended it and it was read again.
TEST(TurnCacheTest, ARecordThatIsReadAgainTakesOverItsLaterExpiry) {
  TurnCache cache(1 << 20);
  cache.Put(Turn("a", {}));
  EXPECT_FALSE(cache.Find({"north"}, {"a"}, kExpires + 1).missing.empty());
  schema::KeptTurn extended = Turn("a", {});
  extended.expires_ms = 2 * kExpires;
  cache.Put(extended);
  EXPECT_TRUE(cache.Find({"north"}, {"a"}, kExpires + 1).missing.empty());
  cache.Put(Turn("a", {}));
  EXPECT_TRUE(cache.Find({"north"}, {"a"}, kExpires + 1).missing.empty());
}

// Guards against chains that are cut off at kMaxListedAncestors.
TEST(TurnCacheTest, LongChainsContinueBeyondTheListedAncestors) {
  TurnCache cache(1 << 20);
  std::vector<base::TurnId> ancestors;
  std::string expected;
  constexpr int kLength = 100;
  for (int n = 0; n < kLength; ++n) {
    const std::string name = std::to_string(n);
    cache.Put(Turn(name, ancestors));
    expected += "in-" + name + "out-" + name + "\n";
    ancestors.insert(ancestors.begin(), {name});
    if (ancestors.size() > kMaxListedAncestors) ancestors.resize(kMaxListedAncestors);
  }
  const Chain chain = cache.Find({"north"}, {std::to_string(kLength - 1)}, 0);
  EXPECT_EQ(chain.history, expected);
  EXPECT_EQ(chain.ancestors.size(), static_cast<std::size_t>(kLength));
}

// Guards against one workspace that reads the turns of another.
TEST(TurnCacheTest, TurnsOfAnotherWorkspaceAreMissing) {
  TurnCache cache(1 << 20);
  cache.Put(Turn("a", {}, "south"));
  const Chain chain = cache.Find({"north"}, {"a"}, 0);
  EXPECT_EQ(chain.missing, (std::vector<base::TurnId>{{"a"}}));
  EXPECT_TRUE(chain.history.empty());
}

// Guards against a turn of one workspace in the chain of another that has a turn with the same id.
TEST(TurnCacheTest, TurnsWithOneIdStayApart) {
  TurnCache cache(1 << 20);
  auto south = Turn("a", {}, "south");
  south.input = "other";
  cache.Put(Turn("a", {}));
  cache.Put(south);
  EXPECT_EQ(cache.Find({"north"}, {"a"}, 0).history, "in-aout-a\n");
  EXPECT_EQ(cache.Find({"south"}, {"a"}, 0).history, "otherout-a\n");
  cache.Forget({"south"}, {"a"});
  EXPECT_FALSE(cache.Find({"north"}, {"a"}, 0).history.empty());
  EXPECT_TRUE(cache.Find({"south"}, {"a"}, 0).history.empty());
}

// Guards against a cache that grows beyond its limit, and against expired turns in a history.
TEST(TurnCacheTest, BoundsBytesAndTime) {
  TurnCache cache(100);
  for (int n = 0; n < 50; ++n) cache.Put(Turn(std::to_string(n), {}));
  EXPECT_LE(cache.Bytes(), 100U);
  EXPECT_TRUE(cache.Find({"north"}, {"49"}, kExpires).missing.empty());
  EXPECT_FALSE(cache.Find({"north"}, {"49"}, kExpires + 1).missing.empty());
  EXPECT_FALSE(cache.Expire(kExpires + 1).empty());
  EXPECT_EQ(cache.Bytes(), 0U);
}

// Guards against the expiry of the first turns of a long conversation that is still continued.
TEST(TurnCacheTest, ExtendsOnlyTurnsThatWouldEndTooEarly) {
  TurnCache cache(1 << 20);
  cache.Put(Turn("a", {}));
  cache.Put(Turn("b", {{"a"}}));
  const std::vector<base::TurnId> chain{{"b"}, {"a"}};
  EXPECT_TRUE(cache.ExpiringBefore({"north"}, chain, kExpires).empty());
  EXPECT_EQ(cache.ExpiringBefore({"north"}, chain, kExpires + 1).size(), 2U);
  // Until the store has a later expiry, the cached records keep theirs.
  EXPECT_EQ(cache.Find({"north"}, {"b"}, 0).expires_ms, kExpires);
  for (const auto& turn : chain) cache.Extend({"north"}, turn, kExpires * 2);
  EXPECT_EQ(cache.Find({"north"}, {"b"}, 0).expires_ms, kExpires * 2);
  EXPECT_TRUE(cache.Find({"north"}, {"b"}, kExpires * 2).missing.empty());
  // A record that was read with a later expiry extends the cached one, and nothing shortens it.
  for (const char* turn : {"a", "b"}) {
    schema::KeptTurn read = Turn(turn, {});
    read.expires_ms = kExpires * 3;
    cache.Put(read);
    cache.Extend({"north"}, {turn}, kExpires);
  }
  EXPECT_EQ(cache.Find({"north"}, {"b"}, 0).expires_ms, kExpires * 3);
}

constexpr base::TimePoint kNow{std::chrono::hours{1}};
const StreamKey kStream{{"north"}, {"r1"}};

/// Fencing tokens of attempts, in their order.
constexpr std::uint64_t kFirst = 0;
constexpr std::uint64_t kSecond = 7;
constexpr std::uint64_t kThird = 9;

StreamPart Part(std::uint64_t fence, std::uint64_t offset, std::uint64_t event,
                std::string_view data, bool ends = true) {
  return {fence, offset, event, ends, data};
}

// Guards against copies with missing, repeated or half events.
TEST(StreamCopiesTest, HoldsWholeEventsInOrder) {
  StreamCopies copies(1000);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kFirst, 5, 2, "two")), 0U);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kFirst, 0, 1, "one")), 3U);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kFirst, 0, 1, "one")), 3U);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kFirst, 6, 3, "three")), 3U);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kFirst, 3, 2, "tw", false)), 5U);
  EXPECT_FALSE(copies.Find(kStream, 2, kFirst));
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kFirst, 5, 2, "o")), 6U);
  EXPECT_EQ(copies.Find(kStream, 1, kFirst), "one");
  EXPECT_EQ(copies.Find(kStream, 2, kFirst), "onetwo");
  EXPECT_FALSE(copies.Find({{"south"}, {"r1"}}, 1, kFirst));
}

// Guards against events that no caller received, or that an earlier attempt sends late, in the copy
// of a stream that was taken up.
TEST(StreamCopiesTest, TakeUpReplacesWhatFollowsIt) {
  StreamCopies copies(1000);
  copies.Add(kNow, kStream, Part(kFirst, 0, 1, "one"));
  copies.Add(kNow, kStream, Part(kFirst, 3, 2, "lost"));
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kSecond, 3, 2, "two")), 0U);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kSecond, 0, 1, "one")), 3U);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kSecond, 4, 2, "between")), 3U);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kSecond, 3, 2, "two")), 6U);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kFirst, 6, 3, "late")), 0U);
  EXPECT_EQ(copies.Find(kStream, 2, kFirst), "onetwo");
  EXPECT_EQ(copies.Find(kStream, 2, kSecond), "onetwo");
  EXPECT_EQ(copies.Bytes(), 6U);
}

// Guards against the copy of an attempt that brought other events than the caller received.
TEST(StreamCopiesTest, KnowsNothingOfLaterAttempts) {
  StreamCopies copies(1000);
  copies.Add(kNow, kStream, Part(kFirst, 0, 1, "one"));
  EXPECT_FALSE(copies.Find(kStream, 1, kSecond));
  EXPECT_EQ(copies.FenceOf(kStream), kFirst);
}

// Guards against a loss of the events before a take-up, because its instance was lost while it sent
// its copy.
TEST(StreamCopiesTest, KeepsTheOldCopyUntilTheNewOneHoldsAnEvent) {
  StreamCopies copies(1000);
  copies.Add(kNow, kStream, Part(kFirst, 0, 1, "one"));
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kSecond, 0, 1, "o", false)), 1U);
  EXPECT_EQ(copies.Find(kStream, 1, kFirst), "one");
  EXPECT_EQ(copies.Bytes(), 4U);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kThird, 0, 1, "on", false)), 2U);
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kSecond, 1, 1, "ne")), 0U);
  EXPECT_EQ(copies.Find(kStream, 1, kFirst), "one");
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kThird, 2, 1, "e")), 3U);
  EXPECT_EQ(copies.Find(kStream, 1, kThird), "one");
  EXPECT_EQ(copies.Bytes(), 3U);
}

// Guards against a copy in which two runs that an id names alike are mixed.
TEST(StreamCopiesTest, KnowsNothingIfTwoRunsContradictEachOther) {
  StreamCopies copies(1000);
  copies.Add(kNow, kStream, Part(kFirst, 0, 1, "one"));
  EXPECT_EQ(copies.Add(kNow, kStream, Part(kFirst, 0, 1, "eins")), 0U);
  EXPECT_FALSE(copies.Find(kStream, 1, kFirst));
}

schema::StreamTakeUp TakeUp(const std::string& attempt, std::uint64_t event) {
  return {{"north"}, {"program"}, {"r1"}, {attempt}, event, 1000};
}

// Guards against the copy of an attempt that didn't bring the last event which a caller received.
TEST(StreamTakeUpsTest, NamesTheAttemptThatBroughtTheLastEvent) {
  StreamTakeUps take_ups;
  take_ups.Apply(TakeUp("r2", 4), {10});
  EXPECT_EQ(take_ups.Find(TakeUp("r2", 4)).fence, 11U);
  EXPECT_EQ(take_ups.Find(TakeUp("r2", 4)).least_fence, 0U);
  take_ups.Apply(TakeUp("r3", 7), {12});
  EXPECT_EQ(take_ups.Find(TakeUp("r3", 7)).fence, 13U);
  EXPECT_EQ(take_ups.Find(TakeUp("r3", 7)).least_fence, 11U);
  // The third attempt brought nothing.
  take_ups.Apply(TakeUp("r4", 7), {20});
  EXPECT_EQ(take_ups.Find(TakeUp("r4", 7)).least_fence, 11U);
  EXPECT_FALSE(take_ups.Find(TakeUp("r4", 7)).overtaken);
  // Another stream.
  EXPECT_EQ(take_ups.Find({{"south"}, {"program"}, {"r1"}, {"r4"}, 7, 1000}).fence, 0U);
}

// Guards against an attempt that comes late and would replace what a later one brought.
TEST(StreamTakeUpsTest, AnAttemptWithAnEarlierEventIsOvertaken) {
  StreamTakeUps take_ups;
  take_ups.Apply(TakeUp("r3", 7), {10});
  take_ups.Apply(TakeUp("r2", 4), {11});
  EXPECT_TRUE(take_ups.Find(TakeUp("r2", 4)).overtaken);
  take_ups.Apply(TakeUp("r4", 9), {12});
  EXPECT_FALSE(take_ups.Find(TakeUp("r4", 9)).overtaken);
  EXPECT_EQ(take_ups.Find(TakeUp("r4", 9)).least_fence, 11U);
}

// Guards against another order after a restart, where the newest records are read in any order.
TEST(StreamTakeUpsTest, FollowsTheOffsetsOfTheRecords) {
  StreamTakeUps take_ups;
  take_ups.Apply(TakeUp("r3", 7), {12});
  take_ups.Apply(TakeUp("r2", 4), {10});
  // The record of the second attempt was written twice.
  take_ups.Apply(TakeUp("r2", 4), {8});
  take_ups.Apply(TakeUp("r4", 8), {13});
  EXPECT_EQ(take_ups.Find(TakeUp("r3", 7)).least_fence, 11U);
  EXPECT_EQ(take_ups.Find(TakeUp("r4", 8)).least_fence, 13U);
  take_ups.Expire(1001);
  EXPECT_EQ(take_ups.size(), 0U);
}

// Guards against copies that fill the memory.
TEST(StreamCopiesTest, BoundsBytesAndTime) {
  StreamCopies copies(100);
  for (int n = 0; n < 50; ++n) {
    const StreamKey key{{"north"}, {std::to_string(n)}};
    copies.Add(kNow + std::chrono::seconds{n}, key, Part(kFirst, 0, 1, "0123456789"));
  }
  EXPECT_EQ(copies.Bytes(), 100U);
  EXPECT_TRUE(copies.Find({{"north"}, {"49"}}, 1, kFirst));
  EXPECT_FALSE(copies.Find({{"north"}, {"39"}}, 1, kFirst));
  copies.Expire(kNow + std::chrono::seconds{49} + kStreamCopyTime);
  EXPECT_EQ(copies.Bytes(), 0U);
}

// Guards against parallel turns that exceed the budget, and against tokens that stay reserved after
// a turn ended with fewer.
TEST(TokenLedgerTest, CountsOutstandingTurnsAtTheirMaximum) {
  TokenLedger ledger;
  EXPECT_TRUE(ledger.Fits(Reserve("a", 280), 500));
  ledger.Apply(Reserve("a", 280));
  EXPECT_FALSE(ledger.Fits(Reserve("b", 280), 500));
  ledger.Apply(Reserve("a", 70, true));
  EXPECT_TRUE(ledger.Fits(Reserve("b", 280), 500));
  EXPECT_EQ(ledger.Usage({"north"}, {"p"}).settled, 70U);
  EXPECT_EQ(ledger.Usage({"south"}, {"p"}).Total(), 0U);
}

// Guards against a late copy of a repeated append that reopens a settled reservation, and against a
// repeated append that counts twice.
TEST(TokenLedgerTest, RepeatedRecordsCountOnce) {
  TokenLedger ledger;
  ledger.Apply(Reserve("a", 280));
  ledger.Apply(Reserve("a", 280));
  EXPECT_EQ(ledger.Usage({"north"}, {"p"}).outstanding, 280U);
  ledger.Apply(Reserve("a", 70, true));
  ledger.Apply(Reserve("a", 280));
  EXPECT_EQ(ledger.Usage({"north"}, {"p"}).Total(), 70U);
}

// Guards against an integer overflow when token counts near the maximum are added.
TEST(TokenLedgerTest, LargeNumbersDoNotWrap) {
  TokenLedger ledger;
  ledger.Apply(Reserve("a", 100));
  EXPECT_FALSE(ledger.Fits(Reserve("b", ~std::uint64_t{0}), 200));
}

// Guards against instances that together exceed the budget, or compute different usages, when they
// interleave appends to one partition.
TEST(TokenLedgerTest, GrantsInLogOrderNeverExceedTheBudget) {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    constexpr std::uint64_t kBudget = 2240;
    std::vector<schema::TokenReservation> log;
    std::uint64_t handed_out = 0;
    TokenLedger reader;
    std::vector<std::pair<std::string, std::uint64_t>> running;
    for (int n = 0; n < 60; ++n) {
      if (!running.empty() && random() % 2 == 0) {
        const auto [turn, tokens] = running.back();
        running.pop_back();
        log.push_back(Reserve(turn, random() % (tokens + 1), true));
        handed_out += log.back().tokens;
        reader.Apply(log.back());
        continue;
      }
      const auto mine = Reserve(std::to_string(n), 1 + random() % 280);
      log.push_back(mine);
      if (reader.Fits(mine, kBudget)) {
        reader.Apply(mine);
        running.emplace_back(mine.turn.value, mine.tokens);
      } else {
        log.push_back(Reserve(mine.turn.value, 0, true));
        reader.Apply(log.back());
      }
    }
    for (const auto& [turn, tokens] : running) handed_out += tokens;
    EXPECT_LE(handed_out, kBudget) << "seed " << seed;
    TokenLedger other;
    for (const auto& record : log) other.Apply(record);
    EXPECT_EQ(other.Usage({"north"}, {"p"}).Total(), reader.Usage({"north"}, {"p"}).Total());
  }
}

// Guards against damaged or truncated records that are decoded as valid ones.
TEST(StateCodecTest, RoundTripsAndRefusesDamage) {
  const std::string bytes = schema::EncodeState(Turn("a", {{"b"}}));
  const auto back = schema::DecodeState(bytes);
  ASSERT_TRUE(back);
  EXPECT_EQ(std::get<schema::KeptTurn>(*back), Turn("a", {{"b"}}));
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    EXPECT_FALSE(schema::DecodeState(bytes.substr(0, n))) << n;
  }
  EXPECT_FALSE(schema::DecodeState(bytes + "x"));
}

// Guards against a version that is found for another workspace's attempt, that is taken from one of
// two contradicting records, or that is kept without end.
TEST(StreamVersionsTest, KnowsAnAttemptByItsWorkspaceAndProgram) {
  StreamVersions versions;
  const auto begin = [&versions](const std::string& attempt, const std::string& version) {
    versions.Apply({{"north"}, {"p"}, {attempt}, {version}, kExpires});
  };
  begin("a", "v1");
  begin("a", "v1");
  begin("twice", "v1");
  begin("twice", "v2");
  begin("twice", "v2");
  EXPECT_EQ(versions.Find({"north"}, {"p"}, {"a"}), base::SoftwareVersion{"v1"});
  EXPECT_EQ(versions.Find({"south"}, {"p"}, {"a"}), std::nullopt);
  EXPECT_EQ(versions.Find({"north"}, {"q"}, {"a"}), std::nullopt);
  EXPECT_EQ(versions.Find({"north"}, {"p"}, {"twice"}), std::nullopt);
  versions.Expire(kExpires + 1);
  EXPECT_EQ(versions.size(), 0U);
}

}  // namespace
}  // namespace persimmonstair::turns
