#include "budget_manager.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "persimmonstair/schema/codec.hpp"
#include "store_access/busy_store_test.hpp"

namespace persimmonstair::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kBudget = 1000;
constexpr std::int64_t kLongExpiredMs = -60'000;
constexpr std::int64_t kRetentionMs = 60'000;
constexpr milliseconds kDropInterval{200};
/// Longer than the time until the deletion of expired records begins.
constexpr milliseconds kDropPass{500};
/// Longer than the read of records that another instance has written.
constexpr milliseconds kReadTime{300};

/// Returns a reservation that expires `expires_in_ms` from now.
schema::TokenReservation MakeReservation(const std::string& program, const std::string& turn,
                                         std::int64_t expires_in_ms) {
  return {{program}, {"w"}, {turn}, 10, true, UnixMillis() + expires_in_ms};
}

/// An instance that reserves tokens.
struct Instance {
  Instance(boost::asio::io_context& io, RecordStore& records)
      : store(records, metrics),
        budgets(io.get_executor(), store, {"budgets", 1, 1}, milliseconds{1}, kDropInterval) {}

  diagnostics::Metrics metrics;
  store_access::RetryingRecordStore store;
  BudgetManager budgets;
};

class BudgetManagerTest : public testing::Test {
 protected:
  BudgetManagerTest() : records_(milliseconds{1}, {}) {}

  /// Adds a record to the store, as an instance does that is gone.
  template <class Record>
  void Write(const std::string& key, const Record& record) {
    boost::asio::co_spawn(io_, WriteRecord(key, schema::EncodeState(record)),
                          boost::asio::detached);
    RunFor(milliseconds{1});
  }
  void WriteReservation(const schema::TokenReservation& reservation) {
    Write(reservation.turn.value, reservation);
  }

  std::unique_ptr<Instance> Start() {
    auto instance = std::make_unique<Instance>(io_, records_);
    boost::asio::co_spawn(io_, instance->budgets.DropExpired(), boost::asio::detached);
    return instance;
  }

  ReservationOutcome Reserve(Instance& instance, const ReservationRequest& request,
                             base::Duration time = milliseconds{50}) {
    const auto outcome = std::make_shared<ReservationOutcome>();
    boost::asio::co_spawn(io_, RunReserve(instance, request, outcome), boost::asio::detached);
    RunFor(time);
    return *outcome;
  }
  ReservationOutcome Reserve(Instance& instance, const schema::TokenReservation& tokens) {
    return Reserve(instance, RequestFor(tokens));
  }

  void RunFor(base::Duration time) {
    io_.restart();
    io_.run_for(time);
  }

  /// True if the store holds a record whose key begins with `key`.
  bool Stored(const std::string& key) const {
    const auto& stored = records_.Content().records;
    return std::any_of(stored.begin(), stored.end(),
                       [&](const auto& one) { return one.record.key.starts_with(key); });
  }

  boost::asio::io_context io_{1};
  store_access::BusyStore records_;

  static ReservationRequest RequestFor(const schema::TokenReservation& tokens) {
    ReservationRequest request;
    request.tokens = tokens;
    request.tokens.settled = false;
    request.budget = kBudget;
    return request;
  }

  static boost::asio::awaitable<void> RunReserve(Instance& instance, ReservationRequest request,
                                                 std::shared_ptr<ReservationOutcome> outcome) {
    *outcome = co_await instance.budgets.Reserve(request, Now() + milliseconds{1000});
  }

 private:
  boost::asio::awaitable<void> WriteRecord(std::string key, std::string value) {
    const Partition partition{{"budgets-0"}, 0};
    const auto records = OneRecord(key, value);
    co_await records_.Append(partition, records, milliseconds{100}, std::nullopt);
  }
};

