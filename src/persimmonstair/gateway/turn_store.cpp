#include "turn_store.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/schema/codec.hpp"
#include "store_access/record_key.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Result;
using boost::asio::awaitable;
using KeySet = store_access::PartitionReads::KeySet;

/// Interval between two deletions of expired turns.
constexpr std::chrono::seconds kDropInterval{5};
/// Delay between the expiry of a record and its deletion. An expired turn can't be continued, and
/// one that continued it before has ended by then, so no instance extends its lifetime any more.
constexpr std::int64_t kDropDelayMs = 30'000;
/// A turn may end this long after the expiry of turns before it, whose lifetime is then extended.
constexpr std::int64_t kLateExtensionMs = 15'000;
static_assert(kLateExtensionMs < kDropDelayMs);
/// Difference of the clocks of two machines after which a turn is still found for its retention.
constexpr std::int64_t kClockMarginMs = 5'000;
/// Timeout of the read before a deletion. A busy store answers late.
constexpr std::chrono::seconds kDropReadTimeout{10};
constexpr std::chrono::seconds kDropTimeout{1};
/// Maximum number of read rounds for one chain. Each round reads the ancestors that the previous
/// round found.
constexpr int kMaxFetchRounds = 20;
/// Bits of the workspace's hash in a key, so that key and longest request id fit into 255 bytes.
constexpr std::uint64_t kWorkspaceHashMask = (std::uint64_t{1} << 56U) - 1;

// Returns the key of a turn's record: its id, which the caller chose, and a hash of its workspace,
// so that a workspace can't overwrite the turns of another one. Builds before used the id alone;
// all builds go by the record and not by its key.
std::string KeyOf(const base::WorkspaceId& workspace, const base::TurnId& turn) {
  const std::uint64_t hash = XXH64(workspace.value.data(), workspace.value.size(), 0);
  return fmt::format("{}#{:014x}", turn.value, hash & kWorkspaceHashMask);
}

std::string KeyOf(const schema::KeptTurn& record) { return KeyOf(record.workspace, record.turn); }

// Returns the key of a settlement that is stored with its turn.
std::string SettlementKeyOf(const schema::TokenReservation& reservation) {
  const std::string name = store_access::JoinParts(
      {reservation.workspace.value, reservation.program.value, reservation.turn.value});
  const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
  return fmt::format("settled/{:016x}{:016x}", hash.high64, hash.low64);
}

// Returns the turns that the reservation may belong to. The name of a reservation that was made
// anew is that of its turn with a number.
std::vector<std::string> TurnsOf(const schema::TokenReservation& reservation) {
  const std::string& name = reservation.turn.value;
  std::vector<std::string> turns{name};
  const auto at = name.rfind('#');
  if (at != std::string::npos) turns.push_back(name.substr(0, at));
  return turns;
}

// Returns the turn in a record; nothing if there is none. Logs records that can't be read.
std::optional<schema::KeptTurn> DecodeKeptTurn(const Partition& partition,
                                               const StoredRecord& stored) {
  if (!stored.record.value) return std::nullopt;
  auto record = schema::DecodeState(*stored.record.value);
  auto* kept = record ? std::get_if<schema::KeptTurn>(&*record) : nullptr;
  if (kept != nullptr) return std::move(*kept);
  if (record && std::holds_alternative<schema::TokenReservation>(*record)) return std::nullopt;
  diagnostics::Log(diagnostics::Level::kWarning, "record_skipped",
                   {{"stream", partition.stream.value}, {"key", stored.record.key}});
  return std::nullopt;
}

// Returns the expiry of a turn or a settlement, in Unix milliseconds; nothing for other records.
std::optional<std::int64_t> ExpiryOf(const StoredRecord& stored) {
  if (!stored.record.value) return std::nullopt;
  const auto record = schema::DecodeState(*stored.record.value);
  if (!record) return std::nullopt;
  if (const auto* kept = std::get_if<schema::KeptTurn>(&*record)) return kept->expires_ms;
  const auto* settlement = std::get_if<schema::TokenReservation>(&*record);
  return settlement == nullptr ? std::nullopt : std::optional(settlement->expires_ms);
}

/// Waits for a number of tasks that run at the same time.
struct Join {
  Join(const boost::asio::any_io_executor& executor, std::size_t tasks)
      : left(tasks), done(executor) {}

  void End(bool succeeded) {
    all_succeeded = all_succeeded && succeeded;
    if (--left == 0) done.Set();
  }

  std::size_t left;
  bool all_succeeded = true;
  OneShotEvent done;
};

}  // namespace

