#include "budget_manager.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
#include <string>
#include <utility>

#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using boost::asio::awaitable;
using std::chrono::milliseconds;

/// Longest time for which a settled reservation waits to be written with the next reservation of
/// the same partition, which saves a store call.
constexpr milliseconds kSettleDelay{500};
constexpr milliseconds kSettlePollInterval{100};
/// Timeout of an append that holds no new reservations.
constexpr milliseconds kSettleTimeout{1000};
/// Timeout of the first read of a partition. Longer than a reservation waits, so that the read
/// isn't begun anew for the next one.
constexpr milliseconds kLoadTimeout{10'000};
/// Interval at which expired records are deleted from the store, in batches.
constexpr std::chrono::seconds kDropInterval{5};
constexpr std::size_t kMaxDropsPerPass = 1000;

KeyedRecord Encode(const schema::TokenReservation& reservation) {
  return {reservation.turn.value, schema::EncodeState(reservation)};
}

// Key of a stream's record. It depends on the workspace and the program too, so that an id that
// another workspace uses as well doesn't replace the record, and on the version, so that the
// records of an id that began streams at two versions both remain.
std::string KeyOf(const schema::StreamBegin& begin) {
  std::string name;
  for (const auto& part :
       {begin.workspace.value, begin.program.value, begin.attempt.value, begin.version.value}) {
    name += std::to_string(part.size()) + ":" + part;
  }
  const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
  return "began/" + std::to_string(hash.high64) + std::to_string(hash.low64);
}

KeyedRecord Encode(const schema::StreamBegin& begin) {
  return {KeyOf(begin), schema::EncodeState(begin)};
}

schema::TokenReservation Settled(schema::TokenReservation reservation, std::uint64_t tokens) {
  reservation.tokens = tokens;
  reservation.settled = true;
  return reservation;
}

}  // namespace

awaitable<ReservationOutcome> BudgetManager::Reserve(const ReservationRequest& request,
                                                     base::TimePoint deadline) {
  const Partition partition = partitions_.PartitionOf(request.tokens.program.value);
  State& state = states_[partition];
  const auto queued = std::make_shared<QueuedReservation>(executor_);
  queued->outcome.reservation = request.tokens;
  queued->request = request;
  queued->deadline = deadline;
  state.queued.push_back(queued);
  Start(partition, state);
  co_await queued->done.WaitUntil(deadline);
  queued->abandoned = !queued->done.IsSet();
  if (queued->abandoned) queued->outcome.result = ReservationResult::kStoreUnavailable;
  co_return queued->outcome;
}

void BudgetManager::Settle(schema::TokenReservation reservation, std::uint64_t tokens,
                           std::function<void()> written) {
  const Partition partition = partitions_.PartitionOf(reservation.program.value);
  State& state = states_[partition];
  const auto ended = Settled(std::move(reservation), tokens);
  state.ledger.Apply(ended);
  if (state.settled.empty()) state.settled_since = Now();
  state.settled.push_back({ended, std::move(written)});
}

void BudgetManager::Start(const Partition& partition, State& state) {
  if (state.running) return;
  state.running = true;
  boost::asio::co_spawn(executor_, Run(partition), boost::asio::detached);
}

awaitable<void> BudgetManager::Run(Partition partition) {
  State& state = states_[partition];
  while (!state.queued.empty() || !state.settled.empty()) {
    if (const base::Duration wait = state.next_append_at - Now(); wait > base::Duration{0}) {
      co_await Sleep(wait);
    }
    state.next_append_at = Now() + append_interval_;
    std::erase_if(state.queued, [](const auto& one) { return one->abandoned; });
    if (state.queued.empty() && state.settled.empty()) break;
    std::vector<QueuedReservationPtr> batch(state.queued.begin(), state.queued.end());
    state.queued.clear();
    co_await AppendQueued(partition, state, batch);
    for (const auto& one : batch) {
      if (one->abandoned || one->outcome.result == ReservationResult::kStoreUnavailable) {
        // The append may have taken effect. The turn is refused and generates no tokens, so the
        // reservation is settled with 0.
        if (one->request.budget) Settle(one->request.tokens, 0);
      }
      one->done.Set();
    }
    if (state.queued.empty()) break;
  }
  state.running = false;
}

awaitable<void> BudgetManager::AppendQueued(const Partition& partition, State& state,
                                            std::vector<QueuedReservationPtr>& batch) {
  if (!state.loaded && !co_await Load(partition, state, Now() + kLoadTimeout)) co_return;
  std::erase_if(batch, [](const auto& one) { return one->abandoned; });
  if (batch.empty() && state.settled.empty()) co_return;
  base::TimePoint deadline = Now() + kSettleTimeout;
  for (const auto& one : batch) deadline = std::max(deadline, one->deadline);
  std::vector<KeyedRecord> records;
  std::vector<QueuedSettlement> settled = std::exchange(state.settled, {});
  records.reserve(settled.size() + 2 * batch.size());
  for (const auto& one : settled) records.push_back(Encode(one.reservation));
  for (const auto& one : batch) {
    if (one->request.budget) records.push_back(Encode(one->request.tokens));
    if (one->request.begin) records.push_back(Encode(*one->request.begin));
  }
  const std::uint64_t count = records.size();
  if (count == 0) {
    // Turns without a budget that take streams up write nothing; they only need the newest records.
    if (!co_await ReadToEnd(partition, state, deadline)) co_return;
    for (const auto& one : batch) Decide(partition, state, *one);
    co_return;
  }
  const auto offset = co_await store_.Append(partition, std::move(records), deadline);
  if (!offset || !co_await CatchUp(partition, state, *offset, deadline)) {
    std::move(state.settled.begin(), state.settled.end(), std::back_inserter(settled));
    state.settled = std::move(settled);
    state.settled_since = Now();
    co_return;
  }
  for (const auto& one : settled) {
    if (one.written) one.written();
  }
  state.next = std::max(state.next, base::Offset{offset->value + count});
  for (const auto& one : batch) Decide(partition, state, *one);
}

