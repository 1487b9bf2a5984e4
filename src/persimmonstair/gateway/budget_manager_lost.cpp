// How a budget manager decides beside reservations whose instances may be gone.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "budget_manager.hpp"
#include "budget_records.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::gateway {
namespace {

using boost::asio::awaitable;

/// Time for which a settlement that isn't stored elsewhere isn't looked for again.
constexpr std::chrono::seconds kSearchInterval{1};
/// Time after a turn's end within which its instance has written or sent its settlement, also if
/// the budget coordinator doesn't confirm it at first.
constexpr std::chrono::seconds kSettledWithin{2};

}  // namespace

std::uint64_t BudgetManager::LeastTokens(std::uint64_t most) { return most / 2 + 1; }

std::vector<schema::TokenReservation> BudgetManager::MaybeLost(
    const State& state, const schema::TokenReservation& tokens) const {
  auto unsettled = state.ledger.Unsettled(tokens.workspace, tokens.program);
  std::erase_if(unsettled, [&](const auto& one) {
    return one.turn == tokens.turn || (!MustHaveEnded(one) && state.expiry.IsOwn(KeyOf(one)));
  });
  return unsettled;
}

bool BudgetManager::HasLost(const State& state, const schema::TokenReservation& tokens) const {
  const auto maybe_lost = MaybeLost(state, tokens);
  return std::any_of(maybe_lost.begin(), maybe_lost.end(),
                     [this](const auto& one) { return MustHaveEnded(one); });
}

bool BudgetManager::MustHaveEnded(const schema::TokenReservation& reservation) const {
  const std::int64_t made_ms = reservation.expires_ms - kReservationRetentionMs;
  return made_ms < UnixMillis() - base::ToMillis(LongestTurn());
}

base::Duration BudgetManager::LongestTurn() const {
  return (longest_turn_ ? longest_turn_() : base::Duration{0}) + kSettledWithin;
}

void BudgetManager::StartReconsidering(const Partition& partition, State& state,
                                       const std::vector<QueuedReservationPtr>& batch) {
  std::vector<QueuedReservationPtr> undecided;
  for (const auto& one : batch) {
    if (!one->done.IsSet()) undecided.push_back(one);
  }
  // All are known before the first is decided.
  state.reconsidered.insert(state.reconsidered.end(), undecided.begin(), undecided.end());
  for (const auto& one : undecided) {
    boost::asio::co_spawn(executor_, Reconsider(partition, one), boost::asio::detached);
  }
}

// Meanwhile the reservation counts as outstanding for all that follow it in the partition, so that
// it may be granted once it fits beside all others, and those that follow it and are undecided
// don't stand in its way.
awaitable<void> BudgetManager::Reconsider(Partition partition, QueuedReservationPtr queued) {
  const schema::TokenReservation& tokens = queued->request.tokens;
  ReservationOutcome& outcome = queued->outcome;
  const bool read = co_await SettleLost(partition, queued->maybe_lost, queued->deadline);
  State& state = states_[partition];
  if (read) {
    DecideAgain(state, *queued);
  } else {
    // It is unknown whether the turns have ended.
    outcome.result = ReservationResult::kStoreUnavailable;
  }
  std::erase(state.reconsidered, queued);
  const bool granted = !queued->abandoned && outcome.result == ReservationResult::kGranted;
  if (!granted) QueueSettlement(tokens, 0);
  diagnostics::Log(diagnostics::Level::kInfo, "budget_reconsidered",
                   {{"request", tokens.turn.value},
                    {"program", tokens.program.value},
                    {"maybe_lost", queued->maybe_lost.size()},
                    {"lost", MaybeLost(state, tokens).size()},
                    {"read", read},
                    {"granted", granted},
                    {"reduced", outcome.reduced}});
  queued->done.Set();
}

awaitable<bool> BudgetManager::SettleLost(Partition partition,
                                          std::vector<schema::TokenReservation> maybe_lost,
                                          base::TimePoint deadline) {
  State& state = states_[partition];
  std::erase_if(state.searched_at,
                [](const auto& one) { return Now() - one.second >= kSearchInterval; });
  std::erase_if(maybe_lost,
                [&state](const auto& one) { return state.searched_at.contains(KeyOf(one)); });
  if (maybe_lost.empty()) co_return true;
  const auto found = co_await find_settlements_(maybe_lost, deadline);
  if (!found) co_return false;
  for (const auto& one : maybe_lost) state.searched_at[KeyOf(one)] = Now();
  for (const auto& one : *found) QueueSettlement(one, one.tokens);
  co_return true;
}

void BudgetManager::DecideAgain(const State& state, QueuedReservation& queued) const {
  const schema::TokenReservation& tokens = queued.request.tokens;
  const std::uint64_t budget = *queued.request.budget;
  ReservationOutcome& outcome = queued.outcome;
  outcome.usage = state.ledger.UsageBeside(tokens);
  outcome.usage.outstanding -= std::min(outcome.usage.outstanding, UndecidedAfter(state, queued));
  const std::uint64_t used = std::min(budget, outcome.usage.Total());
  // A settled reservation was given up, and what it would return is counted nowhere.
  if (state.ledger.IsSettled(tokens)) return;
  const bool fits = tokens.tokens <= budget - used;
  // Beside turns that may still run, a reduced reservation would only break more of them off.
  outcome.reduced = !fits && LeastTokens(tokens.tokens) <= budget - used && HasLost(state, tokens);
  if (fits || outcome.reduced) outcome.result = ReservationResult::kGranted;
}

std::uint64_t BudgetManager::UndecidedAfter(const State& state, const QueuedReservation& queued) {
  const schema::TokenReservation& tokens = queued.request.tokens;
  std::uint64_t undecided = 0;
  bool follows = false;
  for (const auto& one : state.reconsidered) {
    const schema::TokenReservation& other = one->request.tokens;
    const bool same_program =
        other.workspace == tokens.workspace && other.program == tokens.program;
    // One that was given up is settled and doesn't count any more.
    if (follows && same_program && !state.ledger.IsSettled(other)) undecided += other.tokens;
    follows = follows || one.get() == &queued;
  }
  return undecided;
}

}  // namespace persimmonstair::gateway
