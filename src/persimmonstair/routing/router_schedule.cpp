#include <algorithm>
#include <cmath>

#include "router_state.hpp"

namespace persimmonstair::routing {
namespace {

// Number of free targets for which the exact estimate is made, in addition to the one that has the
// prefix cached. They rank best by load and speed, so a target of lower rank could only be better
// if it has the prefix cached.
constexpr int kCandidates = 8;
// Maximum number of requests that are left waiting for busy engines (Settings::plan_ahead) before a
// scheduling pass stops; the requests behind them wait too.
constexpr int kPlanAheadScan = 64;

base::Duration FromSeconds(double seconds) {
  return base::Duration{static_cast<std::int64_t>(std::llround(seconds * 1e6))};
}

bool HoldsPrefix(const Request& request, const Target& target) {
  return !request.spec.last_target.empty() && request.spec.last_target == target.entry.id;
}

}  // namespace

void Router::State::MarkAllClassesChanged() {
  for (auto& [key, it] : targets.Classes()) it.changed = true;
}

void Router::State::Schedule() {
  while (queued > 0) {
    // Where classes share targets, the class that was served least recently goes first.
    RequestClass* next = nullptr;
    for (auto& [key, it] : targets.Classes()) {
      if (!it.changed || it.queue.empty() || it.available.empty()) continue;
      if (next == nullptr || it.last_served_dispatch < next->last_served_dispatch) next = &it;
    }
    if (next == nullptr) return;
    if (!ScheduleOne(*next)) next->changed = false;
  }
}

bool Router::State::ScheduleOne(RequestClass& request_class) {
  Request* chosen = nullptr;
  Target* chosen_target = nullptr;
  Request* head = nullptr;
  std::uint32_t seen = 0;
  int waiting = 0;
  // Number of requests earlier in the queue that wait for each busy engine.
  std::map<const Target*, int> ahead;
  request_class.queue.VisitInOrder([&](Request& request) {
    Target* best = BestAvailableTarget(request);
    if (best == nullptr) return false;
    if (settings.plan_ahead && !HoldsPrefix(request, *best)) {
      const Target* holder = BusyPrefixHolder(request);
      if (holder != nullptr && ShouldWaitForHolder(request, *best, *holder, ahead[holder])) {
        ++ahead[holder];
        return ++waiting >= kPlanAheadScan;
      }
    }
    if (head == nullptr) {
      head = chosen = &request;
      chosen_target = best;
      if (HoldsPrefix(request, *best) || request.bypassed >= settings.affinity_window) return true;
    } else if (HoldsPrefix(request, *best)) {
      chosen = &request;
      chosen_target = best;
      return true;
    }
    return ++seen >= settings.affinity_window;
  });
  if (chosen == nullptr) return false;
  if (crashes.IsPoison({chosen->spec.workspace, chosen->spec.fingerprint})) {
    Dequeue(*chosen);
    RefuseRequest(*chosen, base::ErrorCode::kPoisonRequest, "this request crashed several targets",
                  {});
    return true;
  }
  if (chosen != head) ++head->bypassed;
  Start(*chosen, *chosen_target);
  return true;
}

bool Router::State::MayRun(const Request& request, const Target& target) const {
  // Two requests that both took part in a crash don't run at the same target at the same time, so
  // that the next crash shows which of them is the cause.
  if (!target.is_available || target.crash_suspects == 0) return target.is_available;
  return !crashes.InvolvedInCrash({request.spec.workspace, request.spec.fingerprint});
}

Target* Router::State::BestAvailableTarget(const Request& request) const {
  Target* best = nullptr;
  double best_s = 0;
  bool best_failed = false;
  const auto consider = [&](Target* target) {
    if (!MayRun(request, *target)) return false;
    double seconds = ServiceSeconds(request, *target) + DelayToOthersSeconds(request, *target);
    if (target->entry.data_centre != settings.data_centre) {
      seconds += base::ToSeconds(settings.remote_penalty);
    }
    const bool failed = request.failed_at.contains(target->index);
    const bool better =
        best == nullptr || (best_failed && !failed) || (best_failed == failed && seconds < best_s);
    if (!better) return true;
    best = target;
    best_s = seconds;
    best_failed = failed;
    return true;
  };
  int considered = 0;
  for (const auto& [rank, target] : request.request_class->available) {
    if (consider(target) && ++considered >= kCandidates && !best_failed) break;
  }
  if (request.spec.last_target.empty()) return best;
  const auto it = targets.All().find(request.spec.last_target);
  if (it == targets.All().end() || !it->second->is_available) return best;
  const auto& classes = it->second->classes;
  const bool serves = std::ranges::find(classes, request.request_class) != classes.end();
  if (serves) consider(it->second.get());
  return best;
}

const Target* Router::State::BusyPrefixHolder(const Request& request) const {
  if (request.spec.last_target.empty()) return nullptr;
  const Target* holder = targets.Find(request.spec.last_target);
  if (holder == nullptr || !TargetTable::Usable(*holder) || holder->is_available) return nullptr;
  const auto& classes = holder->classes;
  const bool serves = std::ranges::find(classes, request.request_class) != classes.end();
  return serves ? holder : nullptr;
}

bool Router::State::ShouldWaitForHolder(const Request& request, const Target& free,
                                        const Target& holder, int ahead) const {
  const double seconds_at_free =
      ServiceSeconds(request, free) + DelayToOthersSeconds(request, free);
  const double seconds_at_holder =
      ServiceSeconds(request, holder) + DelayToOthersSeconds(request, holder);
  // If the request waited longer than the time it can save, a wrong estimate would cost more than
  // twice the better choice.
  if (base::ToSeconds(now - request.queued_at) > seconds_at_free - seconds_at_holder) return false;
  return (ahead + 1) * SlotWaitSeconds(request, holder) + seconds_at_holder < seconds_at_free;
}

void Router::State::Charge(Request& request, double seconds, bool served) {
  request.request_class->queue.Charge(*request.workspace, seconds, served);
  if (request.program == nullptr || seconds == 0) return;
  request.program->attained_s += seconds;
  for (Request* it : request.program->queued) it->request_class->queue.Reorder(*it);
}

void Router::State::Start(Request& request, Target& target) {
  Dequeue(request);
  request.running = true;
  request.attempt = {next_attempt++};
  request.target = &target;
  request.dispatched_at = now;
  request.first_byte = request.cancel_sent = false;
  request.crash_suspect =
      crashes.InvolvedInCrash({request.spec.workspace, request.spec.fingerprint});
  request.fresh_connection = request.attempts > 0 || target.health.fresh_connections_only;
  request.charged_s = ChargeSeconds(request, target);
  request.prefill_s = PrefillSeconds(request, target);
  request.request_class->last_served_dispatch = ++dispatches;
  if (request.attempts == 0) retry_budget.OnFirstDispatch();
  attempts.emplace(request.attempt, &request);
  expiries.emplace(request.deadline, request.spec.request.value);
  Charge(request, request.charged_s, true);
  if (request.program != nullptr) ++request.program->running;

  const base::Duration left = request.deadline - now;
  base::Duration first_byte = left;
  if (request.request_class->engine) {
    const double prefill = target.prefill_backlog_s + request.prefill_s;
    first_byte = std::min(left, settings.first_byte_base + FromSeconds(kFirstByteFactor * prefill));
  }
  target.prefill_backlog_s += request.prefill_s;
  if (request.crash_suspect) ++target.crash_suspects;
  targets.ChangeOwnInFlight(now, target, 1);
  targets.UpdateAvailability(target);
  out.emplace_back(Dispatch{request.spec.request, request.attempt, target.entry.id,
                            request.attempts++, std::min(settings.connect_timeout, left),
                            first_byte, settings.between_bytes_timeout, left,
                            request.fresh_connection});
}

}  // namespace persimmonstair::routing
