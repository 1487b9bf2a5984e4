#include "turn_store.hpp"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "busy_store_test.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using std::chrono::milliseconds;

constexpr std::int64_t kRetentionMs = 60'000;
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

class TurnStoreTest : public testing::Test {
 protected:
  void MakeStores(base::Duration read_time, const std::vector<schema::KeptTurn>& turns,
                  std::size_t cache_bytes = kCacheBytes) {
    records_ = std::make_unique<BusyStore>(read_time, SnapshotOf(turns));
    store_ = std::make_unique<RetryingRecordStore>(*records_, metrics_);
    turns_ = std::make_unique<TurnStore>(io_.get_executor(), *store_, Partitioning{"turns", 1, 1},
                                         cache_bytes);
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

  /// Adds a turn to the store, as another instance does.
  void Write(const schema::KeptTurn& turn) {
    boost::asio::co_spawn(io_, WriteTurn(turn), boost::asio::detached);
    RunFor(milliseconds{1});
  }

  boost::asio::io_context io_{1};
  diagnostics::Metrics metrics_;
  std::unique_ptr<BusyStore> records_;
  std::unique_ptr<RetryingRecordStore> store_;
  std::unique_ptr<TurnStore> turns_;

 private:
  boost::asio::awaitable<void> Run(SearchPtr search, std::string turn, base::Duration time) {
    const base::TimePoint began = Now();
    const base::TurnId id{turn};
    search->result = co_await turns_->Find(kWorkspace, id, began + time);
    search->took = Now() - began;
  }

  boost::asio::awaitable<void> WriteTurn(schema::KeptTurn turn) {
    const Partition partition{{"turns-0"}, 0};
    const auto records = OneRecord(turn.turn.value, schema::EncodeState(turn));
    co_await records_->Append(partition, records, milliseconds{100}, std::nullopt);
  }
};

// Guards against callers that are told that a stored turn doesn't exist because other turns pushed
// it out of the cache right after it was read.
TEST_F(TurnStoreTest, StoredTurnThatWasEvictedAtOnceDoesNotCountAsMissing) {
  MakeStores(milliseconds{1}, {MakeTurn("first"), MakeTurn("second", {{"first"}})}, 1);
  const SearchPtr search = Start("second", milliseconds{500});
  RunFor(milliseconds{100});
  EXPECT_TRUE(search->FailedWith(ErrorCode::kLogUnavailable));
}

}  // namespace
}  // namespace persimmonstair::gateway
