#include "turn_store_fixture_test.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using std::chrono::milliseconds;

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

}  // namespace
}  // namespace persimmonstair::gateway
