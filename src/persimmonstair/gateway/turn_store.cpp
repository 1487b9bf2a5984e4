#include "turn_store.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>

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

/// Difference of the clocks of two machines after which a turn is still found for its retention.
constexpr std::int64_t kClockMarginMs = 5'000;
/// Maximum number of read rounds for one chain. Each round reads the ancestors that the previous
/// round found.
constexpr int kMaxFetchRounds = 20;
/// Partitions that are read at the same time. A page of the store's answer holds up to 1.4 MB.
constexpr std::size_t kMaxReads = 8;
/// Long turns that are written at the same time, each with one append of kMaxAppendBytes.
constexpr std::size_t kMaxLongWrites = 4;
/// Largest append of parts. A larger one holds up the other appends to the partition.
constexpr std::size_t kMaxAppendBytes = 1'000'000;
/// Largest size of the records that are written with the last part of a turn.
constexpr std::size_t kMaxLastBytes = 65'536;

// Returns how many parts of a turn are written together.
std::size_t PartsPerAppend(const StoreLimits& limits) {
  const std::size_t bytes = std::min(kMaxAppendBytes, limits.call_bytes) - kMaxLastBytes;
  return std::max<std::size_t>(1, bytes / limits.record_bytes);
}

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
                     std::size_t cache_bytes, StoreLimits limits)
    : executor_(executor),
      store_(store),
      partitions_(std::move(turns)),
      limits_(limits),
      cache_(cache_bytes),
      reading_(executor, kMaxReads),
      long_writes_(executor, kMaxLongWrites),
      reads_(
          executor, store, reading_,
          [this](const Partition& partition, const KeyedRecord& record, const KeySet& wanted) {
            return NeedsRecord(partition, record, wanted);
          },
          [this](const Partition& partition, const RecordSnapshot& snapshot, const KeySet& wanted) {
            return CacheTurns(partition, snapshot, wanted);
          }),
      settlement_reads_(
          executor, store, reading_,
          [](const Partition& /*partition*/, const KeyedRecord& record, const KeySet& wanted) {
            return wanted.contains(record.key);
          },
          [this](const Partition& /*partition*/, const RecordSnapshot& snapshot,
                 const KeySet& wanted) { return TakeSettlements(snapshot, wanted); }) {}

void TurnStore::SetMemory(const RequestMemory& memory) {
  reads_.SetMemory(memory);
  settlement_reads_.SetMemory(memory);
}

awaitable<Result<History>> TurnStore::Find(base::WorkspaceId workspace, base::TurnId previous,
                                           base::TimePoint deadline) {
  auto chain =
      co_await LoadChain(&turns::TurnCache::Find, workspace, previous, UnixMillis(), deadline);
  if (!chain) co_return tl::make_unexpected(chain.error());
  chain->ancestors.resize(std::min(chain->ancestors.size(), turns::kMaxListedAncestors));
  co_return History{std::move(chain->history), std::move(chain->ancestors), chain->expires_ms};
}

