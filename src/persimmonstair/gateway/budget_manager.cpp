#include "budget_manager.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>

#include "budget_records.hpp"
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
/// Time for which expired records are left to their writer, so that they aren't deleted twice.
constexpr std::int64_t kForeignDropDelayMs = 30'000;
/// Time since its last append, in drop intervals, for which an instance deletes records of others.
constexpr int kAppenderIntervals = 2;
/// Keeps an append that also holds reservations short.
constexpr std::size_t kMaxDropsPerAppend = 100;
/// Age up to which the known records of a partition count as complete when records are deleted.
constexpr std::chrono::seconds kMaxDropViewAge{1};
/// Bytes of reservations, and of settlements, after which the rest waits for the next append. Their
/// names may be long, and the store bounds an append.
constexpr std::size_t kMaxAppendBytes = 500'000;

/// Bytes of a record besides its names and the longest key.
constexpr std::size_t kRecordOverhead = 400;

// Returns what the record of a reservation takes at most, in bytes.
std::size_t LargestSize(const schema::TokenReservation& reservation) {
  return kRecordOverhead + reservation.program.value.size() + reservation.workspace.value.size() +
         reservation.turn.value.size();
}

// The same for the records of a request. Those beside the reservation's hold its names once more.
std::size_t LargestSize(const ReservationRequest& request) {
  const std::size_t version = request.begin ? request.begin->version.value.size() : 0;
  return 2 * LargestSize(request.tokens) + request.resumed_attempt.value.size() + version;
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
  QueueSettlement(std::move(reservation), tokens, std::move(written));
  // Callers repeat a refused turn at once. If all instances were lost before, what it reserved
  // would still count.
  if (tokens == 0) Start(partition, states_[partition]);
}

void BudgetManager::QueueSettlement(schema::TokenReservation reservation, std::uint64_t tokens,
                                    std::function<void()> written) {
  const Partition partition = partitions_.PartitionOf(reservation.program.value);
  State& state = states_[partition];
  const auto ended = Settled(std::move(reservation), tokens);
  state.ledger.Apply(ended);
  if (state.settled.empty()) state.settled_since = Now();
  state.settled.push_back({ended, std::move(written)});
}

void BudgetManager::SetSettlements(FindSettlements find,
                                   std::function<base::Duration()> longest_turn) {
  find_settlements_ = std::move(find);
  longest_turn_ = std::move(longest_turn);
}

void BudgetManager::Start(const Partition& partition, State& state) {
  if (state.running) return;
  state.running = true;
  boost::asio::co_spawn(executor_, Run(partition), boost::asio::detached);
}

awaitable<void> BudgetManager::Run(Partition partition) {
  State& state = states_[partition];
  while (!state.queued.empty() || !state.settled.empty() || state.dropping) {
    if (const base::Duration wait = state.next_append_at - Now(); wait > base::Duration{0}) {
      co_await Sleep(wait);
    }
    state.next_append_at = Now() + append_interval_;
    std::erase_if(state.queued, [](const auto& one) { return one->abandoned; });
    if (state.queued.empty() && state.settled.empty() && !state.dropping) break;
    std::vector<QueuedReservationPtr> batch = TakeBatch(state);
    co_await AppendQueued(partition, state, batch);
    for (const auto& one : batch) {
      if (one->abandoned || one->outcome.result == ReservationResult::kStoreUnavailable) {
        // The append may have taken effect. The turn is refused and generates no tokens, so the
        // reservation is settled with 0.
        if (one->request.budget) QueueSettlement(one->request.tokens, 0);
      }
      if (one->maybe_lost.empty()) one->done.Set();
    }
    StartReconsidering(partition, state, batch);
    if (state.queued.empty() && !state.dropping) break;
  }
  state.running = false;
}

std::vector<BudgetManager::QueuedReservationPtr> BudgetManager::TakeBatch(State& state) {
  std::vector<QueuedReservationPtr> batch;
  std::size_t bytes = 0;
  while (!state.queued.empty() && bytes < kMaxAppendBytes) {
    bytes += LargestSize(state.queued.front()->request);
    batch.push_back(std::move(state.queued.front()));
    state.queued.pop_front();
  }
  return batch;
}

