#include "budget_coordinator.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "clock.hpp"

namespace persimmonstair::gateway {
namespace {

using boost::asio::awaitable;
using std::chrono::milliseconds;

/// Time for which answers are kept for messages that are sent again, in multiples of the maximum
/// time for a reservation.
constexpr int kAnswerRetentionFactor = 4;
constexpr std::size_t kMaxReceived = 65'536;

schema::ReservationAnswer ToAnswer(std::uint64_t nonce, const ReservationOutcome& outcome) {
  schema::ReservationAnswer answer;
  answer.nonce = nonce;
  answer.granted = outcome.result == ReservationResult::kGranted;
  // Both together state a reduced reservation, which builds before take for a denial.
  answer.exhausted = outcome.result == ReservationResult::kBudgetExhausted || outcome.reduced;
  answer.settled = outcome.usage.settled;
  answer.outstanding = outcome.usage.outstanding;
  answer.resumed_version = outcome.resumed_version;
  return answer;
}

// Returns the answer in the form that the question asks for.
schema::EntryPeerMessage ToMessage(const ReservationRequest& request,
                                   schema::ReservationAnswer answer,
                                   const turns::TakeUpOrder& order = {}) {
  if (!request.take_up) return answer;
  return schema::TakeUpAnswer{std::move(answer), order.fence, order.least_fence, order.overtaken};
}

ReservationRequest FromAsk(const schema::ReservationAsk& ask) {
  ReservationRequest request;
  request.tokens = {ask.program, ask.workspace, ask.turn, ask.tokens, false, ask.expires_ms};
  if (ask.budgeted) request.budget = ask.budget;
  if (!ask.attempt.empty()) {
    request.begin = {ask.workspace, ask.program, ask.attempt, ask.version, ask.version_expires_ms};
  }
  request.resumed_attempt = ask.resumed_attempt;
  return request;
}

ReservationRequest FromAsk(const schema::TakeUpAsk& ask) {
  const schema::ReservationAsk& reservation = ask.reservation;
  ReservationRequest request = FromAsk(reservation);
  request.take_up = {reservation.workspace, reservation.program, reservation.resumed_attempt,
                     ask.attempt,           ask.event,           ask.expires_ms};
  return request;
}

}  // namespace

BudgetCoordinator::BudgetCoordinator(const boost::asio::any_io_executor& executor,
                                     PeerSocket& socket, BudgetManager& budgets,
                                     const store_access::RetryingRecordStore& store,
                                     base::Duration max_wait)
    : executor_(executor), socket_(socket), budgets_(budgets), store_(store), max_wait_(max_wait) {
  socket_.OnMessage([this](const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
    Handle(message, sender);
  });
}

void BudgetCoordinator::Handle(const schema::EntryPeerMessage& message,
                               const PeerEndpoint& sender) {
  if (const auto* ask = std::get_if<schema::ReservationAsk>(&message)) {
    Handle({ask->nonce, FromAsk(*ask), milliseconds{ask->wait_ms}}, sender);
  } else if (const auto* take_up = std::get_if<schema::TakeUpAsk>(&message)) {
    const schema::ReservationAsk& reservation = take_up->reservation;
    Handle({reservation.nonce, FromAsk(*take_up), milliseconds{reservation.wait_ms}}, sender);
  } else if (const auto* notice = std::get_if<schema::SettlementNotice>(&message)) {
    Handle(*notice, sender);
  }
}

void BudgetCoordinator::Handle(const Question& ask, const PeerEndpoint& sender) {
  const MessageId id{sender, ask.nonce};
  const auto known = received_.find(id);
  if (known != received_.end() && known->second.answer) {
    socket_.Send(*known->second.answer, sender);
    return;
  }
  if (stopping_ || !store_.Up()) {
    schema::ReservationAnswer declined;
    declined.nonce = ask.nonce;
    declined.declined = true;
    socket_.Send(ToMessage(ask.request, declined), sender);
    return;
  }
  if (known != received_.end()) {
    schema::ReservationAnswer pending;
    pending.nonce = ask.nonce;
    pending.pending = true;
    socket_.Send(ToMessage(ask.request, pending), sender);
    return;
  }
  if (!Register(id)) return;
  boost::asio::co_spawn(executor_, Decide(ask, sender), boost::asio::detached);
}

awaitable<void> BudgetCoordinator::Decide(Question ask, PeerEndpoint sender) {
  const base::TimePoint deadline = Now() + std::min<base::Duration>(max_wait_, ask.wait);
  const ReservationOutcome outcome = co_await budgets_.Reserve(ask.request, deadline);
  Answer({sender, ask.nonce},
         ToMessage(ask.request, ToAnswer(ask.nonce, outcome), outcome.take_up));
}

void BudgetCoordinator::Handle(const schema::SettlementNotice& notice, const PeerEndpoint& sender) {
  const MessageId id{sender, notice.nonce};
  const auto known = received_.find(id);
  if (known != received_.end()) {
    if (known->second.answer) socket_.Send(*known->second.answer, sender);
    return;
  }
  if (!Register(id)) return;
  const schema::TokenReservation reservation{
      notice.program, notice.workspace, notice.turn, notice.tokens, true, notice.expires_ms};
  budgets_.Settle(reservation, notice.tokens,
                  [this, id] { Answer(id, schema::SettlementAck{id.second}); });
}

void BudgetCoordinator::Answer(const MessageId& id, const schema::EntryPeerMessage& answer) {
  --pending_;
  const auto it = received_.find(id);
  if (it != received_.end()) it->second.answer = answer;
  socket_.Send(answer, id.first);
}

bool BudgetCoordinator::Register(const MessageId& id) {
  DropOldMessages();
  if (received_.size() >= kMaxReceived) return false;
  if (!received_.emplace(id, Received{}).second) return false;
  received_at_.emplace_back(Now(), id);
  ++pending_;
  return true;
}

void BudgetCoordinator::DropOldMessages() {
  const base::TimePoint oldest = Now() - kAnswerRetentionFactor * max_wait_;
  while (!received_at_.empty() && received_at_.front().first < oldest) {
    received_.erase(received_at_.front().second);
    received_at_.pop_front();
  }
}

}  // namespace persimmonstair::gateway
