#include "turn_store.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "persimmonstair/schema/codec.hpp"
#include "store_access/busy_store_test.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using std::chrono::milliseconds;

constexpr std::int64_t kRetentionMs = 60'000;
constexpr std::int64_t kLongExpiredMs = 60'000;
constexpr std::size_t kCacheBytes = 1'000'000;
const base::WorkspaceId kWorkspace{"w"};

schema::KeptTurn MakeTurn(const std::string& id, std::vector<base::TurnId> ancestors = {}) {
  return {{id}, kWorkspace, std::move(ancestors), "in " + id, "out", UnixMillis() + kRetentionMs};
}

RecordSnapshot SnapshotOf(const std::vector<schema::KeptTurn>& turns) {
  RecordSnapshot snapshot;
  for (const auto& turn : turns) {
    snapshot.records.push_back({snapshot.next, {turn.turn.value, schema::EncodeState(turn)}});
    ++snapshot.next.value;
  }
  return snapshot;
}

/// A request that looks for a turn.
struct Search {
  std::optional<base::Result<History>> result;
  base::Duration took{0};

  bool Found() const { return result && result->has_value(); }
  bool FailedWith(ErrorCode code) const {
    return result && !result->has_value() && result->error().code == code;
  }
};
using SearchPtr = std::shared_ptr<Search>;
/// The result of saving a turn; empty until it is there.
using SavePtr = std::shared_ptr<std::optional<base::Result<void>>>;

bool Saved(const SavePtr& save) { return *save && save->value().has_value(); }

class TurnStoreTest : public testing::Test {
 protected:
  void MakeStores(base::Duration read_time, const std::vector<schema::KeptTurn>& turns,
                  std::size_t cache_bytes = kCacheBytes) {
    records_ = std::make_unique<store_access::BusyStore>(read_time, SnapshotOf(turns));
    store_ = std::make_unique<store_access::RetryingRecordStore>(*records_, metrics_);
    MakeTurnStore(cache_bytes);
  }

  /// Replaces the turn store, as a restart does.
  void MakeTurnStore(std::size_t cache_bytes) {
    turns_ = std::make_unique<TurnStore>(io_.get_executor(), *store_,
                                         store_access::Partitioning{"turns", 1, 1}, cache_bytes);
  }

  SearchPtr Start(const std::string& turn, base::Duration time) {
    auto search = std::make_shared<Search>();
    boost::asio::co_spawn(io_, Run(search, turn, time), boost::asio::detached);
    return search;
  }

  void RunFor(base::Duration time) {
    io_.restart();
    io_.run_for(time);
  }

  /// Saves a turn that ends within `time`.
  SavePtr StartSave(const schema::KeptTurn& turn, base::Duration time,
                    std::optional<schema::TokenReservation> settlement = std::nullopt) {
    auto save = std::make_shared<std::optional<base::Result<void>>>();
    boost::asio::co_spawn(io_, RunSave(save, turn, time, std::move(settlement)),
                          boost::asio::detached);
    return save;
  }

  base::Result<std::vector<schema::TokenReservation>> FindSettlements(
      std::vector<schema::TokenReservation> unsettled) {
    const auto result = std::make_shared<base::Result<std::vector<schema::TokenReservation>>>();
    boost::asio::co_spawn(io_, RunFind(result, std::move(unsettled)), boost::asio::detached);
    RunFor(milliseconds{100});
    return *result;
  }

  /// Returns the expiry of a turn in the store, in Unix milliseconds; 0 if it isn't there.
  std::int64_t StoredExpiry(const std::string& turn) const {
    std::int64_t expires_ms = 0;
    for (const auto& stored : records_->Content().records) {
      const auto decoded = schema::DecodeState(*stored.record.value);
      const auto* kept = std::get_if<schema::KeptTurn>(&*decoded);
      const auto* divided = std::get_if<schema::LongTurn>(&*decoded);
      if (kept != nullptr && kept->turn.value == turn) {
        expires_ms = std::max(expires_ms, kept->expires_ms);
      } else if (divided != nullptr && divided->turn.value == turn) {
        expires_ms = std::max(expires_ms, divided->expires_ms);
      }
    }
    return expires_ms;
  }