// Guards against a program that may spend its budget again after a loss of its coordinator, because
// the reservations of its first turns were deleted while it went on.
TEST_F(BudgetManagerTest, ReservationsStayUntilTheLastOneOfTheirProgramExpires) {
  const auto instance = Start();
  Reserve(*instance, MakeReservation("goes on", "first", 100));
  Reserve(*instance, MakeReservation("goes on", "last", kRetentionMs));
  Reserve(*instance, MakeReservation("ended", "only", 100));
  RunFor(kDropPass);
  EXPECT_FALSE(Stored("only"));
  EXPECT_TRUE(Stored("first"));
  const auto next = Start();
  const auto outcome = Reserve(*next, MakeReservation("goes on", "next", kRetentionMs));
  EXPECT_EQ(outcome.usage.Total(), 20);
}

// Guards against reservations and versions that stay in the store for ever once their writers are
// gone, so that the first read of a partition grows with the length of the day.
TEST_F(BudgetManagerTest, ExpiredRecordsOfLostWritersAreDeletedByTheInstanceThatAppends) {
  WriteReservation(MakeReservation("old", "expired", kLongExpiredMs));
  WriteReservation(MakeReservation("goes on", "early", kLongExpiredMs));
  WriteReservation(MakeReservation("goes on", "late", kRetentionMs));
  const schema::StreamBegin begin{
      {"w"}, {"old"}, {"attempt"}, {"1"}, UnixMillis() + kLongExpiredMs};
  Write("began/1", begin);
  const auto instance = Start();
  Reserve(*instance, MakeReservation("new", "turn", kRetentionMs));
  RunFor(kDropPass);
  EXPECT_FALSE(Stored("expired"));
  EXPECT_FALSE(Stored("began/1"));
  EXPECT_TRUE(Stored("early"));
  EXPECT_TRUE(Stored("late"));
  EXPECT_TRUE(Stored("turn"));
}

// Guards against all instances that read a partition deleting the same records.
TEST_F(BudgetManagerTest, InstancesThatOnlyReadDeleteNothing) {
  WriteReservation(MakeReservation("old", "expired", kLongExpiredMs));
  const auto instance = Start();
  ReservationRequest take_up;
  take_up.tokens = MakeReservation("new", "turn", kRetentionMs);
  take_up.resumed_attempt = {"attempt"};
  EXPECT_EQ(Reserve(*instance, take_up).result, ReservationResult::kGranted);
  RunFor(kDropPass);
  EXPECT_TRUE(Stored("expired"));
  EXPECT_EQ(records_.Appends(), 1);
}

// Guards against two instances that order the take-ups of a stream differently, also after a
// restart that reads only the newest records.
TEST_F(BudgetManagerTest, TakeUpsHaveOneOrderForAllInstances) {
  const auto take_up = [this](Instance& instance, const std::string& attempt, std::uint64_t event) {
    ReservationRequest request;
    request.tokens = MakeReservation("p", attempt, kRetentionMs);
    request.resumed_attempt = {"r1"};
    request.take_up = {{"w"}, {"p"}, {"r1"}, {attempt}, event, UnixMillis() + kRetentionMs};
    return Reserve(instance, request, kReadTime).take_up;
  };
  const auto a = Start();
  const auto b = Start();
  const auto second = take_up(*a, "r2", 4);
  const auto third = take_up(*b, "r3", 7);
  EXPECT_EQ(second.least_fence, 0U);
  EXPECT_EQ(third.least_fence, second.fence);
  EXPECT_GT(third.fence, second.fence);
  EXPECT_TRUE(take_up(*a, "late", 5).overtaken);
  const auto restarted = Start();
  const auto fourth = take_up(*restarted, "r4", 9);
  EXPECT_EQ(fourth.least_fence, third.fence);
  EXPECT_FALSE(fourth.overtaken);
}

