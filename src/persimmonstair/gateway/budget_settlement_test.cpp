// Tests what settlements cost the store that instances write which don't coordinate the partition.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "budget_manager.hpp"
#include "persimmonstair/schema/codec.hpp"
#include "store_access/busy_store_test.hpp"

namespace persimmonstair::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kRetentionMs = 60'000;
/// Time after which settlements have been written.
constexpr milliseconds kSettledTime{1500};

schema::TokenReservation MakeReservation(const std::string& turn) {
  return {{"p"}, {"w"}, {turn}, 10, false, UnixMillis() + kRetentionMs};
}

/// The part of an instance that writes settlements.
struct Instance {
  Instance(boost::asio::io_context& io, RecordStore& records)
      : store(records, metrics),
        budgets(io.get_executor(), store, {"budgets", 1, 1}, milliseconds{1}, milliseconds{200}) {
    boost::asio::co_spawn(io, budgets.DropExpired(), boost::asio::detached);
  }

  diagnostics::Metrics metrics;
  store_access::RetryingRecordStore store;
  BudgetManager budgets;
};

// Guards against each instance of a fleet reading a whole partition of reservations to write a
// settlement that the partition's coordinator did not confirm, which kept the store busy after a
// restart (SHORT).
TEST(BudgetSettlementTest, SettlementsReadNoPartition) {
  constexpr std::size_t kInstances = 20;
  boost::asio::io_context io{1};
  store_access::BusyStore records(milliseconds{10}, {});
  std::vector<std::unique_ptr<Instance>> fleet;
  std::size_t written = 0;
  for (std::size_t n = 0; n < kInstances; ++n) {
    fleet.push_back(std::make_unique<Instance>(io, records));
    fleet.back()->budgets.Settle(MakeReservation("t" + std::to_string(n)), 7,
                                 [&written] { ++written; });
  }
  io.run_for(kSettledTime);
  EXPECT_EQ(written, kInstances);
  EXPECT_EQ(records.Appends(), kInstances);
  EXPECT_EQ(records.Reads(), 0U);
  EXPECT_EQ(records.Content().records.size(), kInstances);
}

// Guards against a program that can't go on after a kill of all instances because a turn was
// refused just before and all that it reserved still counts.
TEST(BudgetSettlementTest, RefusedTurnsAreSettledWithTheNextAppend) {
  boost::asio::io_context io{1};
  store_access::BusyStore records(milliseconds{10}, {});
  // Nothing runs that would write settlements later.
  diagnostics::Metrics metrics;
  store_access::RetryingRecordStore store(records, metrics);
  BudgetManager budgets(io.get_executor(), store, {"budgets", 1, 1}, milliseconds{1});
  budgets.Settle(MakeReservation("served"), 7);
  io.run_for(milliseconds{100});
  EXPECT_EQ(records.Appends(), 0U);
  io.restart();
  budgets.Settle(MakeReservation("refused"), 0);
  io.run_for(milliseconds{100});
  EXPECT_EQ(records.Content().records.size(), 2U);
}

}  // namespace
}  // namespace persimmonstair::gateway
