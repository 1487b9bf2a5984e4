#include "persimmonstair/routing/order_issuer.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::routing {

std::vector<OrderDecision> OrderIssuer::Handle(base::TimePoint now, const OrderEvent& event) {
  now_ = std::max(now_, now);
  std::vector<OrderDecision> out;
  std::visit([&](const auto& it) { On(it, out); }, event);
  Send(out);
  return out;
}

std::size_t OrderIssuer::PendingOrders() const { return target_by_order_.size(); }

bool OrderIssuer::HoldsLease(base::TimePoint now) const { return holds_lease_ && now < expires_; }

void OrderIssuer::On(const LeaseGranted& event, std::vector<OrderDecision>& /*out*/) {
  if (has_stale_number_ && event.fencing_number <= stale_fencing_number_) return;
  if (event.fencing_number < fencing_number_) return;
  if (event.fencing_number > fencing_number_ || !holds_lease_) {
    // Orders sent under an earlier tenure may be lost; they are sent again with the new number.
    for (auto& [target, queue] : queues_) {
      for (PendingOrder& it : queue) it.outstanding = false;
    }
  }
  holds_lease_ = true;
  fencing_number_ = event.fencing_number;
  expires_ = event.expires;
  previous_lease_end_ = event.previous_lease_end;
}

void OrderIssuer::StopIssuing() { holds_lease_ = false; }

void OrderIssuer::On(const LeaseLost& /*event*/, std::vector<OrderDecision>& out) {
  StopIssuing();
  for (const auto& [id, target] : std::exchange(target_by_order_, {})) {
    out.emplace_back(OrderSettled{
        id, base::Fail(base::ErrorCode::kConflict, "another instance issues orders now",
                       base::Verdict::kMayHaveRun)});
  }
  queues_.clear();
}

void OrderIssuer::On(const OrderRequested& event, std::vector<OrderDecision>& out) {
  const EngineOrder& order = event.order;
  if (target_by_order_.contains(order.id)) return;
  if (target_by_order_.size() >= settings_.max_queued) {
    out.emplace_back(
        OrderSettled{order.id, base::Fail(base::ErrorCode::kOverloaded, "too many orders wait",
                                          base::Verdict::kNotRun, settings_.retry_pause)});
    return;
  }
  target_by_order_.emplace(order.id, order.target);
  queues_[order.target].push_back({order, event.checks_fencing, false, 0, now_});
}

void OrderIssuer::On(const OrderAnswered& event, std::vector<OrderDecision>& out) {
  if (event.outcome == OrderOutcome::kStaleFencingNumber &&
      event.fencing_number == fencing_number_) {
    has_stale_number_ = true;
    stale_fencing_number_ = std::max(stale_fencing_number_, event.fencing_number);
    On(LeaseLost{}, out);
    return;
  }
  const auto target = target_by_order_.find(event.id);
  if (target == target_by_order_.end() || event.fencing_number != fencing_number_) return;
  auto& queue = queues_.at(target->second);
  PendingOrder& front = queue.front();
  if (front.order.id != event.id || !front.outstanding) return;
  front.outstanding = false;
  if (event.outcome == OrderOutcome::kFailed && front.attempts < settings_.max_attempts) {
    front.not_before = now_ + settings_.retry_pause;
    return;
  }
  OrderSettled settled{event.id, {}};
  if (event.outcome != OrderOutcome::kDone) {
    settled.result = base::Fail(base::ErrorCode::kTargetFailed, "the engine did not confirm",
                                base::Verdict::kMayHaveRun);
  }
  out.emplace_back(std::move(settled));
  queue.pop_front();
  if (queue.empty()) queues_.erase(target->second);
  target_by_order_.erase(target);
}

void OrderIssuer::On(const OrderTick& /*event*/, std::vector<OrderDecision>& /*out*/) {}

void OrderIssuer::Send(std::vector<OrderDecision>& out) {
  if (!holds_lease_) return;
  // A send that outlives the lease could reach an engine after the next holder's order.
  const base::Duration left = expires_ - now_;
  if (left < settings_.send_timeout) return;
  for (auto& [target, queue] : queues_) {
    PendingOrder& front = queue.front();
    if (front.outstanding || now_ < front.not_before) continue;
    if (!front.checks_fencing && now_ < previous_lease_end_) continue;
    front.outstanding = true;
    ++front.attempts;
    out.emplace_back(IssueOrder{front.order, fencing_number_, settings_.send_timeout});
  }
}

}  // namespace persimmonstair::routing