  /// Adds a turn to the store, as another instance does.
  void Write(const schema::KeptTurn& turn) {
    boost::asio::co_spawn(io_, WriteTurn(turn), boost::asio::detached);
    RunFor(milliseconds{1});
  }

  void WriteRecord(const KeyedRecord& record) {
    boost::asio::co_spawn(io_, AppendRecord(record), boost::asio::detached);
    RunFor(milliseconds{1});
  }

  boost::asio::io_context io_{1};
  diagnostics::Metrics metrics_;
  std::unique_ptr<store_access::BusyStore> records_;
  std::unique_ptr<store_access::RetryingRecordStore> store_;
  std::unique_ptr<TurnStore> turns_;

 private:
  boost::asio::awaitable<void> Run(SearchPtr search, std::string turn, base::Duration time) {
    const base::TimePoint began = Now();
    const base::TurnId id{turn};
    search->result = co_await turns_->Find(kWorkspace, id, began + time);
    search->took = Now() - began;
  }

  boost::asio::awaitable<void> RunSave(SavePtr save, schema::KeptTurn turn, base::Duration time,
                                       std::optional<schema::TokenReservation> settlement) {
    const base::TimePoint deadline = Now() + time;
    *save =
        co_await turns_->Save(std::move(turn), deadline, kRetentionMs, 0, std::move(settlement));
  }

  boost::asio::awaitable<void> RunFind(
      std::shared_ptr<base::Result<std::vector<schema::TokenReservation>>> result,
      std::vector<schema::TokenReservation> unsettled) {
    *result = co_await turns_->FindSettlements(std::move(unsettled), Now() + milliseconds{500});
  }

  boost::asio::awaitable<void> WriteTurn(schema::KeptTurn turn) {
    return AppendRecord({turn.turn.value, schema::EncodeState(turn)});
  }

  boost::asio::awaitable<void> AppendRecord(KeyedRecord record) {
    const Partition partition{{"turns-0"}, 0};
    const auto records = OneRecord(std::move(record.key), std::move(record.value));
    co_await records_->Append(partition, records, milliseconds{100}, std::nullopt);
  }
};

// Guards against settlements that are lost with the instance that answered the turn, also if the
// reservation was made anew under another name, and against those of other turns.
TEST_F(TurnStoreTest, SettlementsAreFoundBesideTheirTurns) {
  MakeStores(milliseconds{1}, {});
  const schema::TokenReservation renamed{{"p"}, kWorkspace, {"t1#2"}, 40, true, 0};
  const SavePtr save = StartSave(MakeTurn("t1"), milliseconds{500}, renamed);
  RunFor(milliseconds{100});
  ASSERT_TRUE(Saved(save));
  MakeTurnStore(kCacheBytes);
  schema::TokenReservation unsettled = renamed;
  unsettled.tokens = 280;
  unsettled.settled = false;
  schema::TokenReservation of_other_program = unsettled;
  of_other_program.program = {"q"};
  schema::TokenReservation of_other_workspace = unsettled;
  of_other_workspace.workspace = {"v"};
  schema::TokenReservation running = unsettled;
  running.turn = {"t1"};
  const auto found = FindSettlements({of_other_program, unsettled, of_other_workspace, running});
  ASSERT_TRUE(found);
  ASSERT_EQ(found->size(), 1U);
  EXPECT_EQ(found->front().turn, renamed.turn);
  EXPECT_EQ(found->front().tokens, 40U);
  EXPECT_TRUE(found->front().settled);
}

