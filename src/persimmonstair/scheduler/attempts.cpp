#include <nlohmann/json.hpp>

#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {
namespace {

using base::ErrorCode;
using base::Verdict;

/// Whether a response with status 429 or 5xx states that the request did not run.
bool ReportsNotRun(const TargetDone& done) {
  if (done.status != 429 && done.status < 500) return false;
  const auto json = nlohmann::json::parse(done.body, nullptr, false);
  if (!json.is_object()) return false;
  const auto error = json.find("error");
  return error != json.end() && error->is_object() && error->value("verdict", "") == "not_run";
}

routing::FailureKind ToRoutingFailure(FailureKind kind) {
  return static_cast<routing::FailureKind>(kind);
}

}  // namespace

void Scheduler::Impl::Route(const routing::Event& event) {
  const auto decisions = router_.Handle(now_.monotonic, event);
  for (const auto& decision : decisions) {
    std::visit([this](const auto& value) { ExecuteAction(value); }, decision);
  }
}

bool Scheduler::Impl::AuthorizeDispatch(base::RequestId id, Request& request) {
  if (!IsKeyValid(request)) {
    Route(routing::RequestCancelled{id});
    FailRequest(id, {ErrorCode::kUnauthorized, "the key was withdrawn", Verdict::kNotRun, {}});
    return false;
  }
  if (request.turn) {
    programs::ProgramActions actions;
    const bool allowed = store_.ConfirmDispatch(now_, id, actions);
    if (!allowed) Route(routing::RequestCancelled{id});
    Perform(std::move(actions));
    return allowed;
  }
  if (request.idempotent) return true;
  effects::EffectActions actions;
  const bool allowed = effects_.ConfirmDispatch(now_, id, actions);
  if (!allowed) Route(routing::RequestCancelled{id});
  Perform(std::move(actions));
  return allowed;
}

Dispatch Scheduler::Impl::MakeDispatch(const routing::Dispatch& decision, const Request& request,
                                       const catalogue::Target& target) const {
  Dispatch out;
  out.attempt = decision.attempt;
  out.request = decision.request;
  out.target = decision.target;
  out.address = target.address;
  out.port = target.port;
  out.credential = target.credential;
  out.connect_timeout = decision.connect_timeout;
  out.first_byte_timeout = decision.first_byte_timeout;
  out.between_bytes_timeout = decision.between_bytes_timeout;
  out.fresh_connection = decision.fresh_connection;
  out.headers["content-type"] = "application/json";
  if (request.turn) {
    out.path = "/v1/chat/completions";
    out.body = request.turn->body;
    out.relay = request.turn->stream;
    out.headers["persimmonstair-program"] = request.turn->program.value;
    return out;
  }
  const catalogue::Route& route = document().routes.at(request.call.route);
  out.method = route.method;
  out.path = route.path;
  out.body = request.call.body;
  out.first_byte_timeout = std::min(out.first_byte_timeout, route.timeout);
  if (!request.idempotent) out.headers["idempotency-key"] = request.call.idempotency_key;
  return out;
}

void Scheduler::Impl::ExecuteAction(const routing::Dispatch& decision) {
  Request* request = Find(decision.request);
  const auto target = document().targets.find(decision.target);
  if (request == nullptr || target == document().targets.end()) {
    return Route(routing::RequestCancelled{decision.request});
  }
  if (request->call.kind == CallKind::kServiceCall &&
      !document().routes.contains(request->call.route)) {
    Route(routing::RequestCancelled{decision.request});
    return FailRequest(
        decision.request,
        {ErrorCode::kNotFound, "the route was removed from the catalogue", Verdict::kNotRun, {}});
  }
  if (!AuthorizeDispatch(decision.request, *request)) return;
  request = Find(decision.request);
  if (request == nullptr) return Route(routing::RequestCancelled{decision.request});
  request->dispatched = true;
  request->attempt = decision.attempt;
  attempts_[decision.attempt] = decision.request;
  attempt_targets_[decision.attempt] = decision.target;
  Emit(MakeDispatch(decision, *request, target->second));
}

void Scheduler::Impl::ExecuteAction(const routing::Refuse& decision) {
  FailRequest(decision.request, decision.error);
}