awaitable<Result<turns::Chain>> TurnStore::LoadChain(FindInCache find, base::WorkspaceId workspace,
                                                     base::TurnId previous, std::int64_t now_ms,
                                                     base::TimePoint deadline) {
  std::set<base::TurnId> asked;
  for (int round = 0; round < kMaxFetchRounds; ++round) {
    turns::Chain chain = (cache_.*find)(workspace, previous, now_ms);
    if (chain.missing.empty()) co_return chain;
    for (const auto& turn : chain.missing) {
      if (asked.insert(turn).second) continue;
      co_return Fail(ErrorCode::kLogUnavailable, "stored turn " + turn.value +
                                                     " is incomplete or left the cache before it "
                                                     "was used");
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
    grouped[partitions_.PartitionOf(turn.value)].insert(TurnKey(workspace, turn));
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

bool TurnStore::NeedsRecord(const Partition& partition, const KeyedRecord& record,
                            const KeySet& wanted) {
  if (BelongsTo(record, wanted)) return true;
  // The expiry of a part says little, as its turn may have been extended.
  if (!record.value || IsPartKey(record.key)) return false;
  const auto decoded = schema::DecodeState(*record.value);
  const auto expires_ms = decoded ? ExpiryOf(*decoded) : std::nullopt;
  if (!expires_ms) {
    diagnostics::Log(diagnostics::Level::kWarning, "record_skipped",
                     {{"stream", partition.stream.value}, {"key", record.key}});
  } else if (*expires_ms + kDropDelayMs < UnixMillis()) {
    with_expired_.insert(partition);
  }
  return false;
}

KeySet TurnStore::CacheTurns(const Partition& partition, const RecordSnapshot& snapshot,
                             const KeySet& wanted) {
  const std::int64_t now_ms = UnixMillis();
  KeySet found;
  std::vector<schema::LongTurn> long_turns;
  TurnParts parts;
  const auto is_found = [&](const auto& turn) {
    const std::string key = TurnKey(turn.workspace, turn.turn);
    if (turn.expires_ms + kDropDelayMs < now_ms) with_expired_.insert(partition);
    if (turn.expires_ms < now_ms || !wanted.contains(key)) return false;
    found.insert(key);
    return true;
  };
  for (const auto& stored : snapshot.records) {
    if (!stored.record.value) continue;
    auto record = schema::DecodeState(*stored.record.value);
    if (auto* kept = record ? std::get_if<schema::KeptTurn>(&*record) : nullptr) {
      if (is_found(*kept)) cache_.Put(std::move(*kept));
    } else if (auto* turn = record ? std::get_if<schema::LongTurn>(&*record) : nullptr) {
      if (is_found(*turn)) long_turns.push_back(std::move(*turn));
    } else if (auto* part = record ? std::get_if<schema::TurnPart>(&*record) : nullptr) {
      parts[stored.record.key] = std::move(*part);
    } else {
      diagnostics::Log(diagnostics::Level::kWarning, "record_skipped",
                       {{"stream", partition.stream.value}, {"key", stored.record.key}});
    }
  }
  for (const auto& turn : long_turns) {
    auto joined = JoinTurn(turn, parts);
    if (joined) {
      cache_.Put(std::move(*joined));
      continue;
    }
    // A part may have been written since its page was read. The turn is there in any case, so it
    // isn't reported as missing.
    diagnostics::Log(diagnostics::Level::kWarning, "turn_incomplete",
                     {{"turn", turn.turn.value},
                      {"stream", partition.stream.value},
                      {"parts", CountParts(turn)},
                      {"bytes", turn.input_bytes + turn.output_bytes}});
  }
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

awaitable<Result<void>> TurnStore::Append(Partition partition, std::vector<KeyedRecord> records,
                                          base::TimePoint deadline) {
  const auto offset = co_await store_.Append(partition, std::move(records), deadline);
  if (!offset) co_return tl::make_unexpected(offset.error());
  co_return Result<void>{};
}

awaitable<Result<void>> TurnStore::Write(schema::KeptTurn record, base::TimePoint deadline,
                                         std::optional<schema::TokenReservation> settlement) {
  const Partition partition = partitions_.PartitionOf(record.turn.value);
  std::vector<KeyedRecord> records;
  if (settlement) {
    // Dropped in the same pass as the turn.
    settlement->expires_ms = record.expires_ms;
    records.push_back({SettlementKeyOf(*settlement), schema::EncodeState(*settlement)});
  }
  auto whole = EncodeWhole(record, limits_.record_bytes);
  Result<void> result;
  if (whole) {
    records.push_back(std::move(*whole));
    result = co_await Append(partition, std::move(records), deadline);
  } else {
    result = co_await WriteLong(record, deadline, std::move(records));
  }
  // Parts may be left of a long turn that was not written whole.
  drop_schedule_.emplace_back(record.expires_ms + kDropDelayMs, partition);
  if (result) cache_.Put(std::move(record));
  co_return result;
}

awaitable<Result<void>> TurnStore::WriteLong(const schema::KeptTurn& turn, base::TimePoint deadline,
                                             std::vector<KeyedRecord> last) {
  const base::TimePoint begun_at = Now();
  const Slots::Slot slot = co_await long_writes_.Acquire();
  const Partition partition = partitions_.PartitionOf(turn.turn.value);
  const schema::LongTurn divided = DivideTurn(turn, limits_.record_bytes);
  last.push_back(EncodeLongTurn(divided));
  const std::size_t count = CountParts(divided);
  const std::size_t per_append = PartsPerAppend(limits_);
  Result<void> written;
  for (std::size_t first = 0; written && first < count; first += per_append) {
    std::vector<KeyedRecord> records;
    for (std::size_t n = first; n < std::min(first + per_append, count); ++n) {
      records.push_back(EncodePart(turn, divided, n));
    }
    const bool ends = first + per_append >= count;
    if (ends) std::move(last.begin(), last.end(), std::back_inserter(records));
    written = co_await Append(partition, std::move(records), deadline);
  }
  diagnostics::Log(diagnostics::Level::kInfo, "long_turn_written",
                   {{"turn", turn.turn.value},
                    {"bytes", divided.input_bytes + divided.output_bytes},
                    {"parts", count},
                    {"appends", (count + per_append - 1) / per_append},
                    {"written", written.has_value()},
                    {"ms", base::ToMillis(Now() - begun_at)}});
  co_return written;
}

KeyedRecord TurnStore::ExtensionOf(const schema::KeptTurn& turn, std::int64_t until_ms) const {
  schema::KeptTurn extended{turn.turn, turn.workspace, turn.ancestors, {}, {}, until_ms};
  if (turn.input.size() + turn.output.size() < limits_.record_bytes) {
    extended.input = turn.input;
    extended.output = turn.output;
    auto whole = EncodeWhole(extended, limits_.record_bytes);
    if (whole) return std::move(*whole);
  }
  schema::LongTurn divided = DivideTurn(turn, limits_.record_bytes);
  divided.expires_ms = until_ms;
  return EncodeLongTurn(divided);
}

awaitable<Result<void>> TurnStore::WriteExtension(base::WorkspaceId workspace, base::TurnId turn,
                                                  std::int64_t until_ms, KeyedRecord record,
                                                  base::TimePoint deadline) {
  const Partition partition = partitions_.PartitionOf(turn.value);
  std::vector<KeyedRecord> records;
  records.push_back(std::move(record));
  const auto written = co_await Append(partition, std::move(records), deadline);
  if (!written) co_return written;
  drop_schedule_.emplace_back(until_ms + kDropDelayMs, partition);
  cache_.Extend(workspace, turn, until_ms);
  co_return written;
}

awaitable<Result<void>> TurnStore::ExtendChain(base::WorkspaceId workspace, base::TurnId previous,
                                               std::int64_t needed_ms, std::int64_t retention_ms,
                                               base::TimePoint deadline) {
  // The chain was complete when the turn began, and may have expired since.
  const std::int64_t valid_ms = UnixMillis() - kLateExtensionMs;
  const auto chain =
      co_await LoadChain(&turns::TurnCache::FindAncestors, workspace, previous, valid_ms, deadline);
  if (!chain) co_return tl::make_unexpected(chain.error());
  const std::int64_t until_ms = needed_ms + retention_ms;
  const auto expiring = cache_.ExpiringBefore(workspace, chain->ancestors, needed_ms);
  if (expiring.empty()) co_return Result<void>{};
  const auto join = std::make_shared<Join>(executor_, expiring.size());
  // Extending turns doesn't move them in the cache.
  for (const auto* turn : expiring) {
    boost::asio::co_spawn(
        executor_,
        WriteExtension(workspace, turn->turn, until_ms, ExtensionOf(*turn, until_ms), deadline),
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

}  // namespace persimmonstair::gateway
