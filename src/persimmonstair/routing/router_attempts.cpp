#include <algorithm>
#include <string>

#include "router_state.hpp"

namespace persimmonstair::routing {
namespace {

// Maximum number of attempts of a request; limits how long a caller waits for a request that fails
// at every target.
constexpr std::uint32_t kMaxAttempts = 3;
// Weight of a new measurement in the moving average of the time that a request occupies a slot.
constexpr double kServiceTimeSmoothing = 0.05;
constexpr base::Duration kRetryHint{1'000'000};

base::ErrorCode CodeOf(FailureKind kind) {
  switch (kind) {
    case FailureKind::kConnectTimeout:
    case FailureKind::kFirstByteTimeout:
    case FailureKind::kBetweenBytesTimeout:
      return base::ErrorCode::kTimeout;
    case FailureKind::kMalformedAnswer:
      return base::ErrorCode::kIncompleteAnswer;
    default:
      return base::ErrorCode::kTargetFailed;
  }
}

}  // namespace

Request* Router::State::RunningAttempt(base::AttemptId attempt) {
  const auto it = attempts.find(attempt);
  return it == attempts.end() ? nullptr : it->second;
}

void Router::State::On(const AttemptStarted& event) {
  if (Request* request = RunningAttempt(event.attempt)) {
    request->verdict = base::Combine(request->verdict, base::Verdict::kMayHaveRun);
  }
}

void Router::State::On(const AttemptFirstByte& event) {
  Request* request = RunningAttempt(event.attempt);
  if (request == nullptr || request->first_byte) return;
  request->first_byte = true;
  request->verdict = base::Combine(request->verdict, base::Verdict::kMayHaveRun);
  Target& target = *request->target;
  target.prefill_backlog_s = std::max(0.0, target.prefill_backlog_s - request->prefill_s);
  if (request->fresh_connection) target.health.fresh_connections_only = false;
  targets.UpdateAvailability(target);
}

void Router::State::Release(Request& request, double measured_s) {
  Target& target = *request.target;
  if (!request.first_byte) {
    target.prefill_backlog_s = std::max(0.0, target.prefill_backlog_s - request.prefill_s);
  }
  if (request.crash_suspect) --target.crash_suspects;
  targets.ChangeOwnInFlight(now, target, -1);
  if (target.own_in_flight == 0) target.prefill_backlog_s = 0;
  attempts.erase(request.attempt);
  expiries.erase({request.deadline, request.spec.request.value});
  if (request.program != nullptr) {
    --request.program->running;
    request.program->last_used_at = now;
  }
  request.workspace->attained_us +=
      request.request_class->engine ? static_cast<std::uint64_t>(measured_s * 1e6) : 0;
  Charge(request, measured_s - request.charged_s, false);
  request.running = false;
  targets.UpdateAvailability(target);
}

void Router::State::On(const AttemptFinished& event) {
  Request* request = RunningAttempt(event.attempt);
  if (request == nullptr) return;
  Target& target = *request->target;
  RequestClass& it = *request->request_class;
  const double elapsed = base::ToSeconds(now - request->dispatched_at);
  it.mean_service_s += kServiceTimeSmoothing * (elapsed - it.mean_service_s);
  const double slots = std::max<std::uint32_t>(1, target.entry.slots);
  if (request->fresh_connection) target.health.fresh_connections_only = false;
  Release(*request, it.engine ? MeasuredSeconds(target, event) : elapsed / slots);
  const CrashHistory::Fingerprint fingerprint{request->spec.workspace, request->spec.fingerprint};
  if (crashes.InvolvedInCrash(fingerprint)) {
    // Queued requests with the same fingerprint may now run beside other crash suspects.
    crashes.Clear(fingerprint);
    MarkAllClassesChanged();
  }
  if (event.leaving) {
    targets.RecordLeavingReport(target, true, now);
    out.emplace_back(BroadcastTargetSuspect{target.entry.id, true});
  }
  End(*request);
}

void Router::State::RecordCrash(const Request& request) {
  const base::TargetId& target = request.target->entry.id;
  crashes.Add(now, {request.spec.workspace, request.spec.fingerprint}, target);
  out.emplace_back(BroadcastPoisonReport{request.spec.workspace, request.spec.fingerprint, target});
}

void Router::State::On(const AttemptFailed& event) {
  Request* request = RunningAttempt(event.attempt);
  if (request == nullptr) return;
  Target& target = *request->target;
  request->verdict = base::Combine(request->verdict, event.verdict);
  const double slots = std::max<std::uint32_t>(1, target.entry.slots);
  const double elapsed = base::ToSeconds(now - request->dispatched_at);
  const bool nothing_ran = event.verdict == base::Verdict::kNotRun;
  Release(*request, nothing_ran ? 0 : std::min(elapsed / slots, request->charged_s));
  if (event.leaving) {
    targets.RecordLeavingReport(target, true, now);
    out.emplace_back(BroadcastTargetSuspect{target.entry.id, true});
  } else {
    request->failed_at.insert(target.index);
    if (event.kind == FailureKind::kConnectionClosed && !nothing_ran) RecordCrash(*request);
    HandleConnectionFault(target, event.kind, request->fresh_connection);
  }
  RetryOrRefuse(*request, event);
}

bool Router::State::MayRetry(const Request& request, const AttemptFailed& event) {
  if (event.partly_relayed || event.kind == FailureKind::kCancelled) return false;
  if (!request.spec.idempotent && request.verdict != base::Verdict::kNotRun) return false;
  if (request.request_class->serving_targets == 0 || request.deadline <= now) return false;
  if (queued >= settings.max_queued && !TryEvictFor(*request.workspace)) return false;
  // A leaving target refuses immediately and gets no further requests, so the number of targets
  // limits these retries. If they were taken from the budget, requests would be refused during a
  // rolling restart.
  if (event.leaving) return true;
  return request.attempts < kMaxAttempts && retry_budget.TryTake();
}

void Router::State::RetryOrRefuse(Request& request, const AttemptFailed& event) {
  const CrashHistory::Fingerprint fingerprint{request.spec.workspace, request.spec.fingerprint};
  if (request.cancelled) {
    End(request);
    return;
  }
  if (crashes.IsPoison(fingerprint)) {
    RefuseRequest(request, base::ErrorCode::kPoisonRequest, "this request crashed several targets",
                  {});
    return;
  }
  if (MayRetry(request, event)) {
    request.queued_at = now;
    request.program = ProgramOf(request);
    Enqueue(request);
    return;
  }
  if (event.kind == FailureKind::kCancelled && request.deadline <= now) {
    RefuseRequest(request, base::ErrorCode::kTimeout, "deadline passed", {});
    return;
  }
  const bool again = request.spec.idempotent || request.verdict == base::Verdict::kNotRun;
  RefuseRequest(request, CodeOf(event.kind), "target did not give a complete response",
                again ? kRetryHint : base::Duration{0});
}

}  // namespace persimmonstair::routing
