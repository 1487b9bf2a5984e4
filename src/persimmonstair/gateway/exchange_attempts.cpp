#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <utility>

#include "caller_connection.hpp"
#include "clock.hpp"
#include "exchange.hpp"
#include "persimmonstair/base/http_status.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/quota/cold_target.hpp"

namespace persimmonstair::gateway {
namespace {

using base::Error;
using base::ErrorCode;
using base::Verdict;
using boost::asio::awaitable;
using diagnostics::Level;
using diagnostics::Log;
using std::chrono::milliseconds;

/// Maximum time to open a connection, through other instances if need be.
constexpr milliseconds kConnectTimeout{400};
/// Maximum time for a health check.
constexpr milliseconds kCheckTimeout{300};
/// Time without response after which an idempotent or resumable request goes to another target, in
/// multiples of the route's objective, and its minimum.
constexpr int kResponseTimeoutObjectives = 3;
constexpr milliseconds kMinResponseTimeout{600};
constexpr unsigned kFirstErrorStatus = 400;
/// Interim responses and responses to other requests that are skipped on a connection before the
/// attempt fails.
constexpr int kMaxMismatchedResponses = 3;
/// Maximum number of pieces in which a response body may come. Each one costs processor time, so
/// that tiny chunks without end would keep an instance busy.
constexpr std::size_t kMaxBodyPieces = 65'536;
/// Maximum size of a response body that is buffered in memory.
constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{8} << 20U;

// Callers take these statuses to mean that the request did not run, so a response with such a
// status must not be forwarded if the request may have run.
bool ImpliesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string_view ToText(dispatch::AttemptResult result) {
  switch (result) {
    case dispatch::AttemptResult::kAnswered:
      return "answered";
    case dispatch::AttemptResult::kRejected:
      return "rejected";
    case dispatch::AttemptResult::kUnreachable:
      return "unreachable";
    case dispatch::AttemptResult::kBroken:
      return "broken";
    case dispatch::AttemptResult::kCancelled:
      break;
  }
  return "cancelled";
}

std::string CheckResult(bool serves, bool answered) {
  if (serves) return "serves";
  return answered ? "refuses" : "unanswered";
}

}  // namespace

bool Exchange::MayRetry() const {
  const bool repeatable = route_->retry == RetryClass::kIdempotent ||
                          (route_->retry == RetryClass::kStream && route_->resumable);
  return repeatable && runs_ < std::max(1U, route_->attempts);
}

IdleReuse Exchange::MayReuse() const {
  return MayRetry() ? IdleReuse::kAnyIdle : IdleReuse::kRecentlyUsed;
}

base::Duration Exchange::RemainingTimeout() const {
  return std::max<base::Duration>(TimeLeft(), milliseconds{1});
}

base::Duration Exchange::ResponseTimeout() const {
  if (!MayRetry()) return RemainingTimeout();
  return std::min(RemainingTimeout(),
                  std::max<base::Duration>(kResponseTimeoutObjectives * route_->latency_objective,
                                           kMinResponseTimeout));
}

awaitable<void> Exchange::Dispatch() {
  for (;;) {
    const auto target = co_await ChooseTarget();
    if (!target) co_return;
    const Outcome outcome = co_await Attempt(*target);
    criteria_.skip.push_back(target->id);
    if (caller_.Disconnected()) {
      end_reason_ = "the caller disconnected";
      co_return;
    }
    if (outcome == Outcome::kFinished) {
      const bool answered = attempt_result_ == dispatch::AttemptResult::kAnswered;
      if (answered && status_ < kFirstErrorStatus) ReportAnswer();
      co_return;
    }
    if (outcome == Outcome::kNotRun) continue;
    may_have_run_.push_back(target->id);
    ReportReset(*target);
    const bool blocked = context_.fleet.Crashes().IsPoison(fingerprint_);
    if (MayRetry() && !blocked && !IsLate() && !tokens_exhausted_) continue;
    if (pending_failure_ && !stream_started_) {
      status_ = pending_failure_->first.status;
      end_reason_ = "the target responded with an error";
      co_await caller_.Respond(std::move(pending_failure_->first),
                               std::move(pending_failure_->second));
      co_return;
    }
    const bool late = IsLate();
    Error error{late ? ErrorCode::kTimeout : ErrorCode::kTargetFailed,
                "target " + target->id.value + ": " + attempt_error_,
                Verdict::kMayHaveRun,
                {}};
    co_await Fail(std::move(error));
    co_return;
  }
}

void Exchange::ReportAnswer() {
  if (!context_.fleet.Crashes().OnAnswered(fingerprint_)) return;
  Log(Level::kInfo, "crashes_cleared",
      {{"request", metadata_.request_id}, {"fingerprint", fingerprint_}});
}

void Exchange::ReportReset(const dispatch::TargetEntry& target) {
  if (!attempt_reset_) return;
  boost::asio::co_spawn(context_.executor,
                        context_.crash_detector.OnReset(metadata_.request_id, fingerprint_, target),
                        boost::asio::detached);
}

awaitable<Exchange::Outcome> Exchange::Attempt(const dispatch::TargetEntry& target) {
  attempt_result_ = dispatch::AttemptResult::kBroken;
  attempt_error_.clear();
  attempt_reset_ = false;
  reported_load_.reset();
  context_.target_registry.BeginAttempt(Now(), target.id, criteria_);
  const base::TimePoint begun_at = Now();
  std::unique_ptr<HttpConnection> connection;
  const Outcome outcome = co_await SendTo(target, connection);
  active_connection_ = nullptr;
  const bool answered = attempt_result_ == dispatch::AttemptResult::kAnswered ||
                        attempt_result_ == dispatch::AttemptResult::kRejected;
  const bool relayed = connection && connection->IsRelayed();
  if (answered && !relayed) context_.connector.OnAnswer(target.id);
  if (relayed) ++relayed_sends_;
  // The end of a relayed connection may be that of the relaying instance.
  if (relayed) attempt_reset_ = false;
  const bool cancelled = caller_.Disconnected() || stopped_;
  if (cancelled) attempt_result_ = dispatch::AttemptResult::kCancelled;
  if (attempt_result_ == dispatch::AttemptResult::kUnreachable) {
    context_.pool.DropTarget(target.id);
  } else if (attempt_error_ == "timeout") {
    context_.pool.DropIdleSince(target.id, begun_at);
  }
  const bool leaving = context_.target_registry.IsLeaving(target.id, target.started_ms);
  if (connection && !leaving && !IsEvacuated(target)) {
    context_.pool.Release(target, std::move(connection), metadata_.request_id);
  }
  context_.target_registry.EndAttempt(Now(), target.id, attempt_result_, reported_load_,
                                      TimesOf(begun_at));
  context_.metrics.CountAttempt(std::string(ToText(attempt_result_)));
  if (attempt_result_ != dispatch::AttemptResult::kAnswered) {
    Log(Level::kInfo, "attempt_ended",
        {{"request", metadata_.request_id},
         {"target", target.id.value},
         {"end", ToText(attempt_result_)},
         {"error", attempt_error_},
         {"sends", sends_},
         {"in_flight", context_.target_registry.InFlight(target.id)},
         {"ms", base::ToMillis(Now() - begun_at)}});
  }
  co_return outcome;
}

dispatch::AttemptTimes Exchange::TimesOf(base::TimePoint begun_at) const {
  dispatch::AttemptTimes times;
  times.request = criteria_.request;
  const bool sent = last_sent_at_ >= begun_at;
  times.sent_at = sent ? last_sent_at_ : begun_at;
  if (!sent) return times;
  times.total = Now() - last_sent_at_;
  const bool began_stream = stream_started_ && first_event_at_ >= last_sent_at_;
  if (began_stream) times.response = first_event_at_ - last_sent_at_;
  // The first event of a stream that is continued comes at once.
  if (!stream_started_) times.response = times.total;
  // A request that crashes its targets resets one after the other.
  const bool failed_elsewhere =
      !may_have_run_.empty() || context_.fleet.Crashes().IsSuspected(fingerprint_);
  times.request_suspected = attempt_reset_ && failed_elsewhere;
  return times;
}

awaitable<bool> Exchange::Acquire(dispatch::TargetEntry target,
                                  std::unique_ptr<HttpConnection>& connection) {
  const base::Duration timeout = std::min<base::Duration>(RemainingTimeout(), kConnectTimeout);
  auto acquired = co_await context_.pool.Acquire(target, MayReuse(), metadata_.request_id, timeout);
  if (acquired) {
    connection = std::move(*acquired);
    co_return true;
  }
  // A target that was not tried keeps its state.
  const bool tried = acquired.error() != boost::asio::error::host_unreachable;
  attempt_result_ =
      tried ? dispatch::AttemptResult::kUnreachable : dispatch::AttemptResult::kCancelled;
  attempt_error_ = acquired.error().message();
  co_return false;
}

awaitable<bool> Exchange::Connect(dispatch::TargetEntry target,
                                  std::unique_ptr<HttpConnection>& connection) {
  if (!co_await Acquire(target, connection)) co_return false;
  if (!NeedsCheck(target)) co_return true;
  active_connection_ = connection.get();
  const bool serves = co_await CheckTarget(target, *connection);
  active_connection_ = nullptr;
  if (!serves) co_return false;
  if (IsLate()) {
    attempt_result_ = dispatch::AttemptResult::kCancelled;
    attempt_error_ = "the check of the target took too long";
    co_return false;
  }
  if (connection->Reusable()) co_return true;
  connection.reset();
  co_return co_await Acquire(target, connection);
}

bool Exchange::NeedsCheck(const dispatch::TargetEntry& target) const {
  if (service_ == nullptr || service_->health_path.empty()) return false;
  const dispatch::TargetKnowledge knowledge{context_.targets.ConfirmedAt(),
                                            context_.store.AnsweredAt()};
  return context_.target_checks.IsDue(Now(), knowledge, target.id, target.started_ms);
}

awaitable<bool> Exchange::CheckTarget(dispatch::TargetEntry target, HttpConnection& connection) {
  const base::TimePoint asked_at = Now();
  const base::Duration timeout = std::min<base::Duration>(RemainingTimeout(), kCheckTimeout);
  const std::string bytes = SerializeRequest(context_.codec.EncodeHealthCheck(*service_, target));
  const WriteResult written = co_await connection.Write(bytes, timeout);
  std::optional<HealthReport> report;
  if (!written.error) {
    report = co_await ReadHealthReport(connection, asked_at + timeout);
  }
  const bool serves = report && report->serving && report->target == target.id;
  if (serves && report->cold_left) {
    context_.target_registry.SetCold(Now(), target.id, *report->cold_left);
  }
  Log(Level::kInfo, "target_checked",
      {{"request", metadata_.request_id},
       {"target", target.id.value},
       {"serves", serves},
       {"answered", report.has_value()},
       {"list_age_ms", base::ToMillis(asked_at - context_.targets.ConfirmedAt())}});
  context_.metrics.CountTargetCheck(CheckResult(serves, report.has_value()));
  if (serves) {
    context_.target_checks.OnServing(asked_at, target.id, target.started_ms);
    co_return true;
  }
  // A full target answers late too.
  attempt_result_ = dispatch::AttemptResult::kRejected;
  attempt_error_ = "the target does not say that it takes requests";
  co_return false;
}

awaitable<std::optional<HealthReport>> Exchange::ReadHealthReport(HttpConnection& connection,
                                                                  base::TimePoint deadline) {
  const auto left = [deadline] {
    return std::max<base::Duration>(deadline - Now(), milliseconds{1});
  };
  const auto head = co_await connection.ReadHead(left());
  if (!head) co_return std::nullopt;
  const HealthReport report = context_.codec.DecodeHealthReport(*head);
  for (;;) {
    const BodyPiece piece = co_await connection.ReadBody(left());
    if (piece.error || Now() >= deadline) co_return std::nullopt;
    if (piece.end) co_return report;
  }
}

awaitable<Exchange::Outcome> Exchange::SendTo(const dispatch::TargetEntry& target,
                                              std::unique_ptr<HttpConnection>& connection) {
  if (!MayStillSend(target)) co_return Outcome::kNotRun;
  if (!co_await Connect(target, connection)) co_return Outcome::kNotRun;
  if (caller_.Disconnected()) co_return Outcome::kNotRun;
  if (!MayStillSend(target)) {
    connection.reset();
    co_return Outcome::kNotRun;
  }
  active_connection_ = connection.get();
  const bool only_request = !connection->HasReadHead();
  const gateway::ForwardingContext forwarding{target.id, workspace_, TimeLeft(), last_event_};
  const std::string head =
      SerializeRequestHead(context_.codec.EncodeTargetRequest(request_, metadata_, forwarding),
                           history_.size() + request_.body.size());
  CountSend(target);
  const std::array<std::string_view, 3> parts{head, history_, request_.body};
  const WriteResult written = co_await connection->Write(parts, ResponseTimeout());
  if (written.error) {
    attempt_error_ = written.error.message();
    if (written.written > 0) co_return Outcome::kLost;
    --runs_;
    attempt_result_ = dispatch::AttemptResult::kUnreachable;
    co_return Outcome::kNotRun;
  }
  target_leaves_ = false;
  auto response = co_await ReadMatchingHead(*connection, only_request);
  // A misdirected request was answered by another target.
  if (target_leaves_ && !(response && response->misdirected)) OnTargetLeaving(target);
  if (!response) co_return stream_started_ ? Outcome::kBroken : Outcome::kLost;
  reported_load_ = response->load;
  ApplyRateStatement(target, *response);
  if (response->cold_left && !response->misdirected) {
    context_.target_registry.SetCold(Now(), target.id, *response->cold_left);
  }
  const bool names_request = response->request_id == metadata_.request_id;
  if (names_request && (response->not_run || response->misdirected)) {
    --runs_;
    attempt_result_ = response->misdirected ? dispatch::AttemptResult::kUnreachable
                                            : dispatch::AttemptResult::kRejected;
    attempt_error_ = "status " + std::to_string(response->head.status);
    co_await ReadFullBody(*connection);
    co_return Outcome::kNotRun;
  }
  const bool success = response->head.status >= 200 && response->head.status < 300;
  const bool is_own = names_request && response->has_signature && !response->encoded;
  if (success && !is_own) {
    attempt_error_ = "the response is unsigned, encoded or has no request id";
    co_return stream_started_ ? Outcome::kBroken : Outcome::kLost;
  }
  if (success && stream_started_ && !StatusHasBody(response->head.status)) {
    attempt_error_ = "the response that continues the stream has no body";
    co_return Outcome::kBroken;
  }
  if (success && route_->retry == RetryClass::kStream) {
    co_return co_await RelayStream(*connection, std::move(*response));
  }
  co_return co_await RelayFullResponse(*connection, std::move(*response));
}

awaitable<std::optional<ResponseMetadata>> Exchange::ReadMatchingHead(HttpConnection& connection,
                                                                      bool only_request) {
  const auto body = request_.method == "HEAD" ? ExpectedBody::kNone : ExpectedBody::kByHead;
  for (int n = 0; n < kMaxMismatchedResponses; ++n) {
    auto head = co_await connection.ReadHead(ResponseTimeout(), body);
    if (!head) {
      RecordError(head.error());
      co_return std::nullopt;
    }
    ResponseMetadata reply = context_.codec.DecodeResponse(std::move(*head));
    if (reply.leaving && !reply.misdirected) target_leaves_ = true;
    if (base::KindOfStatus(reply.head.status) == base::StatusKind::kInterim) continue;
    if (reply.request_id == metadata_.request_id) co_return reply;
    if (reply.request_id.empty() && only_request) co_return reply;
    only_request = false;
    Log(Level::kWarning, "foreign_answer",
        {{"request", metadata_.request_id}, {"answers", reply.request_id}});
    if (!co_await ReadFullBody(connection)) co_return std::nullopt;
  }
  attempt_error_ = "the target sent only interim responses and responses to other requests";
  co_return std::nullopt;
}

void Exchange::OnTargetLeaving(const dispatch::TargetEntry& target) {
  const base::TimePoint now = Now();
  if (!context_.target_registry.MarkLeaving(now, target.id, target.started_ms)) return;
  context_.pool.DropTarget(target.id);
  Log(Level::kInfo, "target_leaving",
      {{"target", target.id.value},
       {"started_ms", target.started_ms},
       {"source", metadata_.request_id},
       {"age_ms", base::ToMillis(now - last_sent_at_)}});
}

bool Exchange::IsEvacuated(const dispatch::TargetEntry& target) const {
  return context_.target_registry.IsEvacuated(target.data_centre);
}

bool Exchange::MayStillSend(const dispatch::TargetEntry& target) {
  const dispatch::TargetEntry* now = context_.target_registry.Find(target.id);
  const bool changed =
      now != nullptr && (now->started_ms != target.started_ms || now->version != target.version);
  const bool leaving = context_.target_registry.IsLeaving(target.id, target.started_ms);
  const bool shunned = context_.target_registry.IsShunned(target.id);
  const bool evacuated = IsEvacuated(target) || (now != nullptr && IsEvacuated(*now));
  // A token that is used late would come together with later ones.
  const bool cold = service_ != nullptr && service_->cold_rate_per_s > 0 &&
                    context_.target_registry.IsCold(Now(), target.id);
  const bool lacks_token = cold && Now() - token_asked_at_ > quota::kColdTokenLifetime;
  if (!changed && !leaving && !shunned && !evacuated && !lacks_token) return true;
  attempt_result_ = dispatch::AttemptResult::kCancelled;
  attempt_error_ = changed ? "the target started again" : "the target leaves or is in doubt";
  if (lacks_token) attempt_error_ = "the target is cold and the token has expired";
  if (evacuated) attempt_error_ = "the data centre of the target is evacuated";
  return false;
}

void Exchange::CountSend(const dispatch::TargetEntry& target) {
  last_sent_at_ = Now();
  last_target_ = target.id;
  last_version_ = target.version;
  if (sends_++ == 0) first_sent_at_ = last_sent_at_;
  ++runs_;
  const auto rate = context_.target_registry.LastRateStatement(target.id);
  if (rate && rate->limit_per_s) ++limited_sends_;
}

void Exchange::ApplyRateStatement(const dispatch::TargetEntry& target,
                                  const ResponseMetadata& response) {
  if (response.rate_limit_unreadable) {
    Log(Level::kWarning, "target_rate_limit_unreadable",
        {{"request", metadata_.request_id}, {"target", target.id.value}});
    return;
  }
  context_.target_limits.OnResponse(target.id,
                                    {response.rate_limit_per_s, last_sent_at_, target.started_ms},
                                    metadata_.request_id);
}

void Exchange::RecordError(const boost::system::error_code& ec) {
  if (stopped_) {
    attempt_error_ = "the instance stops";
    return;
  }
  const bool timeout = ec == boost::beast::error::timeout;
  attempt_error_ = timeout ? "timeout" : ec.message();
  // A connection that the network has cut ends with ETIMEDOUT; a crash ends it at once.
  const bool cut = ec == boost::asio::error::timed_out;
  attempt_reset_ = !timeout && !cut && !caller_.Disconnected();
}

awaitable<std::optional<std::string>> Exchange::ReadFullBody(HttpConnection& connection) {
  std::string body;
  for (std::size_t pieces = 1;; ++pieces) {
    BodyPiece piece = co_await connection.ReadBody(ResponseTimeout());
    if (!held_bytes_.Add(piece.data.size())) {
      attempt_error_ = "responses of targets fill the memory for them";
      co_return std::nullopt;
    }
    body += piece.data;
    if (piece.error) {
      RecordError(piece.error);
      co_return std::nullopt;
    }
    if (piece.end) co_return body;
    if (pieces == kMaxBodyPieces) {
      attempt_error_ = "the response body comes in too many pieces";
      co_return std::nullopt;
    }
    if (body.size() > kMaxBufferedBodyBytes || TimeLeft() <= base::Duration{0}) {
      attempt_error_ =
          body.size() > kMaxBufferedBodyBytes ? "the response body is too large" : "timeout";
      co_return std::nullopt;
    }
  }
}

awaitable<Exchange::Outcome> Exchange::RelayFullResponse(HttpConnection& connection,
                                                         ResponseMetadata response) {
  auto body = co_await ReadFullBody(connection);
  if (!body) co_return stream_started_ ? Outcome::kBroken : Outcome::kLost;
  const unsigned status = response.head.status;
  attempt_result_ =
      status >= 500 ? dispatch::AttemptResult::kBroken : dispatch::AttemptResult::kAnswered;
  attempt_error_ = "status " + std::to_string(status);
  if (stream_started_) co_return Outcome::kBroken;
  if (ImpliesNotRun(status)) co_return Outcome::kLost;
  if (status >= 500 && MayRetry()) {
    pending_failure_.emplace(std::move(response.head), std::move(*body));
    co_return Outcome::kFailed;
  }
  status_ = status;
  if (status >= 400) end_reason_ = "the target responded with an error status";
  co_await caller_.Respond(std::move(response.head), std::move(*body));
  co_return Outcome::kFinished;
}

}  // namespace persimmonstair::gateway