// Guards against an append that the store refuses, with all its reservations, because many callers
// give their programs long names.
TEST_F(BudgetManagerTest, LongNamesAreSpreadOverAppends) {
  constexpr int kReservations = 300;
  const std::string name(15'000, 'n');
  const auto instance = Start();
  std::vector<std::shared_ptr<ReservationOutcome>> outcomes;
  for (int n = 0; n < kReservations; ++n) {
    const std::string id = std::to_string(n);
    outcomes.push_back(std::make_shared<ReservationOutcome>());
    boost::asio::co_spawn(
        io_,
        RunReserve(*instance, RequestFor(MakeReservation(name + id, id, kRetentionMs)),
                   outcomes.back()),
        boost::asio::detached);
  }
  RunFor(kReadTime);
  for (const auto& one : outcomes) EXPECT_EQ(one->result, ReservationResult::kGranted);
  EXPECT_LE(records_.LargestAppend(), StoreLimits{}.call_bytes);
}

// Guards against a coordinator that deletes records which their writer, still there, deletes too.
TEST_F(BudgetManagerTest, RecordsAreLeftToTheirWriterForAWhile) {
  WriteReservation(MakeReservation("old", "expired just now", -1'000));
  const auto instance = Start();
  Reserve(*instance, MakeReservation("new", "turn", kRetentionMs));
  RunFor(kDropPass);
  EXPECT_TRUE(Stored("expired just now"));
}

// Guards against appends that deletions make so long that reservations wait for them.
TEST_F(BudgetManagerTest, ManyDeletionsAreSpreadOverAppends) {
  constexpr int kExpired = 250;
  for (int n = 0; n < kExpired; ++n) {
    WriteReservation(MakeReservation("old", "expired-" + std::to_string(n), kLongExpiredMs));
  }
  const auto instance = Start();
  Reserve(*instance, MakeReservation("new", "turn", kRetentionMs));
  RunFor(kDropPass);
  EXPECT_EQ(records_.Content().records.size(), 1);
  // One append for the reservation and three for the deletions, of 100 records at most.
  EXPECT_EQ(records_.Appends(), kExpired + 4);
}

/// Turns that others reserved tokens for and that are gone.
class LostTurnsTest : public BudgetManagerTest {
 protected:
  /// Adds a reservation of an instance that is gone.
  void WriteUnsettled(const std::string& turn, std::uint64_t tokens) {
    WriteReservation(Tokens(turn, tokens));
  }

  /// Starts an instance that finds these settlements beside the turns.
  std::unique_ptr<Instance> StartWith(
      base::Result<std::vector<schema::TokenReservation>> settlements) {
    auto instance = Start();
    instance->budgets.SetSettlements(
        [this, settlements](std::vector<schema::TokenReservation> unsettled,
                            base::TimePoint /*deadline*/)
            -> boost::asio::awaitable<base::Result<std::vector<schema::TokenReservation>>> {
          asked_.push_back(unsettled.size());
          co_await Sleep(milliseconds{5});
          co_return settlements;
        },
        [] { return kLongestTurn; });
    return instance;
  }

  static schema::TokenReservation Tokens(const std::string& turn, std::uint64_t tokens,
                                         bool settled = false) {
    return {{"p"},  {"w"},   {turn},
            tokens, settled, UnixMillis() + BudgetManager::kReservationRetentionMs};
  }

  /// Lets the reservations of the past become those of turns that have ended.
  static constexpr base::Duration kLongestTurn = milliseconds{500};
  static constexpr milliseconds kAllEnded{2600};

  /// Reserves tokens of the same program.
  ReservationResult ReserveMore(Instance& instance, const std::string& turn, std::uint64_t tokens) {
    return Reserve(instance, Tokens(turn, tokens)).result;
  }

  /// Number of turns that each search was about.
  std::vector<std::size_t> asked_;
};

// Guards against a 402 because of tokens that turns reserved and did not use, if their settlement
// was lost with their instances.
TEST_F(LostTurnsTest, CountWithWhatTheyUsed) {
  WriteUnsettled("a", 600);
  WriteUnsettled("b", 300);
  const auto instance = StartWith(std::vector{Tokens("a", 50, true), Tokens("b", 60, true)});
  EXPECT_EQ(ReserveMore(*instance, "next", 800), ReservationResult::kGranted);
  EXPECT_EQ(ReserveMore(*instance, "last", 100), ReservationResult::kBudgetExhausted);
  EXPECT_EQ(asked_, std::vector<std::size_t>{2});
  // Others learn it from the budget's partition.
  RunFor(milliseconds{800});
  const auto other = Start();
  EXPECT_EQ(Reserve(*other, Tokens("other", 1)).usage.settled, 110U);
}

// Guards against spending more than the budget, as a turn that broke off may have used all that it
// reserved, and against a 402 although much of the budget is left.
TEST_F(LostTurnsTest, LeaveTheRestOfTheBudgetIfTheyBrokeOff) {
  WriteUnsettled("a", 600);
  WriteUnsettled("broken", 600);
  std::this_thread::sleep_for(kAllEnded);
  const auto instance = StartWith(std::vector{Tokens("a", 50, true)});
  const auto next = Reserve(*instance, Tokens("next", 699));
  EXPECT_EQ(next.result, ReservationResult::kGranted);
  EXPECT_TRUE(next.reduced);
  EXPECT_EQ(kBudget - next.usage.Total(), 350U);
  // The first one has all that is left.
  EXPECT_EQ(ReserveMore(*instance, "beside", 4), ReservationResult::kBudgetExhausted);
  instance->budgets.Settle(Tokens("next", 699), 150);
  const auto last = Reserve(*instance, Tokens("last", 200));
  EXPECT_EQ(last.result, ReservationResult::kGranted);
  EXPECT_FALSE(last.reduced);
  EXPECT_EQ(ReserveMore(*instance, "none", 4), ReservationResult::kBudgetExhausted);
}

// Guards against turns that begin although they will probably need more than what is left, and are
// broken off then.
TEST_F(LostTurnsTest, AreNoReasonToBeginWithTooLittle) {
  WriteUnsettled("broken", 800);
  std::this_thread::sleep_for(kAllEnded);
  const auto instance = StartWith(std::vector<schema::TokenReservation>{});
  EXPECT_EQ(ReserveMore(*instance, "long", 400), ReservationResult::kBudgetExhausted);
  EXPECT_EQ(ReserveMore(*instance, "short", 399), ReservationResult::kGranted);
}

// Guards against a 402, which ends the program, while it is unknown what the turns used.
TEST_F(LostTurnsTest, AreNotTakenForUsedWhileTheStoreCannotBeRead) {
  WriteUnsettled("a", 600);
  const auto instance =
      StartWith(base::Fail(base::ErrorCode::kLogUnavailable, "the store is away"));
  EXPECT_EQ(ReserveMore(*instance, "next", 500), ReservationResult::kStoreUnavailable);
}

// Guards against reads of the store that can't change the outcome, as programs without end would
// cause all the time.
TEST_F(LostTurnsTest, AreNotLookedForIfTheBudgetIsSpent) {
  WriteUnsettled("a", 100);
  const auto instance = StartWith(std::vector{Tokens("a", 50, true)});
  ASSERT_EQ(ReserveMore(*instance, "long", 900), ReservationResult::kGranted);
  instance->budgets.Settle(Tokens("long", 900), 900);
  EXPECT_EQ(ReserveMore(*instance, "next", 200), ReservationResult::kBudgetExhausted);
  EXPECT_TRUE(asked_.empty());
}

// Guards against reads of the store for turns that run, or that were looked for just now.
TEST_F(LostTurnsTest, AreLookedForOnceAndOnlyAmongOthers) {
  const auto instance = StartWith(std::vector<schema::TokenReservation>{});
  ASSERT_EQ(ReserveMore(*instance, "runs", 600), ReservationResult::kGranted);
  EXPECT_EQ(ReserveMore(*instance, "first", 500), ReservationResult::kBudgetExhausted);
  EXPECT_TRUE(asked_.empty());
  const auto next = StartWith(std::vector<schema::TokenReservation>{});
  EXPECT_EQ(ReserveMore(*next, "second", 500), ReservationResult::kBudgetExhausted);
  EXPECT_EQ(ReserveMore(*next, "third", 500), ReservationResult::kBudgetExhausted);
  // The turn that runs and the one that was denied, whose settlement isn't written yet.
  EXPECT_EQ(asked_, std::vector<std::size_t>{2});
}

// Guards against streams that are broken off beside turns that run, because another instance has
// become the coordinator that reads their reservations.
TEST_F(LostTurnsTest, AreNotTakenForLostWhileTheyMayRun) {
  WriteUnsettled("runs elsewhere", 600);
  const auto instance = StartWith(std::vector<schema::TokenReservation>{});
  EXPECT_EQ(ReserveMore(*instance, "next", 500), ReservationResult::kBudgetExhausted);
}

// Guards against a 402 because of a turn whose instance is lost while its coordinator goes on.
TEST_F(LostTurnsTest, LeaveTheRestOfTheBudgetAlsoIfTheirCoordinatorLives) {
  const auto instance = StartWith(std::vector<schema::TokenReservation>{});
  ASSERT_EQ(ReserveMore(*instance, "lost", 600), ReservationResult::kGranted);
  EXPECT_EQ(ReserveMore(*instance, "early", 500), ReservationResult::kBudgetExhausted);
  RunFor(kAllEnded);
  const auto next = Reserve(*instance, Tokens("next", 500));
  EXPECT_EQ(next.result, ReservationResult::kGranted);
  EXPECT_TRUE(next.reduced);
  EXPECT_EQ(next.usage.Total(), 600U);
}

// Guards against exceeding the budget by what a turn reserved that was given up while it was
// decided again: the room that it leaves must not be counted twice.
TEST_F(LostTurnsTest, LeaveNoRoomTwiceForATurnThatWasGivenUp) {
  WriteUnsettled("a", 400);
  const auto instance = StartWith(std::vector{Tokens("a", 100, true)});
  ASSERT_EQ(ReserveMore(*instance, "runs", 500), ReservationResult::kGranted);
  const auto first = std::make_shared<ReservationOutcome>();
  const auto second = std::make_shared<ReservationOutcome>();
  for (const auto& [turn, outcome] : {std::pair{"first", first}, {"second", second}}) {
    boost::asio::co_spawn(io_, RunReserve(*instance, RequestFor(Tokens(turn, 600)), outcome),
                          boost::asio::detached);
  }
  // Both are in the store, and the settlements are looked for.
  while (asked_.empty()) RunFor(milliseconds{1});
  instance->budgets.Settle(Tokens("second", 600), 0);
  RunFor(milliseconds{50});
  EXPECT_EQ(first->result, ReservationResult::kBudgetExhausted);
  EXPECT_EQ(second->result, ReservationResult::kBudgetExhausted);
}

// Guards against two turns of which each is denied because of the other, and against granting both.
TEST_F(LostTurnsTest, LeaveRoomForOneOfTwoTurns) {
  WriteUnsettled("a", 900);
  const auto instance = StartWith(std::vector{Tokens("a", 100, true)});
  const auto first = std::make_shared<ReservationOutcome>();
  boost::asio::co_spawn(io_, RunReserve(*instance, RequestFor(Tokens("first", 600)), first),
                        boost::asio::detached);
  EXPECT_EQ(ReserveMore(*instance, "second", 600), ReservationResult::kBudgetExhausted);
  EXPECT_EQ(first->result, ReservationResult::kGranted);
}

}  // namespace
}  // namespace persimmonstair::gateway