std::vector<BudgetManager::QueuedSettlement> BudgetManager::TakeSettled(State& state) {
  std::size_t n = 0;
  for (std::size_t bytes = 0; n < state.settled.size() && bytes < kMaxAppendBytes; ++n) {
    bytes += LargestSize(state.settled[n].reservation);
  }
  const auto end = state.settled.begin() + static_cast<std::ptrdiff_t>(n);
  std::vector<QueuedSettlement> taken(std::make_move_iterator(state.settled.begin()),
                                      std::make_move_iterator(end));
  state.settled.erase(state.settled.begin(), end);
  return taken;
}

awaitable<void> BudgetManager::AppendQueued(const Partition& partition, State& state,
                                            std::vector<QueuedReservationPtr>& batch) {
  if (!state.loaded && batch.empty() && !state.dropping) {
    co_await AppendSettled(partition, state);
    co_return;
  }
  if (!state.loaded && !co_await Load(partition, state, Now() + kLoadTimeout)) {
    state.dropping = false;
    co_return;
  }
  std::erase_if(batch, [](const auto& one) { return one->abandoned; });
  base::TimePoint deadline = Now() + kSettleTimeout;
  for (const auto& one : batch) deadline = std::max(deadline, one->deadline);
  const std::vector<std::string> drops = co_await DueDrops(partition, state, deadline);
  if (batch.empty() && state.settled.empty() && drops.empty()) co_return;
  std::vector<KeyedRecord> records;
  std::vector<QueuedSettlement> settled = TakeSettled(state);
  records.reserve(settled.size() + 2 * batch.size() + drops.size());
  for (const auto& one : settled) records.push_back(Track(state, one.reservation));
  for (const auto& one : batch) {
    if (one->request.budget) records.push_back(Track(state, one->request.tokens));
    if (one->request.begin) records.push_back(Track(state, *one->request.begin));
    // Relative to the append, whose offset isn't known yet.
    one->take_up_offset = {records.size()};
    if (one->request.take_up) records.push_back(Track(state, *one->request.take_up));
  }
  for (const auto& key : drops) records.push_back({key, std::nullopt});
  const std::uint64_t count = records.size();
  if (count == 0) {
    // Turns without a budget that take streams up write nothing; they only need the newest records.
    if (!co_await ReadToEnd(partition, state, deadline)) co_return;
    for (const auto& one : batch) Decide(state, *one);
    co_return;
  }
  const auto offset = co_await store_.Append(partition, std::move(records), deadline);
  if (!offset || !co_await CatchUp(partition, state, *offset, deadline)) {
    PutBack(state, std::move(settled));
    state.dropping = false;
    co_return;
  }
  for (const auto& one : settled) {
    if (one.written) one.written();
  }
  for (const auto& key : drops) state.expiry.Remove(key);
  for (const auto& one : batch) one->take_up_offset.value += offset->value;
  state.next = std::max(state.next, base::Offset{offset->value + count});
  state.current_at = Now();
  if (count > drops.size()) state.appended_at = state.current_at;
  for (const auto& one : batch) Decide(state, *one);
}

awaitable<void> BudgetManager::AppendSettled(const Partition& partition, State& state) {
  std::vector<QueuedSettlement> settled = TakeSettled(state);
  std::vector<KeyedRecord> records;
  records.reserve(settled.size());
  // Their deletion is left to the instance that appends to the partition.
  for (const auto& one : settled) records.push_back(Encode(one.reservation));
  const base::TimePoint deadline = Now() + kSettleTimeout;
  const auto offset = co_await store_.Append(partition, std::move(records), deadline);
  if (!offset) {
    PutBack(state, std::move(settled));
    co_return;
  }
  for (const auto& one : settled) {
    if (one.written) one.written();
  }
}

void BudgetManager::PutBack(State& state, std::vector<QueuedSettlement> settled) {
  std::move(state.settled.begin(), state.settled.end(), std::back_inserter(settled));
  state.settled = std::move(settled);
  state.settled_since = Now();
}

template <class Record>
KeyedRecord BudgetManager::Track(State& state, const Record& record) {
  KeyedRecord encoded = Encode(record);
  state.expiry.Add(encoded.key, ExpiryOf(record, store_access::RecordWriter::kThis));
  return encoded;
}

awaitable<std::vector<std::string>> BudgetManager::DueDrops(const Partition& partition,
                                                            State& state,
                                                            base::TimePoint deadline) {
  if (!state.dropping) co_return std::vector<std::string>{};
  if (Now() - state.current_at > kMaxDropViewAge &&
      !co_await ReadToEnd(partition, state, deadline)) {
    state.dropping = false;
    co_return std::vector<std::string>{};
  }
  auto due = state.expiry.Due(DueBefore(state), kMaxDropsPerAppend);
  state.dropping = due.size() == kMaxDropsPerAppend;
  co_return due;
}