void Scheduler::Impl::ExecuteAction(const routing::CancelAttempt& decision) {
  Emit(CancelAttempt{decision.attempt});
}

void Scheduler::Impl::ExecuteAction(const routing::CloseIdle& decision) {
  Emit(CloseIdleConnections{decision.address, decision.port});
}

void Scheduler::Impl::ExecuteAction(const routing::BroadcastPoisonReport& decision) {
  Emit(BroadcastPeer{
      schema::PoisonReport{decision.workspace, decision.fingerprint, decision.target}});
}

void Scheduler::Impl::ExecuteAction(const routing::BroadcastTargetSuspect& decision) {
  Emit(BroadcastPeer{schema::TargetSuspect{decision.target, decision.leaving}});
}

void Scheduler::Impl::FailRequest(base::RequestId id, const base::Error& error) {
  Request* request = Find(id);
  if (request == nullptr) return;
  if (request->turn) {
    Perform(request->dispatched ? store_.OnTurnFailed(now_, id, error)
                                : store_.Withdraw(now_, id, error));
    return;
  }
  if (request->call.kind == CallKind::kServiceCall && !request->idempotent) {
    Perform(request->dispatched ? effects_.OnFailed(now_, id, error)
                                : effects_.Withdraw(now_, id, error));
    return;
  }
  FinishError(id, error);
}

void Scheduler::Impl::CompleteRequest(base::RequestId id, const TargetDone& event,
                                      const base::TargetId& target) {
  Request* request = Find(id);
  if (request == nullptr) return;
  request->verdict = Verdict::kRan;
  if (request->turn) {
    programs::TurnResult result{target, event.status, event.body, event.prompt_tokens,
                                event.completion_tokens};
    return Perform(store_.OnTurnDone(now_, id, result));
  }
  if (!request->idempotent) return Perform(effects_.OnDone(now_, id, event.status, event.body));
  Finish(id, event.status, {{"persimmonstair-verdict", "ran"}}, event.body);
}

void Scheduler::Impl::OnEvent(const TargetFirstByte& event) {
  const auto it = attempts_.find(event.attempt);
  if (it == attempts_.end()) return;
  if (Request* request = Find(it->second); request && request->turn && request->turn->stream) {
    request->stream_begun = true;
  }
  Route(routing::AttemptFirstByte{event.attempt});
}

void Scheduler::Impl::OnEvent(TargetDone& event) {
  if (EndInternalCall(event.attempt, &event)) return;
  const auto it = attempts_.find(event.attempt);
  if (it == attempts_.end()) return;
  const base::RequestId id = it->second;
  const base::TargetId target = attempt_targets_[event.attempt];
  attempts_.erase(it);
  attempt_targets_.erase(event.attempt);
  if ((event.status == 503 && event.leaving) || ReportsNotRun(event)) {
    // The response was an error document, so no part of a stream was sent to the caller.
    if (Request* request = Find(id)) request->stream_begun = false;
    return Route(routing::AttemptFailed{event.attempt, routing::FailureKind::kConnectRefused,
                                        Verdict::kNotRun, false, event.leaving});
  }
  Route(routing::AttemptFinished{event.attempt, event.prompt_tokens, event.cached_tokens,
                                 event.completion_tokens, event.leaving});
  CompleteRequest(id, event, target);
}

void Scheduler::Impl::OnEvent(const TargetFailed& event) {
  if (EndInternalCall(event.attempt, nullptr)) return;
  const auto it = attempts_.find(event.attempt);
  if (it == attempts_.end()) return;
  Request* request = Find(it->second);
  if (request != nullptr) {
    request->verdict = base::Combine(request->verdict, event.verdict);
    // Nothing was sent to the caller yet, so another attempt may start the stream from the
    // beginning.
    if (!event.partly_relayed) request->stream_begun = false;
  }
  attempts_.erase(it);
  attempt_targets_.erase(event.attempt);
  Route(routing::AttemptFailed{event.attempt, ToRoutingFailure(event.kind), event.verdict,
                               event.partly_relayed, false});
}

void Scheduler::Impl::OnEvent(const TargetReport& event) {
  Route(routing::TargetReported{event.target, event.running, event.waiting, event.leaving, {}});
  if (event.held) Perform(store_.OnEngineReport(now_, event.target, *event.held));
}

}  // namespace persimmonstair::scheduler