// Guards against settlements that stay in the store for ever.
TEST_F(TurnStoreTest, SettlementsAreDroppedWithTheirTurns) {
  MakeStores(milliseconds{1}, {});
  schema::KeptTurn expired = MakeTurn("t1");
  expired.expires_ms = UnixMillis() - kLongExpiredMs;
  const SavePtr save = StartSave(expired, milliseconds{500},
                                 schema::TokenReservation{{"p"}, kWorkspace, {"t1"}, 40});
  boost::asio::co_spawn(io_, turns_->DropExpired(), boost::asio::detached);
  RunFor(milliseconds{100});
  ASSERT_TRUE(Saved(save));
  ASSERT_EQ(records_->Content().records.size(), 2U);
  RunFor(milliseconds{6000});
  EXPECT_TRUE(records_->Content().records.empty());
}

// Guards against callers that are told that a stored turn doesn't exist because other turns pushed
// it out of the cache right after it was read.
TEST_F(TurnStoreTest, StoredTurnThatWasEvictedAtOnceDoesNotCountAsMissing) {
  MakeStores(milliseconds{1}, {MakeTurn("first"), MakeTurn("second", {{"first"}})}, 1);
  const SearchPtr search = Start("second", milliseconds{500});
  RunFor(milliseconds{100});
  EXPECT_TRUE(search->FailedWith(ErrorCode::kLogUnavailable));
}

// Guards against a read of the whole partition for each of many requests that miss in it at once,
// as all do after a start.
TEST_F(TurnStoreTest, RequestsThatMissInOnePartitionShareItsRead) {
  constexpr int kRequests = 50;
  std::vector<schema::KeptTurn> turns;
  for (int n = 0; n < kRequests; ++n) turns.push_back(MakeTurn("turn-" + std::to_string(n)));
  MakeStores(milliseconds{40}, turns);
  std::vector<SearchPtr> searches;
  for (const auto& turn : turns) {
    searches.push_back(Start(turn.turn.value, milliseconds{3000}));
    if (searches.size() == kRequests / 2) RunFor(milliseconds{10});
  }
  RunFor(milliseconds{300});
  for (const auto& search : searches) EXPECT_TRUE(search->Found());
  EXPECT_EQ(records_->Reads(), 1);
}

// Guards against reads that end with their request's deadline and are begun anew, at full cost, for
// the caller's next attempt, so that a slow store never serves it.
TEST_F(TurnStoreTest, ReadThatOutlastsItsRequestServesTheNextAttempt) {
  MakeStores(milliseconds{300}, {MakeTurn("turn"), MakeTurn("other")});
  const SearchPtr first = Start("turn", milliseconds{100});
  const SearchPtr given_up = Start("other", milliseconds{100});
  RunFor(milliseconds{150});
  EXPECT_TRUE(first->FailedWith(ErrorCode::kLogUnavailable));
  const SearchPtr second = Start("turn", milliseconds{500});
  RunFor(milliseconds{250});
  EXPECT_TRUE(second->Found());
  const SearchPtr cached = Start("other", milliseconds{10});
  RunFor(milliseconds{50});
  EXPECT_TRUE(cached->Found());
  EXPECT_EQ(records_->Reads(), 1);
}

// Guards against requests that are held beyond their deadline by a read that others began, or whose
// own end stops the read for others.
TEST_F(TurnStoreTest, RequestWaitsForASharedReadUntilItsOwnDeadline) {
  MakeStores(milliseconds{300}, {MakeTurn("turn")});
  const SearchPtr patient = Start("turn", milliseconds{2000});
  RunFor(milliseconds{20});
  const SearchPtr hurried = Start("turn", milliseconds{80});
  RunFor(milliseconds{400});
  EXPECT_TRUE(hurried->FailedWith(ErrorCode::kLogUnavailable));
  EXPECT_GE(hurried->took, milliseconds{80});
  EXPECT_LT(hurried->took, milliseconds{200});
  EXPECT_TRUE(patient->Found());
}