TurnStore::TurnStore(const boost::asio::any_io_executor& executor,
                     store_access::RetryingRecordStore& store, store_access::Partitioning turns,
                     std::size_t cache_bytes)
    : executor_(executor),
      store_(store),
      partitions_(std::move(turns)),
      cache_(cache_bytes),
      reads_(executor, store,
             [this](const Partition& partition, const RecordSnapshot& snapshot,
                    const KeySet& wanted) { return CacheTurns(partition, snapshot, wanted); }),
      settlement_reads_(
          executor, store,
          [this](const Partition& /*partition*/, const RecordSnapshot& snapshot,
                 const KeySet& wanted) { return TakeSettlements(snapshot, wanted); }) {}

awaitable<Result<History>> TurnStore::Find(base::WorkspaceId workspace, base::TurnId previous,
                                           base::TimePoint deadline) {
  auto chain = co_await LoadChain(workspace, previous, UnixMillis(), deadline);
  if (!chain) co_return tl::make_unexpected(chain.error());
  chain->ancestors.resize(std::min(chain->ancestors.size(), turns::kMaxListedAncestors));
  co_return History{std::move(chain->history), std::move(chain->ancestors), chain->expires_ms};
}

awaitable<Result<turns::Chain>> TurnStore::LoadChain(base::WorkspaceId workspace,
                                                     base::TurnId previous, std::int64_t now_ms,
                                                     base::TimePoint deadline) {
  std::set<base::TurnId> asked;
  for (int round = 0; round < kMaxFetchRounds; ++round) {
    turns::Chain chain = cache_.Find(workspace, previous, now_ms);
    if (chain.missing.empty()) co_return chain;
    for (const auto& turn : chain.missing) {
      if (asked.insert(turn).second) continue;
      co_return Fail(ErrorCode::kLogUnavailable,
                     "stored turn " + turn.value + " left the cache before it was used");
    }
    const auto absent = co_await Fetch(workspace, std::move(chain.missing), deadline);
    if (!absent) co_return tl::make_unexpected(absent.error());
    if (!absent->empty()) {
      co_return Fail(ErrorCode::kNotFound, "no stored turn " + *absent->begin());
    }
  }
  co_return Fail(ErrorCode::kInternal, "the chain of previous turns is too long");
}

awaitable<Result<KeySet>> TurnStore::Fetch(base::WorkspaceId workspace,
                                           std::vector<base::TurnId> turns,
                                           base::TimePoint deadline) {
  std::map<Partition, KeySet> grouped;
  for (const auto& turn : turns) {
    grouped[partitions_.PartitionOf(turn.value)].insert(KeyOf(workspace, turn));
  }
  const auto join = std::make_shared<Join>(executor_, grouped.size());
  const auto all_absent = std::make_shared<KeySet>();
  for (auto& [partition, wanted] : grouped) {
    boost::asio::co_spawn(
        executor_, reads_.Read(partition, std::move(wanted), deadline),
        [join, all_absent](const std::exception_ptr& error, Result<KeySet> absent) {
          if (!error && absent) all_absent->merge(*absent);
          join->End(!error && absent);
        });
  }
  co_await join->done.Wait();
  if (join->all_succeeded) co_return std::move(*all_absent);
  co_return Fail(ErrorCode::kLogUnavailable,
                 "stored turns can't be read: the record store is unavailable");
}

KeySet TurnStore::CacheTurns(const Partition& partition, const RecordSnapshot& snapshot,
                             const KeySet& wanted) {
  const std::int64_t now_ms = UnixMillis();
  KeySet found;
  bool expired = false;
  for (const auto& stored : snapshot.records) {
    auto kept = DecodeKeptTurn(partition, stored);
    if (!kept) continue;
    if (kept->expires_ms + kDropDelayMs < now_ms) expired = true;
    const std::string key = KeyOf(*kept);
    if (kept->expires_ms < now_ms || !wanted.contains(key)) continue;
    found.insert(key);
    cache_.Put(std::move(*kept));
  }
  if (expired) drop_schedule_.emplace_front(0, partition);
  return found;
}

awaitable<Result<void>> TurnStore::Save(schema::KeptTurn record, base::TimePoint deadline,
                                        std::int64_t retention_ms, std::int64_t history_expires_ms,
                                        std::optional<schema::TokenReservation> settlement) {
  const std::int64_t ends_ms = UnixMillis() + base::ToMillis(deadline - Now());
  const std::int64_t needed_ms = ends_ms + retention_ms + kClockMarginMs;
  if (!record.ancestors.empty() && history_expires_ms < needed_ms) {
    const auto extended = co_await ExtendChain(record.workspace, record.ancestors.front(),
                                               needed_ms, retention_ms, deadline);
    if (!extended) co_return extended;
  }
  co_return co_await Write(std::move(record), deadline, std::move(settlement));
}

