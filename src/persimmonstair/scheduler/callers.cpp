#include <algorithm>
#include <nlohmann/json.hpp>

#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Verdict;

constexpr std::chrono::seconds kDefaultDeadline{120};
constexpr std::chrono::seconds kChangeDeadline{10};
/// Delay after a request's deadline before ExpireRequests() ends it. The library that handles the
/// request normally ends it earlier, with a more precise error.
constexpr std::chrono::seconds kExpiryDelay{2};

bool IsOperatorCall(CallKind kind) {
  return kind == CallKind::kReadCatalogue || kind == CallKind::kChangeCatalogue ||
         kind == CallKind::kReadHistory;
}

bool IsRateLimited(CallKind kind) {
  return kind == CallKind::kOpenProgram || kind == CallKind::kTurn ||
         kind == CallKind::kServiceCall;
}

std::string ErrorReplyBody(const base::Error& error) {
  return nlohmann::json{{"error",
                         {{"code", base::ToString(error.code)},
                          {"message", error.message},
                          {"verdict", base::ToString(error.verdict)},
                          {"retry_after_ms", base::ToMillis(error.retry_after)}}}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

Request* Scheduler::Impl::Find(base::RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

void Scheduler::Impl::OnEvent(CallerRequest& event) {
  Request request;
  request.call = std::move(event);
  Accept(std::move(request));
}

void Scheduler::Impl::Accept(Request request) {
  const base::RequestId id = request.call.request;
  if (requests_.contains(id)) return;
  const bool operator_call = IsOperatorCall(request.call.kind);
  const base::Duration default_timeout =
      operator_call ? base::Duration{kChangeDeadline} : base::Duration{kDefaultDeadline};
  const base::Duration timeout =
      request.call.deadline.count() > 0 ? request.call.deadline : default_timeout;
  request.call.deadline = timeout;
  request.deadline = now_.monotonic + timeout;
  auto& stored = requests_.emplace(id, std::move(request)).first->second;
  if (RejectsNewRequests() && stored.origin.empty()) {
    return FinishError(id, {ErrorCode::kStopping, "this instance is stopping", Verdict::kNotRun,
                            std::chrono::seconds{1}});
  }
  if (!Ready()) {
    return FinishError(
        id, {ErrorCode::kLogUnavailable, "this instance has not finished reading the log",
             Verdict::kNotRun, std::chrono::seconds{1}});
  }
  if (const auto done = Authenticate(stored); !done) return FinishError(id, done.error());
  if (operator_call) return HandleOperatorCall(id);
  if (!stored.origin.empty() || !IsRateLimited(stored.call.kind) || stored.workspace.empty()) {
    return StartRequest(id);
  }
  Admit(stored);
}

base::Result<void> Scheduler::Impl::Authenticate(Request& request) {
  const auto& routes = document().routes;
  const auto route = routes.find(request.call.route);
  const bool service = request.call.kind == CallKind::kServiceCall;
  if (service && route == routes.end()) {
    return Fail(ErrorCode::kNotFound, "unknown route '" + request.call.route.value + "'");
  }
  if (service) {
    request.idempotent = route->second.idempotent;
    request.entry_class = route->second.ownership.entry_class;
    if (route->second.open && !request.call.key) return {};
  }
  // The instance that forwarded the request authenticated it. The key is checked again because it
  // may have been withdrawn in the meantime.
  if (!request.origin.empty()) {
    if (!IsKeyValid(request)) return Fail(ErrorCode::kUnauthorized, "the key is not valid");
    return {};
  }
  if (!request.call.key) return Fail(ErrorCode::kUnauthorized, "a key is required");
  const catalogue::Key* key = catalogue_.FindKey(*request.call.key);
  if (key == nullptr) return Fail(ErrorCode::kUnauthorized, "the key is not valid");
  const bool is_operator = key->role == catalogue::KeyRole::kOperator;
  if (is_operator != IsOperatorCall(request.call.kind)) {
    return Fail(ErrorCode::kForbidden,
                is_operator ? "an operator key cannot be used for program and service calls"
                            : "this call requires an operator key");
  }
  request.key = key->id;
  request.workspace = key->workspace;
  if (!service) request.entry_class = key->ownership.entry_class;
  return CheckIsolation();
}

base::Result<void> Scheduler::Impl::CheckIsolation() const {
  const base::TimePoint begin = started_at_.value_or(now_.monotonic);
  const base::TimePoint last_log_read = log_read_at_.value_or(begin);
  const base::TimePoint last_contact =
      std::max(last_log_read, liveness_.LastHeartbeat().value_or(begin));
  const base::TimePoint last_remote_contact =
      std::max(last_log_read, liveness_.LastHeartbeatFromOtherDataCentre().value_or(begin));
  if (now_.monotonic - last_contact > options_.alone_stop) {
    return Fail(ErrorCode::kLogUnavailable,
                "this instance can reach neither the log nor another instance, so it cannot learn "
                "whether the key was withdrawn");
  }
  if (now_.monotonic - last_remote_contact > options_.datacentre_stop) {
    return Fail(ErrorCode::kLogUnavailable,
                "this data centre has reached neither the log nor another data centre for longer "
                "than the setting datacentre_stop_ms allows");
  }
  return {};
}

bool Scheduler::Impl::IsKeyValid(const Request& request) const {
  if (request.key.empty()) return request.workspace.empty();
  const auto it = document().keys.find(request.key);
  return it != document().keys.end() && it->second.workspace == request.workspace &&
         !catalogue_.IsDenied(request.key);
}

void Scheduler::Impl::Admit(Request& request) {
  const base::RequestId id = request.call.request;
  auto [admission, output] = limiter_.Admit(now_.monotonic, request.workspace, id);
  request.stage = RequestStage::kRateLimit;
  if (admission.decision == limits::Decision::kAdmitted) {
    StartRequest(id);
  } else if (admission.decision == limits::Decision::kRefused) {
    ++rate_refusals_;
    FinishError(id, {ErrorCode::kRateLimited, "the rate limit of the workspace is exceeded",
                     Verdict::kNotRun, admission.retry_after});
  }
  Perform(std::move(output));
}

void Scheduler::Impl::Perform(limits::LimiterOutput output) {
  for (const auto& record : output.records) AppendRecord(kControlStream, record);
  for (auto& message : output.messages) SendReliable(message.to, std::move(message.message));
  for (const auto& id : output.admitted) {
    if (Find(id) != nullptr) StartRequest(id);
  }
  for (const auto& refusal : output.refused) {
    ++rate_refusals_;
    FinishError(refusal.request,
                {ErrorCode::kRateLimited, "the rate limit of the workspace is exceeded",
                 Verdict::kNotRun, refusal.retry_after});
  }
}

void Scheduler::Impl::StartRequest(base::RequestId id) {
  const Request* request = Find(id);
  if (request == nullptr) return;
  if (request->call.kind == CallKind::kServiceCall) return StartServiceCall(id);
  StartProgramCall(id);
}

void Scheduler::Impl::Finish(base::RequestId id, std::uint32_t status,
                             std::map<std::string, std::string> headers, std::string body) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  const Request request = std::move(it->second);
  requests_.erase(it);
  if (!request.origin.empty()) peer_requests_.erase({request.origin, request.origin_request});
  if (request.needs_no_reply) return;
  headers.try_emplace("content-type", "application/json");
  Emit(Reply{id, status, std::move(headers), std::move(body), request.workspace,
             request.entry_class});
}

// The effect may still happen. The caller gets the error now, and the request is kept without a
// caller until the outcome is recorded.
void Scheduler::Impl::ReplyBeforeOutcome(base::RequestId id, const base::Error& error) {
  Request& request = *Find(id);
  if (request.needs_no_reply) return;
  Request without_reply = request;
  FinishError(id, error);
  without_reply.needs_no_reply = true;
  without_reply.origin = {};
  requests_.emplace(id, std::move(without_reply));
}

void Scheduler::Impl::FinishError(base::RequestId id, const base::Error& error) {
  const Request* request = Find(id);
  if (request == nullptr) return;
  base::Error reply_error = error;
  reply_error.verdict = base::Combine(error.verdict, request->verdict);
  std::map<std::string, std::string> headers{
      {"persimmonstair-verdict", std::string(base::ToString(reply_error.verdict))}};
  if (reply_error.retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(reply_error.retry_after).count();
    headers["retry-after"] = std::to_string(seconds);
  }
  std::string body = ErrorReplyBody(reply_error);
  if (request->stream_begun) body = "data: " + body + "\n\ndata: [DONE]\n\n";
  Finish(id, static_cast<std::uint32_t>(base::HttpStatus(reply_error.code)), std::move(headers),
         std::move(body));
}

void Scheduler::Impl::OnEvent(const CallerGone& event) {
  Request* request = Find(event.request);
  if (request == nullptr) return;
  const base::RequestId id = event.request;
  request->needs_no_reply = true;
  switch (request->stage) {
    case RequestStage::kRateLimit:
      limiter_.Cancel(request->workspace, id);
      return Finish(id, 499, {}, "");
    case RequestStage::kForwarded:
      SendReliable(request->handler, schema::ForwardedCancel{id});
      return Finish(id, 499, {}, "");
    case RequestStage::kRouting:
      if (request->call.kind != CallKind::kServiceCall || !request->idempotent) break;
      CancelRouting(id);
      return Finish(id, 499, {}, "");
    case RequestStage::kProgram:
    case RequestStage::kEffect:
    case RequestStage::kCatalogue:
      break;
  }
  // Turns and effects continue without a caller. Their result is recorded and returned to a
  // repeated request.
  if (request->call.kind == CallKind::kTurn) store_.Forget(id);
}

void Scheduler::Impl::CancelRouting(base::RequestId id) { Route(routing::RequestCancelled{id}); }

void Scheduler::Impl::Abort(base::RequestId id, const base::Error& error) {
  Request* req = Find(id);
  if (req == nullptr) return;
  base::Error err = error;
  // The verdict of a finished attempt is known; only a running attempt may still have an effect.
  const bool running = attempts_.contains(req->attempt);
  err.verdict = base::Combine(err.verdict, req->verdict);
  if (running || req->stage == RequestStage::kForwarded) {
    err.verdict = base::Combine(err.verdict, Verdict::kMayHaveRun);
  }
  const CallKind kind = req->call.kind;
  if (req->stage == RequestStage::kRateLimit) limiter_.Cancel(req->workspace, id);
  if (req->stage == RequestStage::kForwarded) {
    SendReliable(req->handler, schema::ForwardedCancel{id});
  }
  const bool effect = kind == CallKind::kServiceCall && !req->idempotent;
  if (req->stage == RequestStage::kRouting && effect && running) return ReplyBeforeOutcome(id, err);
  if (req->stage == RequestStage::kRouting) {
    CancelRouting(id);
    FailRequest(id, err);
  }
  FinishError(id, err);
}

void Scheduler::Impl::ExpireRequests() {
  std::vector<base::RequestId> due;
  std::vector<base::RequestId> lost;
  for (const auto& [id, request] : requests_) {
    if (now_.monotonic >= request.deadline + kExpiryDelay) due.push_back(id);
    if (request.stage == RequestStage::kForwarded &&
        liveness_.StateOf(request.handler, now_.monotonic) == membership::LivenessState::kDead) {
      lost.push_back(id);
    }
  }
  for (const auto& id : lost) {
    FinishError(id,
                {ErrorCode::kOwnerUnavailable, "the instance that handled the request has failed",
                 Verdict::kMayHaveRun, std::chrono::seconds{5}});
  }
  for (const auto& id : due) {
    const Request* request = Find(id);
    if (request == nullptr) continue;
    const bool outcome_unknown =
        request->stage == RequestStage::kCatalogue || request->stage == RequestStage::kProgram;
    Abort(id, {ErrorCode::kTimeout,
               "the deadline of the request passed",
               outcome_unknown ? Verdict::kMayHaveRun : Verdict::kNotRun,
               {}});
  }
}

void Scheduler::Impl::EndRequestsOfInvalidKeys() {
  std::vector<base::RequestId> due;
  for (const auto& [id, request] : requests_) {
    if (!request.key.empty() && !IsKeyValid(request)) due.push_back(id);
  }
  for (const auto& id : due) {
    Abort(id, {ErrorCode::kUnauthorized, "the key was withdrawn", Verdict::kNotRun, {}});
  }
}

}  // namespace persimmonstair::scheduler
