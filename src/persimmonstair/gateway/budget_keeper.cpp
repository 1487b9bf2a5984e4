#include "budget_keeper.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using boost::asio::awaitable;
using std::chrono::milliseconds;

/// Settled turns wait this long for a reservation of the same partition, which saves a call.
constexpr milliseconds kSettleDelay{500};
constexpr milliseconds kSettleCheck{100};
/// Longest time for one append of settled turns alone.
constexpr milliseconds kSettleTime{1000};
/// Expired records are dropped in batches this often.
constexpr std::chrono::seconds kDropInterval{5};
constexpr std::size_t kMaxDropsOfPass = 1000;

KeyedRecord Encode(const schema::TokenReservation& reservation) {
  return {reservation.turn.value, schema::EncodeState(reservation)};
}

schema::TokenReservation Ended(schema::TokenReservation reservation, std::uint64_t tokens) {
  reservation.tokens = tokens;
  reservation.settled = true;
  return reservation;
}

}  // namespace

awaitable<Grant> BudgetKeeper::Reserve(schema::TokenReservation reservation, std::uint64_t budget,
                                       base::TimePoint deadline) {
  const Partition partition = partitions_.Of(reservation.program.value);
  State& state = states_[partition];
  const auto waiting = std::make_shared<Waiting>(executor_);
  waiting->reservation = std::move(reservation);
  waiting->budget = budget;
  waiting->deadline = deadline;
  state.waiting.push_back(waiting);
  Start(partition, state);
  co_await waiting->done.Wait();
  co_return waiting->grant;
}

void BudgetKeeper::Settle(schema::TokenReservation reservation, std::uint64_t tokens) {
  const Partition partition = partitions_.Of(reservation.program.value);
  State& state = states_[partition];
  const auto ended = Ended(std::move(reservation), tokens);
  state.ledger.Apply(ended);
  if (state.settled.empty()) state.settled_since = Now();
  state.settled.push_back(ended);
}

void BudgetKeeper::Start(const Partition& partition, State& state) {
  if (state.running) return;
  state.running = true;
  boost::asio::co_spawn(executor_, Run(partition), boost::asio::detached);
}

awaitable<void> BudgetKeeper::Run(Partition partition) {
  State& state = states_[partition];
  while (!state.waiting.empty() || !state.settled.empty()) {
    std::vector<WaitingPtr> batch(state.waiting.begin(), state.waiting.end());
    state.waiting.clear();
    co_await AppendWaiting(partition, state, batch);
    for (const auto& one : batch) {
      if (one->grant == Grant::kUnavailable) {
        // The reservation may be in the log; it is void, since nothing is handed out.
        Settle(one->reservation, 0);
      }
      one->done.Set();
    }
    if (state.waiting.empty()) break;
  }
  state.running = false;
}

awaitable<void> BudgetKeeper::AppendWaiting(const Partition& partition, State& state,
                                            std::vector<WaitingPtr>& batch) {
  base::TimePoint deadline = Now() + kSettleTime;
  if (!batch.empty()) deadline = batch.front()->deadline;
  for (const auto& one : batch) deadline = std::min(deadline, one->deadline);
  if (!state.loaded && !co_await Load(partition, state, deadline)) co_return;
  std::vector<KeyedRecord> records;
  const std::vector<schema::TokenReservation> settled = std::move(state.settled);
  state.settled.clear();
  records.reserve(settled.size() + batch.size());
  for (const auto& one : settled) records.push_back(Encode(one));
  for (const auto& one : batch) records.push_back(Encode(one->reservation));
  const std::uint64_t count = records.size();
  const auto offset = co_await store_.Append(partition, std::move(records), deadline);
  if (!offset || !co_await CatchUp(partition, state, *offset, deadline)) {
    state.settled.insert(state.settled.begin(), settled.begin(), settled.end());
    state.settled_since = Now();
    co_return;
  }
  state.next = std::max(state.next, base::Offset{offset->value + count});
  for (const auto& one : batch) {
    const bool fits = state.ledger.Fits(one->reservation, one->budget);
    one->grant = fits ? Grant::kGranted : Grant::kSpent;
    state.ledger.Apply(one->reservation);
    if (!fits) Settle(one->reservation, 0);
    written_.emplace_back(one->reservation.expires_ms,
                          std::pair{partition, one->reservation.turn.value});
  }
}

awaitable<bool> BudgetKeeper::Load(const Partition& partition, State& state,
                                   base::TimePoint deadline) {
  const auto snapshot = co_await store_.Newest(partition, deadline);
  if (!snapshot) co_return false;
  for (const auto& placed : snapshot->records) Apply(state, placed.record);
  state.next = snapshot->next;
  state.loaded = true;
  co_return true;
}

awaitable<bool> BudgetKeeper::CatchUp(const Partition& partition, State& state, base::Offset end,
                                      base::TimePoint deadline) {
  while (state.next < end) {
    const auto batch = co_await store_.Read(partition, state.next, deadline);
    if (!batch) {
      if (batch.error().code != ErrorCode::kNotFound) co_return false;
      // The history was dropped: the newest records include all that were missed.
      state.loaded = false;
      if (!co_await Load(partition, state, deadline)) co_return false;
      continue;
    }
    for (const auto& placed : batch->records) {
      if (placed.offset < end) Apply(state, placed.record);
    }
    if (batch->next <= state.next) co_return false;
    state.next = std::min(batch->next, end);
  }
  co_return true;
}

void BudgetKeeper::Apply(State& state, const KeyedRecord& record) {
  if (!record.value) return;
  const auto decoded = schema::DecodeState(*record.value);
  const auto* reservation = decoded ? std::get_if<schema::TokenReservation>(&*decoded) : nullptr;
  if (reservation == nullptr) {
    diagnostics::Log(diagnostics::Level::kWarning, "record_skipped", {{"key", record.key}});
    return;
  }
  state.ledger.Apply(*reservation);
}

awaitable<void> BudgetKeeper::Flush(base::TimePoint deadline) {
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

awaitable<void> BudgetKeeper::DropExpired() {
  base::TimePoint dropped_at = Now();
  for (;;) {
    co_await Sleep(kSettleCheck);
    const base::TimePoint now = Now();
    for (auto& [partition, state] : states_) {
      if (!state.settled.empty() && now - state.settled_since >= kSettleDelay) {
        Start(partition, state);
      }
    }
    if (now - dropped_at < kDropInterval) continue;
    dropped_at = now;
    const std::int64_t now_ms = UnixMillis();
    for (auto& [partition, state] : states_) state.ledger.Expire(now_ms);
    co_await DropWritten(now_ms);
  }
}

awaitable<void> BudgetKeeper::DropWritten(std::int64_t now_ms) {
  std::map<Partition, std::vector<KeyedRecord>> drops;
  for (std::size_t n = 0; n < kMaxDropsOfPass && !written_.empty(); ++n) {
    if (written_.front().first >= now_ms) break;
    const auto& [partition, key] = written_.front().second;
    drops[partition].push_back({key, std::nullopt});
    written_.pop_front();
  }
  for (auto& [partition, records] : drops) {
    const auto result = co_await store_.Append(partition, std::move(records), Now() + kSettleTime);
    if (!result) {
      diagnostics::Log(diagnostics::Level::kInfo, "expired_reservations_left",
                       {{"error", result.error().message}});
    }
  }
}

}  // namespace persimmonstair::gateway