void BudgetManager::Decide(const Partition& partition, State& state, QueuedReservation& queued) {
  const ReservationRequest& request = queued.request;
  const schema::TokenReservation& tokens = request.tokens;
  ReservationOutcome& outcome = queued.outcome;
  outcome.result = ReservationResult::kGranted;
  outcome.resumed_version =
      state.versions.Find(tokens.workspace, tokens.program, request.resumed_attempt)
          .value_or(base::SoftwareVersion{});
  if (request.begin) {
    state.versions.Apply(*request.begin);
    own_records_.emplace(request.begin->expires_ms, std::pair{partition, KeyOf(*request.begin)});
  }
  if (!request.budget) return;
  const bool fits = state.ledger.Fits(tokens, *request.budget);
  outcome.usage = state.ledger.Usage(tokens.workspace, tokens.program);
  if (!fits) outcome.result = ReservationResult::kBudgetExhausted;
  state.ledger.Apply(tokens);
  if (!fits) Settle(tokens, 0);
  own_records_.emplace(tokens.expires_ms, std::pair{partition, tokens.turn.value});
}

awaitable<bool> BudgetManager::Load(const Partition& partition, State& state,
                                    base::TimePoint deadline) {
  const auto snapshot = co_await store_.ReadNewest(partition, deadline);
  if (!snapshot) co_return false;
  for (const auto& stored : snapshot->records) Apply(state, stored.record);
  state.next = snapshot->next;
  state.loaded = true;
  co_return true;
}

awaitable<bool> BudgetManager::CatchUp(const Partition& partition, State& state, base::Offset end,
                                       base::TimePoint deadline) {
  while (state.next < end) {
    const auto batch = co_await store_.Read(partition, state.next, deadline);
    if (!batch) {
      if (batch.error().code != ErrorCode::kNotFound) co_return false;
      // The records at this offset were dropped. The newest record of each key replaces them.
      state.loaded = false;
      if (!co_await Load(partition, state, deadline)) co_return false;
      continue;
    }
    for (const auto& stored : batch->records) {
      if (stored.offset < end) Apply(state, stored.record);
    }
    if (batch->next <= state.next) co_return false;
    state.next = std::min(batch->next, end);
  }
  co_return true;
}

awaitable<bool> BudgetManager::ReadToEnd(const Partition& partition, State& state,
                                         base::TimePoint deadline) {
  for (;;) {
    const auto batch = co_await store_.Read(partition, state.next, deadline);
    if (!batch) {
      if (batch.error().code != ErrorCode::kNotFound) co_return false;
      state.loaded = false;
      if (!co_await Load(partition, state, deadline)) co_return false;
      continue;
    }
    for (const auto& stored : batch->records) Apply(state, stored.record);
    if (batch->records.empty()) co_return true;
    state.next = batch->next;
  }
}

void BudgetManager::Apply(State& state, const KeyedRecord& record) {
  if (!record.value) return;
  const auto decoded = schema::DecodeState(*record.value);
  if (const auto* begin = decoded ? std::get_if<schema::StreamBegin>(&*decoded) : nullptr) {
    state.versions.Apply(*begin);
    return;
  }
  const auto* reservation = decoded ? std::get_if<schema::TokenReservation>(&*decoded) : nullptr;
  if (reservation == nullptr) {
    diagnostics::Log(diagnostics::Level::kWarning, "record_skipped", {{"key", record.key}});
    return;
  }
  state.ledger.Apply(*reservation);
}

awaitable<void> BudgetManager::Flush(base::TimePoint deadline) {
  for (auto& [partition, state] : states_) {
    if (!state.settled.empty()) Start(partition, state);
  }
  const auto pending = [this] {
    return std::any_of(states_.begin(), states_.end(),
                       [](const auto& one) { return one.second.running; });
  };
  while (pending() && Now() < deadline) {
    co_await Sleep(milliseconds{10});
  }
}

awaitable<void> BudgetManager::DropExpired() {
  base::TimePoint dropped_at = Now();
  for (;;) {
    co_await Sleep(kSettlePollInterval);
    const base::TimePoint now = Now();
    for (auto& [partition, state] : states_) {
      if (!state.settled.empty() && now - state.settled_since >= kSettleDelay) {
        Start(partition, state);
      }
    }
    if (now - dropped_at < kDropInterval) continue;
    dropped_at = now;
    const std::int64_t now_ms = UnixMillis();
    for (auto& [partition, state] : states_) {
      state.ledger.Expire(now_ms);
      state.versions.Expire(now_ms);
    }
    co_await DropOwnExpired(now_ms);
  }
}

awaitable<void> BudgetManager::DropOwnExpired(std::int64_t now_ms) {
  std::map<Partition, std::vector<KeyedRecord>> drops;
  for (std::size_t n = 0; n < kMaxDropsPerPass && !own_records_.empty(); ++n) {
    const auto first = own_records_.begin();
    if (first->first >= now_ms) break;
    const auto& [partition, key] = first->second;
    drops[partition].push_back({key, std::nullopt});
    own_records_.erase(first);
  }
  for (auto& [partition, records] : drops) {
    const auto result =
        co_await store_.Append(partition, std::move(records), Now() + kSettleTimeout);
    if (!result) {
      diagnostics::Log(diagnostics::Level::kInfo, "expired_reservations_left",
                       {{"error", result.error().message}});
    }
  }
}

}  // namespace persimmonstair::gateway
