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

std::size_t OrderIssuer::Waiting() const { return target_of_.size(); }

bool OrderIssuer::HoldsLease(base::TimePoint now) const { return held_ && now < expires_; }

void OrderIssuer::On(const LeaseGranted& event, std::vector<OrderDecision>& /*out*/) {
  if (any_stale_ && event.fence <= stale_fence_) return;
  if (event.fence < fence_) return;
  if (event.fence > fence_ || !held_) {
    // Orders sent under an earlier tenure may be lost; they are sent again with the new number.
    for (auto& [target, queue] : queues_) {
      for (Pending& it : queue) it.outstanding = false;
    }
  }
  held_ = true;
  fence_ = event.fence;
  expires_ = event.expires;
  previous_ended_ = event.previous_ended;
}

void OrderIssuer::EndTenure() { held_ = false; }

void OrderIssuer::On(const LeaseLost& /*event*/, std::vector<OrderDecision>& out) {
  EndTenure();
  for (const auto& [id, target] : std::exchange(target_of_, {})) {
    out.emplace_back(OrderSettled{
        id, base::Fail(base::ErrorCode::kConflict, "another instance issues orders now",
                       base::Verdict::kMayHaveRun)});
  }
  queues_.clear();
}

void OrderIssuer::On(const OrderRequested& event, std::vector<OrderDecision>& out) {
  const EngineOrder& order = event.order;
  if (target_of_.contains(order.id)) return;
  if (target_of_.size() >= settings_.max_queued) {
    out.emplace_back(
        OrderSettled{order.id, base::Fail(base::ErrorCode::kOverloaded, "too many orders wait",
                                          base::Verdict::kNotRun, settings_.retry_pause)});
    return;
  }
  target_of_.emplace(order.id, order.target);
  queues_[order.target].push_back({order, event.checks_fencing, false, 0, now_});
}

void OrderIssuer::On(const OrderAnswered& event, std::vector<OrderDecision>& out) {
  if (event.outcome == OrderOutcome::kStaleFence && event.fence == fence_) {
    any_stale_ = true;
    stale_fence_ = std::max(stale_fence_, event.fence);
    On(LeaseLost{}, out);
    return;
  }
  const auto target = target_of_.find(event.id);
  if (target == target_of_.end() || event.fence != fence_) return;
  auto& queue = queues_.at(target->second);
  Pending& front = queue.front();
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
  target_of_.erase(target);
}

void OrderIssuer::On(const OrderTick& /*event*/, std::vector<OrderDecision>& /*out*/) {}

void OrderIssuer::Send(std::vector<OrderDecision>& out) {
  if (!held_) return;
  // A send that outlives the lease could reach an engine after the next holder's order.
  const base::Duration left = expires_ - now_;
  if (left < settings_.send_timeout) return;
  for (auto& [target, queue] : queues_) {
    Pending& front = queue.front();
    if (front.outstanding || now_ < front.not_before) continue;
    if (!front.checks_fencing && now_ < previous_ended_) continue;
    front.outstanding = true;
    ++front.attempts;
    out.emplace_back(IssueOrder{front.order, fence_, settings_.send_timeout});
  }
}

}  // namespace persimmonstair::routing
