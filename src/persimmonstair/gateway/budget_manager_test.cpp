#include "budget_manager.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
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

  ReservationOutcome Reserve(Instance& instance, const ReservationRequest& request) {
    const auto outcome = std::make_shared<ReservationOutcome>();
    boost::asio::co_spawn(io_, RunReserve(instance, request, outcome), boost::asio::detached);
    RunFor(milliseconds{50});
    return *outcome;
  }
  ReservationOutcome Reserve(Instance& instance, const schema::TokenReservation& tokens) {
    ReservationRequest request;
    request.tokens = tokens;
    request.tokens.settled = false;
    request.budget = kBudget;
    return Reserve(instance, request);
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

 private:
  boost::asio::awaitable<void> WriteRecord(std::string key, std::string value) {
    const Partition partition{{"budgets-0"}, 0};
    const auto records = OneRecord(key, value);
    co_await records_.Append(partition, records, milliseconds{100}, std::nullopt);
  }

  static boost::asio::awaitable<void> RunReserve(Instance& instance, ReservationRequest request,
                                                 std::shared_ptr<ReservationOutcome> outcome) {
    *outcome = co_await instance.budgets.Reserve(request, Now() + milliseconds{1000});
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

}  // namespace
}  // namespace persimmonstair::gateway
