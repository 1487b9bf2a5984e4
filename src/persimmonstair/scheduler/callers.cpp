#include <algorithm>
#include <nlohmann/json.hpp>

#include "core.hpp"

namespace persimmonstair::scheduler {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Verdict;

constexpr std::chrono::seconds kDefaultDeadline{120};
constexpr std::chrono::seconds kChangeDeadline{10};
/// Added to a request's deadline before it is ended here; the library that handles it ends it
/// first, with a more precise error.
constexpr std::chrono::seconds kDeadlineSlack{2};

bool IsOperatorCall(CallKind kind) {
  return kind == CallKind::kReadCatalogue || kind == CallKind::kChangeCatalogue ||
         kind == CallKind::kReadHistory;
}

bool IsCharged(CallKind kind) {
  return kind == CallKind::kOpenProgram || kind == CallKind::kTurn ||
         kind == CallKind::kServiceCall;
}

std::string ErrorText(const base::Error& error) {
  return nlohmann::json{{"error",
                         {{"code", base::ToString(error.code)},
                          {"message", error.message},
                          {"verdict", base::ToString(error.verdict)},
                          {"retry_after_ms", base::ToMillis(error.retry_after)}}}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

Request* Scheduler::Core::Find(base::RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

void Scheduler::Core::On(CallerRequest& event) {
  Request request;
  request.call = std::move(event);
  Accept(std::move(request));
}

void Scheduler::Core::Accept(Request request) {
  const base::RequestId id = request.call.request;
  if (requests_.contains(id)) return;
  const bool operator_call = IsOperatorCall(request.call.kind);
  const base::Duration fallback =
      operator_call ? base::Duration{kChangeDeadline} : base::Duration{kDefaultDeadline};
  const base::Duration limit = request.call.deadline.count() > 0 ? request.call.deadline : fallback;
  request.call.deadline = limit;
  request.deadline = now_.monotonic + limit;
  auto& stored = requests_.emplace(id, std::move(request)).first->second;
  if (RefusesNew() && stored.origin.empty()) {
    return FinishError(id, {ErrorCode::kStopping, "this instance is stopping", Verdict::kNotRun,
                            std::chrono::seconds{1}});
  }
  if (!Ready()) {
    return FinishError(id, {ErrorCode::kLogUnavailable, "this instance has not read the log yet",
                            Verdict::kNotRun, std::chrono::seconds{1}});
  }
  if (const auto done = Authenticate(stored); !done) return FinishError(id, done.error());
  if (operator_call) return ProceedOperator(id);
  if (!stored.origin.empty() || !IsCharged(stored.call.kind) || stored.workspace.empty()) {
    return Proceed(id);
  }
  Admit(stored);
}

base::Result<void> Scheduler::Core::Authenticate(Request& request) {
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
  // A forwarded request was authenticated at its entry instance; its key is checked again here,
  // because a withdrawal may have arrived in between.
  if (!request.origin.empty()) {
    if (!KeyStillValid(request)) return Fail(ErrorCode::kUnauthorized, "the key is not valid");
    return {};
  }
  if (!request.call.key) return Fail(ErrorCode::kUnauthorized, "a key is required");
  const catalogue::Key* key = catalogue_.FindKey(*request.call.key);
  if (key == nullptr) return Fail(ErrorCode::kUnauthorized, "the key is not valid");
  const bool is_operator = key->role == catalogue::KeyRole::kOperator;
  if (is_operator != IsOperatorCall(request.call.kind)) {
    return Fail(ErrorCode::kForbidden, is_operator ? "an operator's key cannot run requests"
                                                   : "this needs an operator's key");
  }
  request.key = key->id;
  request.workspace = key->workspace;
  if (!service) request.entry_class = key->ownership.entry_class;
  return CheckIsolation();
}

base::Result<void> Scheduler::Core::CheckIsolation() const {
  const base::TimePoint begin = started_.value_or(now_.monotonic);
  const base::TimePoint log = log_read_at_.value_or(begin);
  const base::TimePoint any = std::max(log, liveness_.LastHeartbeat().value_or(begin));
  const base::TimePoint elsewhere =
      std::max(log, liveness_.LastHeartbeatFromOtherDataCentre().value_or(begin));
  if (now_.monotonic - any > options_.alone_stop) {
    return Fail(ErrorCode::kLogUnavailable,
                "this instance hears neither the log nor another instance; a withdrawal of the "
                "key could not reach it");
  }
  if (now_.monotonic - elsewhere > options_.datacentre_stop) {
    return Fail(ErrorCode::kLogUnavailable,
                "this data centre has been cut off for longer than the setting allows");
  }
  return {};
}

bool Scheduler::Core::KeyStillValid(const Request& request) const {
  if (request.key.empty()) return request.workspace.empty();
  const auto it = document().keys.find(request.key);
  return it != document().keys.end() && it->second.workspace == request.workspace &&
         !catalogue_.IsDenied(request.key);
}

void Scheduler::Core::Admit(Request& request) {
  const base::RequestId id = request.call.request;
  auto [admission, output] = limiter_.Admit(now_.monotonic, request.workspace, id);
  request.stage = Stage::kLimit;
  if (admission.decision == limits::Decision::kAdmitted) {
    Proceed(id);
  } else if (admission.decision == limits::Decision::kRefused) {
    ++rate_refusals_;
    FinishError(id, {ErrorCode::kRateLimited, "the workspace's rate is used up", Verdict::kNotRun,
                     admission.retry_after});
  }
  Perform(std::move(output));
}

void Scheduler::Core::Perform(limits::LimiterOutput output) {
  for (const auto& record : output.records) AppendRecord(kControlStream, record);
  for (auto& message : output.messages) SendReliable(message.to, std::move(message.message));
  for (const auto& id : output.admitted) {
    if (Find(id) != nullptr) Proceed(id);
  }
  for (const auto& refusal : output.refused) {
    ++rate_refusals_;
    FinishError(refusal.request, {ErrorCode::kRateLimited, "the workspace's rate is used up",
                                  Verdict::kNotRun, refusal.retry_after});
  }
}

void Scheduler::Core::Proceed(base::RequestId id) {
  const Request* request = Find(id);
  if (request == nullptr) return;
  if (request->call.kind == CallKind::kServiceCall) return ProceedService(id);
  ProceedProgram(id);
}

void Scheduler::Core::Finish(base::RequestId id, std::uint32_t status,
                             std::map<std::string, std::string> headers, std::string body) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  const Request request = std::move(it->second);
  requests_.erase(it);
  if (!request.origin.empty()) forwarded_in_.erase({request.origin, request.origin_request});
  if (request.abandoned) return;
  headers.try_emplace("content-type", "application/json");
  Emit(Reply{id, status, std::move(headers), std::move(body), request.workspace,
             request.entry_class});
}

// The effect may happen: its outcome is still recorded, and only this caller is told now.
void Scheduler::Core::AnswerEarly(base::RequestId id, const base::Error& error) {
  Request& request = *Find(id);
  if (request.abandoned) return;
  Request kept = request;
  FinishError(id, error);
  kept.abandoned = true;
  kept.origin = {};
  requests_.emplace(id, std::move(kept));
}

void Scheduler::Core::FinishError(base::RequestId id, const base::Error& error) {
  const Request* request = Find(id);
  if (request == nullptr) return;
  base::Error shown = error;
  shown.verdict = base::Combine(error.verdict, request->verdict);
  std::map<std::string, std::string> headers{
      {"persimmonstair-verdict", std::string(base::ToString(shown.verdict))}};
  if (shown.retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(shown.retry_after).count();
    headers["retry-after"] = std::to_string(seconds);
  }
  std::string body = ErrorText(shown);
  if (request->stream_begun) body = "data: " + body + "\n\ndata: [DONE]\n\n";
  Finish(id, static_cast<std::uint32_t>(base::HttpStatus(shown.code)), std::move(headers),
         std::move(body));
}

void Scheduler::Core::On(const CallerGone& event) {
  Request* request = Find(event.request);
  if (request == nullptr) return;
  const base::RequestId id = event.request;
  request->abandoned = true;
  switch (request->stage) {
    case Stage::kLimit:
      limiter_.Cancel(request->workspace, id);
      return Finish(id, 499, {}, "");
    case Stage::kForwarded:
      SendReliable(request->handler, schema::ForwardedCancel{id});
      return Finish(id, 499, {}, "");
    case Stage::kRouting:
      if (request->call.kind != CallKind::kServiceCall || !request->idempotent) break;
      AbandonRouting(id);
      return Finish(id, 499, {}, "");
    case Stage::kProgram:
    case Stage::kEffect:
    case Stage::kCatalogue:
      break;
  }
  // Turns and effects run on: their result is recorded, and a repeated request gets it.
  if (request->call.kind == CallKind::kTurn) store_.Forget(id);
}

void Scheduler::Core::AbandonRouting(base::RequestId id) { Route(routing::RequestCancelled{id}); }

void Scheduler::Core::Abort(base::RequestId id, const base::Error& error) {
  Request* request = Find(id);
  if (request == nullptr) return;
  base::Error shown = error;
  // A finished attempt has told its verdict; only a running one is open.
  const bool running = attempts_.contains(request->attempt);
  shown.verdict = base::Combine(shown.verdict, request->verdict);
  if (running || request->stage == Stage::kForwarded) {
    shown.verdict = base::Combine(shown.verdict, Verdict::kMayHaveRun);
  }
  const CallKind kind = request->call.kind;
  if (request->stage == Stage::kLimit) limiter_.Cancel(request->workspace, id);
  if (request->stage == Stage::kForwarded) {
    SendReliable(request->handler, schema::ForwardedCancel{id});
  }
  const bool effect = kind == CallKind::kServiceCall && !request->idempotent;
  if (request->stage == Stage::kRouting && effect && running) return AnswerEarly(id, shown);
  if (request->stage == Stage::kRouting) {
    AbandonRouting(id);
    FailRequest(id, shown);
  }
  FinishError(id, shown);
}

void Scheduler::Core::ExpireRequests() {
  std::vector<base::RequestId> due;
  std::vector<base::RequestId> lost;
  for (const auto& [id, request] : requests_) {
    if (now_.monotonic >= request.deadline + kDeadlineSlack) due.push_back(id);
    if (request.stage == Stage::kForwarded &&
        liveness_.StateOf(request.handler, now_.monotonic) == membership::LivenessState::kDead) {
      lost.push_back(id);
    }
  }
  for (const auto& id : lost) {
    FinishError(id, {ErrorCode::kOwnerUnavailable, "the instance that handles the request died",
                     Verdict::kMayHaveRun, std::chrono::seconds{5}});
  }
  for (const auto& id : due) {
    const Request* request = Find(id);
    if (request == nullptr) continue;
    const bool open_fate = request->stage == Stage::kCatalogue || request->stage == Stage::kProgram;
    Abort(id, {ErrorCode::kTimeout,
               "the deadline passed",
               open_fate ? Verdict::kMayHaveRun : Verdict::kNotRun,
               {}});
  }
}

void Scheduler::Core::EndRequestsOfInvalidKeys() {
  std::vector<base::RequestId> due;
  for (const auto& [id, request] : requests_) {
    if (!request.key.empty() && !KeyStillValid(request)) due.push_back(id);
  }
  for (const auto& id : due) {
    Abort(id, {ErrorCode::kUnauthorized, "the key was withdrawn", Verdict::kNotRun, {}});
  }
}

}  // namespace persimmonstair::scheduler
