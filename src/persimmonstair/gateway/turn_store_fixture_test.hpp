#ifndef PERSIMMONSTAIR_SRC_GATEWAY_TURN_STORE_FIXTURE_TEST_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_TURN_STORE_FIXTURE_TEST_HPP_

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/schema/codec.hpp"
#include "store_access/busy_store_test.hpp"
#include "turn_store.hpp"

namespace persimmonstair::gateway {

inline constexpr std::int64_t kRetentionMs = 60'000;
inline constexpr std::int64_t kLongExpiredMs = 60'000;
inline constexpr std::size_t kCacheBytes = 1'000'000;
inline const base::WorkspaceId kWorkspace{"w"};

inline schema::KeptTurn MakeTurn(const std::string& id, std::vector<base::TurnId> ancestors = {}) {
  return {{id}, kWorkspace, std::move(ancestors), "in " + id, "out", UnixMillis() + kRetentionMs};
}

inline RecordSnapshot SnapshotOf(const std::vector<schema::KeptTurn>& turns) {
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
  bool FailedWith(base::ErrorCode code) const {
    return result && !result->has_value() && result->error().code == code;
  }
};
using SearchPtr = std::shared_ptr<Search>;
/// The result of saving a turn; empty until it is there.
using SavePtr = std::shared_ptr<std::optional<base::Result<void>>>;

inline bool Saved(const SavePtr& save) { return *save && save->value().has_value(); }

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
    RunFor(std::chrono::milliseconds{100});
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
    RunFor(std::chrono::milliseconds{1});
  }

  void WriteRecord(const KeyedRecord& record) {
    boost::asio::co_spawn(io_, AppendRecord(record), boost::asio::detached);
    RunFor(std::chrono::milliseconds{1});
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
    *result = co_await turns_->FindSettlements(std::move(unsettled),
                                               Now() + std::chrono::milliseconds{500});
  }

  boost::asio::awaitable<void> WriteTurn(schema::KeptTurn turn) {
    return AppendRecord({turn.turn.value, schema::EncodeState(turn)});
  }

  boost::asio::awaitable<void> AppendRecord(KeyedRecord record) {
    const Partition partition{{"turns-0"}, 0};
    const auto records = OneRecord(std::move(record.key), std::move(record.value));
    co_await records_->Append(partition, records, std::chrono::milliseconds{100}, std::nullopt);
  }
};

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
    MakeStores(std::chrono::milliseconds{1}, turns);
    const SearchPtr search = Start(turns.back().turn.value, std::chrono::milliseconds{2000});
    RunFor(std::chrono::milliseconds{50});
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

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_TURN_STORE_FIXTURE_TEST_HPP_
