#include "budget_client.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>

#include "clock.hpp"
#include "nonce.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::gateway {
namespace {

using boost::asio::awaitable;
using std::chrono::milliseconds;

/// Time between two messages about a reservation that the coordinator has confirmed as pending.
constexpr milliseconds kPendingInterval{100};
/// Number of unanswered messages in a row after which a coordinator counts as unreachable.
constexpr int kMaxUnanswered = 2;
/// Time for which a coordinator that was unreachable or declined isn't asked again.
constexpr milliseconds kAvoidTime{500};
/// Time to wait for the confirmation of a settlement, which the coordinator delays in order to
/// write it together with other records.
constexpr milliseconds kSettlementTimeout{700};
constexpr int kSettlementAttempts = 2;

/// Longest names in a reservation that is sent to another instance, in bytes in all. Longer ones
/// may not fit into a datagram.
constexpr std::size_t kMaxNameBytes = 1000;

bool FitsDatagram(const schema::TokenReservation& reservation, std::size_t other_name_bytes) {
  return reservation.program.value.size() + reservation.workspace.value.size() +
             reservation.turn.value.size() + other_name_bytes <=
         kMaxNameBytes;
}

// Length of the names in a request that its reservation doesn't hold, in bytes.
std::size_t OtherNameBytes(const ReservationRequest& request) {
  std::size_t bytes = request.resumed_attempt.value.size();
  if (request.begin) {
    bytes += request.begin->attempt.value.size() + request.begin->version.value.size();
  }
  if (request.take_up) bytes += request.take_up->attempt.value.size();
  return bytes;
}

schema::ReservationAsk ToAsk(std::uint64_t nonce, const ReservationRequest& request,
                             base::Duration wait) {
  const schema::TokenReservation& tokens = request.tokens;
  schema::ReservationAsk ask;
  ask.nonce = nonce;
  ask.program = tokens.program;
  ask.workspace = tokens.workspace;
  ask.turn = tokens.turn;
  ask.tokens = tokens.tokens;
  ask.expires_ms = tokens.expires_ms;
  ask.budgeted = request.budget.has_value();
  ask.budget = request.budget.value_or(0);
  if (request.begin) {
    ask.attempt = request.begin->attempt;
    ask.version = request.begin->version;
    ask.version_expires_ms = request.begin->expires_ms;
  }
  ask.resumed_attempt = request.resumed_attempt;
  ask.wait_ms = static_cast<std::uint32_t>(base::ToMillis(wait));
  return ask;
}

schema::EntryPeerMessage ToMessage(schema::ReservationAsk ask, const ReservationRequest& request) {
  if (!request.take_up) return ask;
  const schema::StreamTakeUp& take_up = *request.take_up;
  return schema::TakeUpAsk{std::move(ask), take_up.attempt, take_up.event, take_up.expires_ms};
}

/// Waits until the timer is cancelled, for at most `time`.
awaitable<void> WaitForChange(boost::asio::steady_timer& changed, base::Duration time) {
  changed.expires_after(time);
  co_await changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace

BudgetClient::BudgetClient(const boost::asio::any_io_executor& executor, PeerSocket& socket,
                           FleetRegistry& fleet, BudgetManager& budgets,
                           base::Duration answer_timeout)
    : executor_(executor),
      socket_(socket),
      fleet_(fleet),
      budgets_(budgets),
      answer_timeout_(answer_timeout),
      next_nonce_(RandomNonce()) {
  socket_.OnMessage([this](const schema::EntryPeerMessage& message,
                           const PeerEndpoint& /*sender*/) { Handle(message); });
}

awaitable<ReservationOutcome> BudgetClient::Reserve(ReservationRequest request,
                                                    base::TimePoint deadline) {
  const base::TurnId turn = request.tokens.turn;
  for (int attempt = 1; Now() < deadline; ++attempt) {
    const auto coordinator = FindCoordinator(request.tokens, OtherNameBytes(request));
    if (!coordinator) {
      co_return co_await budgets_.Reserve(request, deadline);
    }
    const auto outcome = co_await AskCoordinator(*coordinator, request, deadline);
    if (outcome) co_return *outcome;
    Rename(request.tokens, turn, attempt);
  }
  co_return ReservationOutcome{};
}

void BudgetClient::Rename(schema::TokenReservation& tokens, const base::TurnId& turn, int attempt) {
  // The coordinator may still write this reservation. It is settled with 0, and the next one has a
  // name of its own, because a settled reservation stays settled.
  if (tokens.tokens > 0) Settle(tokens, 0);
  tokens.turn.value = turn.value + "#" + std::to_string(attempt);
}

awaitable<std::optional<ReservationOutcome>> BudgetClient::AskCoordinator(
    PeerEndpoint coordinator, const ReservationRequest& request, base::TimePoint deadline) {
  const std::uint64_t nonce = next_nonce_++;
  const auto ask = std::make_shared<PendingAsk>(executor_);
  asks_[nonce] = ask;
  int unanswered = 0;
  bool confirmed = false;
  while (!ask->outcome && !ask->declined && unanswered < kMaxUnanswered && Now() < deadline) {
    const base::Duration left = deadline - Now();
    ask->heard = false;
    socket_.Send(ToMessage(ToAsk(nonce, request, left), request), coordinator);
    co_await WaitForChange(ask->changed,
                           std::min(left, confirmed ? kPendingInterval : answer_timeout_));
    confirmed = ask->heard;
    unanswered = ask->heard ? 0 : unanswered + 1;
  }
  asks_.erase(nonce);
  if (ask->outcome) {
    ask->outcome->reservation = request.tokens;
    co_return ask->outcome;
  }
  if (ask->declined || unanswered == kMaxUnanswered) {
    diagnostics::Log(diagnostics::Level::kInfo, "budget_coordinator_avoided",
                     {{"coordinator", coordinator.address().to_string()},
                      {"declined", ask->declined},
                      {"unanswered", unanswered}});
    Avoid(coordinator);
  }
  co_return std::nullopt;
}

void BudgetClient::Settle(const schema::TokenReservation& reservation, std::uint64_t tokens) {
  const auto coordinator = stopping_ ? std::nullopt : FindCoordinator(reservation);
  if (!coordinator) {
    budgets_.Settle(reservation, tokens);
    return;
  }
  boost::asio::co_spawn(executor_, DeliverSettlement(*coordinator, reservation, tokens),
                        boost::asio::detached);
}

awaitable<void> BudgetClient::DeliverSettlement(PeerEndpoint coordinator,
                                                schema::TokenReservation reservation,
                                                std::uint64_t tokens) {
  const std::uint64_t nonce = next_nonce_++;
  const auto pending = std::make_shared<PendingSettlement>(executor_);
  settlements_[nonce] = pending;
  for (int n = 0; n < kSettlementAttempts && !pending->written && !stopping_; ++n) {
    const bool sent =
        socket_.Send(schema::SettlementNotice{nonce, reservation.program, reservation.workspace,
                                              reservation.turn, tokens, reservation.expires_ms},
                     coordinator);
    if (!sent) break;
    co_await WaitForChange(pending->changed, kSettlementTimeout);
  }
  settlements_.erase(nonce);
  if (!pending->written) budgets_.Settle(std::move(reservation), tokens);
}

awaitable<void> BudgetClient::Flush(base::TimePoint deadline) {
  stopping_ = true;
  for (auto& [nonce, pending] : settlements_) pending->changed.cancel();
  while (!settlements_.empty() && Now() < deadline) {
    co_await Sleep(milliseconds{1});
  }
  co_await budgets_.Flush(deadline);
}

std::optional<PeerEndpoint> BudgetClient::FindCoordinator(
    const schema::TokenReservation& reservation, std::size_t other_name_bytes) {
  if (!FitsDatagram(reservation, other_name_bytes)) return std::nullopt;
  const base::TimePoint now = Now();
  for (const auto& candidate :
       fleet_.BudgetCoordinators(budgets_.PartitionOf(reservation.program))) {
    auto peer = ToPeerEndpoint(candidate);
    if (!peer) continue;
    const auto avoided = avoided_until_.find(*peer);
    if (avoided == avoided_until_.end() || avoided->second <= now) return peer;
  }
  return std::nullopt;
}

void BudgetClient::Avoid(const PeerEndpoint& coordinator) {
  const base::TimePoint now = Now();
  std::erase_if(avoided_until_, [now](const auto& one) { return one.second <= now; });
  avoided_until_[coordinator] = now + kAvoidTime;
}

void BudgetClient::Handle(const schema::EntryPeerMessage& message) {
  if (const auto* answer = std::get_if<schema::ReservationAnswer>(&message)) {
    Handle(*answer, {});
  } else if (const auto* take_up = std::get_if<schema::TakeUpAnswer>(&message)) {
    Handle(take_up->reservation, {take_up->fence, take_up->least_fence, take_up->overtaken});
  } else if (const auto* ack = std::get_if<schema::SettlementAck>(&message)) {
    const auto it = settlements_.find(ack->nonce);
    if (it == settlements_.end()) return;
    it->second->written = true;
    it->second->changed.cancel();
  }
}

void BudgetClient::Handle(const schema::ReservationAnswer& answer,
                          const turns::TakeUpOrder& take_up) {
  const auto it = asks_.find(answer.nonce);
  if (it == asks_.end()) return;
  PendingAsk& ask = *it->second;
  ask.heard = true;
  if (answer.pending) return;
  ask.declined = answer.declined;
  if (!answer.declined) {
    ReservationOutcome outcome;
    outcome.usage = {answer.settled, answer.outstanding};
    outcome.resumed_version = answer.resumed_version;
    outcome.take_up = take_up;
    outcome.reduced = answer.granted && answer.exhausted;
    if (answer.exhausted) outcome.result = ReservationResult::kBudgetExhausted;
    if (answer.granted) outcome.result = ReservationResult::kGranted;
    ask.outcome = outcome;
  }
  ask.changed.cancel();
}

}  // namespace persimmonstair::gateway