// Guards against 'not found' for a turn that was stored after a shared read had begun.
TEST_F(TurnStoreTest, TurnIsNotFoundOnlyByAReadThatBeganAfterTheRequest) {
  MakeStores(milliseconds{100}, {});
  const SearchPtr first = Start("absent", milliseconds{2000});
  RunFor(milliseconds{20});
  Write(MakeTurn("late"));
  const SearchPtr late = Start("late", milliseconds{2000});
  const SearchPtr again = Start("absent", milliseconds{2000});
  RunFor(milliseconds{100});
  EXPECT_TRUE(first->FailedWith(ErrorCode::kNotFound));
  EXPECT_FALSE(late->result);
  EXPECT_FALSE(again->result);
  RunFor(milliseconds{200});
  EXPECT_TRUE(late->Found());
  EXPECT_TRUE(again->FailedWith(ErrorCode::kNotFound));
  EXPECT_EQ(records_->Reads(), 2);
}

// Guards against further reads for requests that have given up.
TEST_F(TurnStoreTest, NoReadBeginsForARequestThatGaveUp) {
  MakeStores(milliseconds{200}, {});
  Start("absent", milliseconds{50});
  RunFor(milliseconds{20});
  const SearchPtr joined = Start("absent", milliseconds{50});
  RunFor(milliseconds{600});
  EXPECT_TRUE(joined->FailedWith(ErrorCode::kLogUnavailable));
  EXPECT_EQ(records_->Reads(), 1);
}

// Guards against turns that are served although they have expired.
TEST_F(TurnStoreTest, ExpiredTurnIsNotFound) {
  schema::KeptTurn expired = MakeTurn("turn");
  expired.expires_ms = UnixMillis() - 1;
  MakeStores(milliseconds{1}, {expired});
  const SearchPtr search = Start("turn", milliseconds{500});
  RunFor(milliseconds{100});
  EXPECT_TRUE(search->FailedWith(ErrorCode::kNotFound));
  EXPECT_EQ(records_->Reads(), 1);
}

// Guards against expired turns that stay in the store because a busy store answers the read before
// their deletion late, and against that read being thrown away at full cost.
TEST_F(TurnStoreTest, ExpiredTurnsAreDeletedAlthoughTheStoreIsSlow) {
  schema::KeptTurn expired = MakeTurn("turn");
  expired.expires_ms = UnixMillis() - kRetentionMs;
  MakeStores(milliseconds{1100}, {expired, MakeTurn("kept")});
  boost::asio::co_spawn(io_, turns_->DropExpired(), boost::asio::detached);
  const SearchPtr search = Start("kept", milliseconds{3000});
  RunFor(milliseconds{5000} + milliseconds{1300});
  EXPECT_TRUE(search->Found());
  EXPECT_EQ(records_->Content().records.size(), 1);
}

/// Turns whose histories have to be kept for longer.
class TurnExtensionTest : public TurnStoreTest {
 protected:
  /// Returns turns of one conversation, oldest first, that expire before a turn that ends now.
  static std::vector<schema::KeptTurn> Conversation(int length) {
    std::vector<schema::KeptTurn> turns;
    for (int n = 0; n < length; ++n) {
      turns.push_back(MakeTurn("t" + std::to_string(n), AncestorsOf(turns)));
      turns.back().expires_ms = UnixMillis() + kRetentionMs / 2;
    }
    return turns;
  }

  /// Returns what the record of the next turn lists.
  static std::vector<base::TurnId> AncestorsOf(const std::vector<schema::KeptTurn>& turns) {
    std::vector<base::TurnId> ancestors;
    for (auto it = turns.rbegin(); it != turns.rend(); ++it) ancestors.push_back(it->turn);
    ancestors.resize(std::min(ancestors.size(), turns::kMaxListedAncestors));
    return ancestors;
  }