void BudgetManager::Decide(State& state, QueuedReservation& queued) {
  const ReservationRequest& request = queued.request;
  const schema::TokenReservation& tokens = request.tokens;
  ReservationOutcome& outcome = queued.outcome;
  outcome.result = ReservationResult::kGranted;
  outcome.resumed_version =
      state.versions.Find(tokens.workspace, tokens.program, request.resumed_attempt)
          .value_or(base::SoftwareVersion{});
  if (request.begin) state.versions.Apply(*request.begin);
  if (request.take_up) {
    state.take_ups.Apply(*request.take_up, queued.take_up_offset);
    outcome.take_up = state.take_ups.Find(*request.take_up);
  }
  if (!request.budget) return;
  const bool fits = state.ledger.Fits(tokens, *request.budget);
  outcome.usage = state.ledger.Usage(tokens.workspace, tokens.program);
  if (!fits) outcome.result = ReservationResult::kBudgetExhausted;
  state.ledger.Apply(tokens);
  if (fits) return;
  const bool may_fit = outcome.usage.settled + LeastTokens(tokens.tokens) <= *request.budget;
  if (may_fit && find_settlements_) queued.maybe_lost = MaybeLost(state, tokens);
  if (queued.maybe_lost.empty()) QueueSettlement(tokens, 0);
}

awaitable<bool> BudgetManager::Load(const Partition& partition, State& state,
                                    base::TimePoint deadline) {
  const auto snapshot = co_await store_.ReadNewest(partition, deadline);
  if (!snapshot) co_return false;
  for (const auto& stored : snapshot->records) Apply(state, stored);
  state.next = snapshot->next;
  state.loaded = true;
  state.current_at = Now();
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
      if (stored.offset < end) Apply(state, stored);
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
    for (const auto& stored : batch->records) Apply(state, stored);
    state.next = batch->next;
    if (batch->next >= batch->end) {
      state.current_at = Now();
      co_return true;
    }
  }
}

void BudgetManager::Apply(State& state, const StoredRecord& stored) {
  const KeyedRecord& record = stored.record;
  if (!record.value) {
    state.expiry.Remove(record.key);
    return;
  }
  const auto decoded = schema::DecodeState(*record.value);
  if (const auto* begin = decoded ? std::get_if<schema::StreamBegin>(&*decoded) : nullptr) {
    state.versions.Apply(*begin);
    state.expiry.Add(record.key, ExpiryOf(*begin, store_access::RecordWriter::kOther));
    return;
  }
  if (const auto* take_up = decoded ? std::get_if<schema::StreamTakeUp>(&*decoded) : nullptr) {
    state.take_ups.Apply(*take_up, stored.offset);
    state.expiry.Add(record.key, ExpiryOf(*take_up, store_access::RecordWriter::kOther));
    return;
  }
  const auto* reservation = decoded ? std::get_if<schema::TokenReservation>(&*decoded) : nullptr;
  if (reservation == nullptr) {
    diagnostics::Log(diagnostics::Level::kWarning, "record_skipped", {{"key", record.key}});
    return;
  }
  state.ledger.Apply(*reservation);
  state.expiry.Add(record.key, ExpiryOf(*reservation, store_access::RecordWriter::kOther));
}

awaitable<void> BudgetManager::Flush(base::TimePoint deadline) {
  for (auto& [partition, state] : states_) {
    state.dropping = false;
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
    if (now - dropped_at < drop_interval_) continue;
    dropped_at = now;
    for (auto& [partition, state] : states_) DropExpired(partition, state);
  }
}

store_access::RecordExpiry::DueTimes BudgetManager::DueBefore(const State& state) const {
  const std::int64_t now_ms = UnixMillis();
  const bool appends = Now() - state.appended_at < kAppenderIntervals * drop_interval_;
  return {now_ms, appends ? now_ms - kForeignDropDelayMs : 0};
}

void BudgetManager::DropExpired(const Partition& partition, State& state) {
  const std::int64_t now_ms = UnixMillis();
  state.ledger.Expire(now_ms);
  state.versions.Expire(now_ms);
  state.take_ups.Expire(now_ms);
  if (state.expiry.Due(DueBefore(state), 1).empty()) return;
  state.dropping = true;
  Start(partition, state);
}

}  // namespace persimmonstair::gateway
