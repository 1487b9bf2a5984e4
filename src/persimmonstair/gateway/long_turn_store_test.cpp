// Tests of turns that don't fit into a record of the store.
#include "turn_store_fixture_test.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using std::chrono::milliseconds;

/// Turns that don't fit into a record.
class LongTurnStoreTest : public TurnExtensionTest {
 protected:
  static constexpr std::size_t kLongBytes = 600'000;

  static schema::KeptTurn MakeLongTurn(const std::string& id, std::int64_t expires_in_ms) {
    schema::KeptTurn turn = MakeTurn(id);
    turn.input = std::string(kLongBytes, 'i');
    turn.expires_ms = UnixMillis() + expires_in_ms;
    return turn;
  }

  /// Saves a long turn and forgets it in memory.
  void SaveLong(const schema::KeptTurn& turn) {
    MakeStores(milliseconds{1}, {});
    const SavePtr save = StartSave(turn, milliseconds{1000});
    RunFor(milliseconds{100});
    ASSERT_TRUE(Saved(save));
    MakeTurnStore(kCacheBytes);
  }

  SearchPtr Find(const std::string& turn) {
    SearchPtr search = Start(turn, milliseconds{1000});
    RunFor(milliseconds{200});
    return search;
  }

  std::size_t StoredParts() const {
    const auto& records = records_->Content().records;
    return std::count_if(records.begin(), records.end(),
                         [](const auto& one) { return IsPartKey(one.record.key); });
  }
};

// Guards against records that the store refuses.
TEST_F(LongTurnStoreTest, NoRecordExceedsTheLimit) {
  SaveLong(MakeLongTurn("long", kRetentionMs));
  for (const auto& one : records_->Content().records) {
    EXPECT_LE(SizeOf(one.record), StoreLimits{}.record_bytes);
  }
  EXPECT_EQ(StoredParts(), 3U);
  const SearchPtr search = Find("long");
  ASSERT_TRUE(search->Found());
  EXPECT_EQ(search->result->value().text, std::string(kLongBytes, 'i') + "out");
}

// Guards against a turn that counts as unknown because one of its parts was read too early.
TEST_F(LongTurnStoreTest, AMissingPartIsNotReportedAsNotFound) {
  SaveLong(MakeLongTurn("long", kRetentionMs));
  records_->Delete(PartPrefix(TurnKey(kWorkspace, {"long"})));
  EXPECT_EQ(StoredParts(), 2U);
  EXPECT_TRUE(Find("long")->FailedWith(ErrorCode::kLogUnavailable));
}

// Guards against an extension that writes the whole turn again, or leaves its parts to expire.
TEST_F(LongTurnStoreTest, AnExtensionIsOneSmallRecordAndKeepsTheParts) {
  SaveLong(MakeLongTurn("long", kRetentionMs / 2));
  ASSERT_TRUE(Find("long")->Found());
  const base::Offset before = records_->Content().next;
  const SavePtr save = StartSave(MakeTurn("next", {{"long"}}), milliseconds{500});
  RunFor(milliseconds{200});
  EXPECT_TRUE(Saved(save));
  // The extension and the next turn.
  EXPECT_EQ(records_->Content().next.value - before.value, 2U);
  EXPECT_GE(StoredExpiry("long"), UnixMillis() + kRetentionMs);
  EXPECT_EQ(StoredParts(), 3U);
}

// Guards against the loss of parts whose turn was extended, and against parts that stay in the
// store for ever.
TEST_F(LongTurnStoreTest, PartsAreDeletedWithTheirTurnAndNotBefore) {
  SaveLong(MakeLongTurn("extended", -kLongExpiredMs));
  schema::LongTurn extended =
      DivideTurn(MakeLongTurn("extended", -kLongExpiredMs), StoreLimits{}.record_bytes);
  extended.expires_ms = UnixMillis() + kRetentionMs;
  WriteRecord(EncodeLongTurn(extended));
  ASSERT_TRUE(Find("extended")->Found());
  const schema::KeptTurn gone = MakeLongTurn("gone", -kLongExpiredMs);
  const schema::LongTurn divided = DivideTurn(gone, StoreLimits{}.record_bytes);
  for (std::size_t n = 0; n < CountParts(divided); ++n) WriteRecord(EncodePart(gone, divided, n));
  EXPECT_EQ(StoredParts(), 6U);
  schema::KeptTurn old = MakeTurn("old");
  old.expires_ms = UnixMillis() - kLongExpiredMs;
  Write(old);
  MakeTurnStore(kCacheBytes);
  ASSERT_TRUE(Find("extended")->Found());
  boost::asio::co_spawn(io_, turns_->DropExpired(), boost::asio::detached);
  RunFor(std::chrono::seconds{6});
  EXPECT_EQ(StoredParts(), 3U);
  MakeTurnStore(kCacheBytes);
  EXPECT_TRUE(Find("extended")->Found());
}

// Guards against reads that hold what other conversations keep in the same partition, which ended
// instances.
TEST_F(LongTurnStoreTest, ReadsHoldOnlyWhatIsWanted) {
  SaveLong(MakeLongTurn("long", kRetentionMs));
  for (int n = 0; n < 10; ++n) {
    const SavePtr save =
        StartSave(MakeLongTurn("other" + std::to_string(n), kRetentionMs), milliseconds{1000});
    RunFor(milliseconds{50});
    ASSERT_TRUE(Saved(save));
  }
  MakeTurnStore(kCacheBytes);
  const RequestMemory room(4 * kLongBytes);
  turns_->SetMemory(room);
  EXPECT_TRUE(Find("long")->Found());
  EXPECT_EQ(room.Held(), 0U);
  MakeTurnStore(kCacheBytes);
  const RequestMemory no_room(kLongBytes);
  turns_->SetMemory(no_room);
  EXPECT_TRUE(Find("long")->FailedWith(ErrorCode::kLogUnavailable));
}

// Guards against an entry of another writer that states impossible lengths.
TEST(TurnRecordsTest, OddEntriesAreNotJoined) {
  TurnParts parts;
  schema::LongTurn odd{{"odd"}, kWorkspace, {}, 10, 0, 0, 0, 0};
  EXPECT_EQ(CountParts(odd), 0U);
  EXPECT_FALSE(JoinTurn(odd, parts));
  odd.part_bytes = 1;
  odd.input_bytes = ~std::uint64_t{0};
  odd.output_bytes = 2;
  EXPECT_FALSE(JoinTurn(odd, parts));
}

}  // namespace
}  // namespace persimmonstair::gateway