  /// Reads the conversation, as the request of its next turn does.
  void LoadConversation(const std::vector<schema::KeptTurn>& turns) {
    MakeStores(milliseconds{1}, turns);
    const SearchPtr search = Start(turns.back().turn.value, milliseconds{2000});
    RunFor(milliseconds{50});
    ASSERT_TRUE(search->Found());
  }

  /// Expects that the store keeps all turns for their retention after `ended_ms` (Unix
  /// milliseconds).
  void ExpectKept(const std::vector<schema::KeptTurn>& turns, std::int64_t ended_ms) const {
    for (const auto& one : turns) {
      EXPECT_GE(StoredExpiry(one.turn.value), ended_ms + kRetentionMs) << one.turn.value;
    }
  }
};

// Guards against a turn that counts as kept although the store still has the old expiry of the
// turns before it, because another turn that failed noted the new one in the cache.
TEST_F(TurnExtensionTest, CountsOnlyOnceTheStoreHasIt) {
  const auto turns = Conversation(2);
  LoadConversation(turns);
  records_->refused_key = "t0#";
  const SavePtr first = StartSave(MakeTurn("first", AncestorsOf(turns)), milliseconds{300});
  RunFor(milliseconds{50});
  const SavePtr second = StartSave(MakeTurn("second", AncestorsOf(turns)), milliseconds{300});
  RunFor(milliseconds{800});
  EXPECT_FALSE(Saved(first));
  EXPECT_FALSE(Saved(second));
  records_->refused_key.clear();
  const SavePtr third = StartSave(MakeTurn("third", AncestorsOf(turns)), milliseconds{300});
  RunFor(milliseconds{200});
  EXPECT_TRUE(Saved(third));
  ExpectKept(turns, UnixMillis());
}

// Guards against the expiry of the first turns of a long conversation, which the records of later
// ones don't list.
TEST_F(TurnExtensionTest, ReachesTheFirstTurnsOfALongConversation) {
  const auto turns = Conversation(3 * static_cast<int>(turns::kMaxListedAncestors));
  LoadConversation(turns);
  const SavePtr save = StartSave(MakeTurn("next", AncestorsOf(turns)), milliseconds{2000});
  RunFor(milliseconds{500});
  EXPECT_TRUE(Saved(save));
  ExpectKept(turns, UnixMillis());
}

// Guards against the expiry of turns that left the cache while the next turn ran.
TEST_F(TurnExtensionTest, ReachesTurnsThatLeftTheCache) {
  const auto turns = Conversation(3);
  LoadConversation(turns);
  const SavePtr other = StartSave(MakeTurn(std::string(kCacheBytes, 'x')), milliseconds{500});
  RunFor(milliseconds{100});
  ASSERT_TRUE(Saved(other));
  const SavePtr save = StartSave(MakeTurn("next", AncestorsOf(turns)), milliseconds{2000});
  RunFor(milliseconds{500});
  EXPECT_TRUE(Saved(save));
  ExpectKept(turns, UnixMillis());
}

// Guards against turns that are kept from the moment at which their extension began, although the
// response ends later, because the store is late.
TEST_F(TurnExtensionTest, CountsFromTheEndOfTheResponse) {
  // Enough for a response that ends at once.
  auto turns = Conversation(2);
  for (auto& one : turns) one.expires_ms = UnixMillis() + kRetentionMs + 1000;
  LoadConversation(turns);
  constexpr milliseconds kLongResponse{10'000};
  const std::int64_t ends_ms = UnixMillis() + kLongResponse.count();
  const SavePtr save = StartSave(MakeTurn("next", AncestorsOf(turns)), kLongResponse);
  RunFor(milliseconds{100});
  EXPECT_TRUE(Saved(save));
  ExpectKept(turns, ends_ms);
}

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
    const SearchPtr search = Start(turn, milliseconds{1000});
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

}  // namespace
}  // namespace persimmonstair::gateway
