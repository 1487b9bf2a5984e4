#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/schema/codec.hpp"
#include "turn_store.hpp"

namespace persimmonstair::gateway {
namespace {

using boost::asio::awaitable;

/// Interval between two deletions of expired turns.
constexpr std::chrono::seconds kDropInterval{5};
/// Timeout of the read before a deletion. A busy store answers late.
constexpr std::chrono::seconds kDropReadTimeout{10};
constexpr std::chrono::seconds kDropTimeout{1};
/// Keeps the appends that delete records short.
constexpr std::size_t kMaxDropsPerAppend = 2000;

/// Expired records of a partition, collected while it is read.
struct ExpiredRecords {
  std::set<std::string> keys;
  /// Prefixes of the parts of turns that haven't expired.
  std::set<std::string> live_parts;

  void Add(const KeyedRecord& stored) {
    if (!stored.value) return;
    const auto record = schema::DecodeState(*stored.value);
    const auto expires_ms = record ? ExpiryOf(*record) : std::nullopt;
    if (!expires_ms) return;
    if (*expires_ms + kDropDelayMs < UnixMillis()) {
      keys.insert(stored.key);
    } else if (std::holds_alternative<schema::LongTurn>(*record)) {
      live_parts.insert(PartPrefix(stored.key));
    }
  }

  /// Returns the keys of the records to delete.
  std::vector<std::string> Droppable() const {
    std::vector<std::string> droppable;
    for (const auto& key : keys) {
      // The turn of a part may have been extended.
      if (IsPartKey(key) && live_parts.contains(PrefixOfPart(key))) continue;
      droppable.push_back(key);
    }
    return droppable;
  }
};

}  // namespace

awaitable<void> TurnStore::DropExpired() {
  for (;;) {
    co_await Sleep(kDropInterval);
    const std::int64_t now_ms = UnixMillis();
    cache_.Expire(now_ms - kLateExtensionMs);
    std::erase_if(settlements_,
                  [now_ms](const auto& one) { return one.second.expires_ms < now_ms; });
    std::set<Partition> due = std::exchange(with_expired_, {});
    while (!drop_schedule_.empty() && drop_schedule_.front().first < now_ms) {
      due.insert(drop_schedule_.front().second);
      drop_schedule_.pop_front();
    }
    for (const Partition& partition : due) {
      co_await DropExpiredFrom(partition);
    }
  }
}

// Another instance may have extended a turn, so the expiry times are read from the store again.
awaitable<void> TurnStore::DropExpiredFrom(Partition partition) {
  const auto expired = std::make_shared<ExpiredRecords>();
  // Only keys are held, not the records.
  RecordFilter filter = [expired](const KeyedRecord& record) {
    expired->Add(record);
    return false;
  };
  const auto read =
      co_await store_.ReadNewestOf(partition, Now() + kDropReadTimeout, std::move(filter));
  if (!read) co_return;
  std::vector<KeyedRecord> drops;
  for (auto& key : expired->Droppable()) {
    if (drops.size() == kMaxDropsPerAppend) break;
    drops.push_back({std::move(key), std::nullopt});
  }
  if (drops.empty()) co_return;
  if (drops.size() == kMaxDropsPerAppend) with_expired_.insert(partition);
  const auto result = co_await store_.Append(partition, std::move(drops), Now() + kDropTimeout);
  // Expired records that remain are deleted by the next instance that reads the partition.
  if (!result) {
    diagnostics::Log(diagnostics::Level::kInfo, "expired_turns_left",
                     {{"error", result.error().message}});
  }
}

}  // namespace persimmonstair::gateway