awaitable<Result<void>> TurnStore::Write(schema::KeptTurn record, base::TimePoint deadline,
                                         std::optional<schema::TokenReservation> settlement) {
  const Partition partition = partitions_.PartitionOf(record.turn.value);
  std::vector<KeyedRecord> records = OneRecord(KeyOf(record), schema::EncodeState(record));
  if (settlement) {
    // Dropped in the same pass as the turn.
    settlement->expires_ms = record.expires_ms;
    records.push_back({SettlementKeyOf(*settlement), schema::EncodeState(*settlement)});
  }
  const auto result = co_await store_.Append(partition, std::move(records), deadline);
  if (!result) co_return tl::make_unexpected(result.error());
  drop_schedule_.emplace_back(record.expires_ms + kDropDelayMs, partition);
  cache_.Put(std::move(record));
  co_return Result<void>{};
}

awaitable<Result<void>> TurnStore::ExtendChain(base::WorkspaceId workspace, base::TurnId previous,
                                               std::int64_t needed_ms, std::int64_t retention_ms,
                                               base::TimePoint deadline) {
  // The chain was complete when the turn began, and may have expired since.
  const std::int64_t valid_ms = UnixMillis() - kLateExtensionMs;
  const auto chain = co_await LoadChain(workspace, previous, valid_ms, deadline);
  if (!chain) co_return tl::make_unexpected(chain.error());
  auto copies =
      cache_.ExtendedCopies(workspace, chain->ancestors, needed_ms, needed_ms + retention_ms);
  if (copies.empty()) co_return Result<void>{};
  const auto join = std::make_shared<Join>(executor_, copies.size());
  for (auto& copy : copies) {
    boost::asio::co_spawn(executor_, Write(std::move(copy), deadline),
                          [join](const std::exception_ptr& error, const Result<void>& written) {
                            join->End(!error && written);
                          });
  }
  co_await join->done.Wait();
  if (join->all_succeeded) co_return Result<void>{};
  co_return Fail(ErrorCode::kLogUnavailable,
                 "the turns before this one can't be kept longer: the record store is unavailable");
}

awaitable<Result<std::vector<schema::TokenReservation>>> TurnStore::FindSettlements(
    std::vector<schema::TokenReservation> unsettled, base::TimePoint deadline) {
  std::map<Partition, KeySet> wanted;
  for (const auto& reservation : unsettled) {
    for (const auto& turn : TurnsOf(reservation)) {
      wanted[partitions_.PartitionOf(turn)].insert(SettlementKeyOf(reservation));
    }
  }
  // One after the other, so that a program with many turns doesn't hold many partitions at once.
  for (auto& [partition, keys] : wanted) {
    const auto absent = co_await settlement_reads_.Read(partition, std::move(keys), deadline);
    if (!absent) co_return tl::make_unexpected(absent.error());
  }
  std::vector<schema::TokenReservation> found;
  for (const auto& reservation : unsettled) {
    const auto it = settlements_.find(SettlementKeyOf(reservation));
    if (it != settlements_.end()) found.push_back(it->second);
  }
  co_return found;
}

KeySet TurnStore::TakeSettlements(const RecordSnapshot& snapshot, const KeySet& wanted) {
  KeySet found;
  for (const auto& stored : snapshot.records) {
    if (!stored.record.value || !wanted.contains(stored.record.key)) continue;
    auto record = schema::DecodeState(*stored.record.value);
    auto* settlement = record ? std::get_if<schema::TokenReservation>(&*record) : nullptr;
    if (settlement == nullptr || !settlement->settled) continue;
    found.insert(stored.record.key);
    settlements_[stored.record.key] = std::move(*settlement);
  }
  return found;
}

awaitable<void> TurnStore::DropExpired() {
  for (;;) {
    co_await Sleep(kDropInterval);
    const std::int64_t now_ms = UnixMillis();
    cache_.Expire(now_ms - kLateExtensionMs);
    std::erase_if(settlements_,
                  [now_ms](const auto& one) { return one.second.expires_ms < now_ms; });
    std::set<Partition> due;
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
  const auto snapshot = co_await store_.ReadNewest(partition, Now() + kDropReadTimeout);
  if (!snapshot) co_return;
  std::vector<KeyedRecord> drops;
  for (const auto& stored : snapshot->records) {
    const auto expires_ms = ExpiryOf(stored);
    if (!expires_ms || *expires_ms + kDropDelayMs >= UnixMillis()) continue;
    drops.push_back({stored.record.key, std::nullopt});
  }
  if (drops.empty()) co_return;
  const auto result = co_await store_.Append(partition, std::move(drops), Now() + kDropTimeout);
  // Expired records that remain are deleted by the next instance that reads the partition.
  if (!result) {
    diagnostics::Log(diagnostics::Level::kInfo, "expired_turns_left",
                     {{"error", result.error().message}});
  }
}

}  // namespace persimmonstair::gateway
