#ifndef PERSIMMONSTAIR_SRC_GATEWAY_TURN_STORE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_TURN_STORE_HPP_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/turns/turn_cache.hpp"
#include "store_access/partition_reads.hpp"
#include "store_access/partitions.hpp"
#include "store_access/retrying_record_store.hpp"
#include "turn_records.hpp"

namespace persimmonstair::gateway {

/// Delay between the expiry of a record and its deletion. An expired turn can't be continued, and
/// one that continued it before has ended by then, so no instance extends its lifetime any more.
inline constexpr std::int64_t kDropDelayMs = 30'000;
/// A turn may end this long after the expiry of turns before it, whose lifetime is then extended.
inline constexpr std::int64_t kLateExtensionMs = 15'000;
static_assert(kLateExtensionMs < kDropDelayMs);

/// @brief The turns that precede a new turn.
struct History {
  /// Inputs and outputs of all turns, oldest first.
  std::string text;
  /// Most recent first, as the new turn's record lists them.
  std::vector<base::TurnId> ancestors;
  /// Earliest expiry of these turns, in Unix milliseconds.
  std::int64_t expires_ms = 0;
};

/// @brief Saves the turns of programs in the record store and finds the chain of turns that a new
/// turn continues.
///
/// Turns that this instance wrote or read are cached. Others are read from the store when a new
/// turn continues them, so a program may move between instances. Requests that miss turns of the
/// same partition share its read, which goes on when they give up.
///
/// A turn of any length up to kMaxInputBytes is stored, in several records if one doesn't hold it
/// (turn_records.hpp).
class TurnStore {
 public:
  /// Longest input of a turn that is kept.
  static constexpr std::size_t kMaxInputBytes = std::size_t{32} << 20U;

  TurnStore(const boost::asio::any_io_executor& executor, store_access::RetryingRecordStore& store,
            store_access::Partitioning turns, std::size_t cache_bytes, StoreLimits limits = {});

  /// Sets the account in which records count while they are read.
  void SetMemory(const RequestMemory& memory);

  /// Returns the chain that ends with `previous`. Fails with kNotFound only if no instance has
  /// acknowledged such a turn of this workspace, and with kLogUnavailable if the store could not be
  /// read.
  boost::asio::awaitable<base::Result<History>> Find(base::WorkspaceId workspace,
                                                     base::TurnId previous,
                                                     base::TimePoint deadline);

  /// Returns once the turn is durable, so that later turns may continue it. Extends the lifetime of
  /// all turns before it to at least `retention_ms` from the deadline, by which its response ends.
  /// `history_expires_ms` is their earliest expiry as far as known (History::expires_ms).
  /// `settlement` is the settled reservation of the turn's tokens, if it has one. It becomes
  /// durable together with the turn, so that FindSettlements() finds it before its budget's
  /// partition holds it.
  boost::asio::awaitable<base::Result<void>> Save(
      schema::KeptTurn record, base::TimePoint deadline, std::int64_t retention_ms,
      std::int64_t history_expires_ms = 0,
      std::optional<schema::TokenReservation> settlement = std::nullopt);

  /// Returns the settlements of those of the reservations whose turns were saved. Fails with
  /// kLogUnavailable if the store could not be read.
  boost::asio::awaitable<base::Result<std::vector<schema::TokenReservation>>> FindSettlements(
      std::vector<schema::TokenReservation> unsettled, base::TimePoint deadline);

  /// Deletes expired turns from the partitions that this instance wrote to; never returns.
  boost::asio::awaitable<void> DropExpired();

  std::size_t CachedBytes() const { return cache_.Bytes(); }

 private:
  /// Reads turns from their partitions into the cache. Returns those that the store doesn't hold or
  /// that have expired; fails with kLogUnavailable if the store did not answer.
  boost::asio::awaitable<base::Result<store_access::PartitionReads::KeySet>> Fetch(
      base::WorkspaceId workspace, std::vector<base::TurnId> turns, base::TimePoint deadline);
  /// Caches those of the `wanted` turns that a snapshot holds, and returns them.
  store_access::PartitionReads::KeySet CacheTurns(
      const Partition& partition, const RecordSnapshot& snapshot,
      const store_access::PartitionReads::KeySet& wanted);

  boost::asio::any_io_executor executor_;
  store_access::RetryingRecordStore& store_;
  store_access::Partitioning partitions_;
  StoreLimits limits_;
  turns::TurnCache cache_;
  Slots reading_;
  Slots long_writes_;
  store_access::PartitionReads reads_;
  store_access::PartitionReads settlement_reads_;
  /// Settlements that were looked for and found, by key, until they expire.
  std::map<std::string, schema::TokenReservation> settlements_;
  boost::asio::awaitable<void> DropExpiredFrom(Partition partition);
  /// Looks for a chain in the cache, with or without its history.
  using FindInCache = turns::Chain (turns::TurnCache::*)(const base::WorkspaceId& workspace,
                                                         const base::TurnId& last,
                                                         std::int64_t now_ms);
  /// Returns the whole chain that ends with `previous`, with all its turns cached. Turns that
  /// expired before `now_ms` (Unix milliseconds) count as missing.
  boost::asio::awaitable<base::Result<turns::Chain>> LoadChain(FindInCache find,
                                                               base::WorkspaceId workspace,
                                                               base::TurnId previous,
                                                               std::int64_t now_ms,
                                                               base::TimePoint deadline);
  /// Has the chain that ends with `previous` last until `needed_ms` (Unix milliseconds) at least.
  /// What must be extended gets `retention_ms` more.
  boost::asio::awaitable<base::Result<void>> ExtendChain(base::WorkspaceId workspace,
                                                         base::TurnId previous,
                                                         std::int64_t needed_ms,
                                                         std::int64_t retention_ms,
                                                         base::TimePoint deadline);
  /// Writes the record with the settlement of its turn, if there is one, and caches the turn once
  /// both are durable.
  boost::asio::awaitable<base::Result<void>> Write(
      schema::KeptTurn record, base::TimePoint deadline,
      std::optional<schema::TokenReservation> settlement = std::nullopt);
  /// Writes a turn that doesn't fit into one record, and the records that belong to it, with its
  /// last part or after it.
  boost::asio::awaitable<base::Result<void>> WriteLong(const schema::KeptTurn& turn,
                                                       base::TimePoint deadline,
                                                       std::vector<KeyedRecord> last);
  /// Writes a record that extends a turn to `until_ms`, and extends the cached turn.
  boost::asio::awaitable<base::Result<void>> WriteExtension(base::WorkspaceId workspace,
                                                            base::TurnId turn,
                                                            std::int64_t until_ms,
                                                            KeyedRecord record,
                                                            base::TimePoint deadline);
  boost::asio::awaitable<base::Result<void>> Append(Partition partition,
                                                    std::vector<KeyedRecord> records,
                                                    base::TimePoint deadline);
  /// Returns the record that makes a stored turn last until `until_ms`.
  KeyedRecord ExtensionOf(const schema::KeptTurn& turn, std::int64_t until_ms) const;
  /// Tells whether a record is needed for the `wanted` turns. Notes partitions with expired ones.
  bool NeedsRecord(const Partition& partition, const KeyedRecord& record,
                   const store_access::PartitionReads::KeySet& wanted);
  /// Takes those of the `wanted` settlements over that a snapshot holds, and returns their keys.
  store_access::PartitionReads::KeySet TakeSettlements(
      const RecordSnapshot& snapshot, const store_access::PartitionReads::KeySet& wanted);

  /// Times in Unix milliseconds at which partitions may have expired records, earliest first.
  std::deque<std::pair<std::int64_t, Partition>> drop_schedule_;
  /// Partitions in which expired records were read.
  std::set<Partition> with_expired_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_TURN_STORE_HPP_
