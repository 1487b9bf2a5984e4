#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <utility>

#include "caller_connection.hpp"
#include "clock.hpp"
#include "exchange.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::gateway {
namespace {

using base::Error;
using base::ErrorCode;
using base::Verdict;
using boost::asio::awaitable;
using diagnostics::Level;
using diagnostics::Log;
using std::chrono::milliseconds;

/// Longest time for a new connection; a lost packet costs seconds, so another target is quicker.
constexpr milliseconds kConnectTime{250};
/// Pause before targets that refused a request for want of room are asked again.
constexpr milliseconds kFullPause{15};
/// Part of an objective that a request waits for room before it is refused.
constexpr int kFullObjectives = 2;
/// Objectives after which a repeatable request goes to another target, and the least such time.
constexpr int kSilentObjectives = 3;
constexpr milliseconds kMinSilentTime{600};
/// Time left below which no answer can reach the caller any more.
constexpr milliseconds kLeastTime{5};
constexpr milliseconds kRetryFull{150};
constexpr milliseconds kRetryNoTarget{300};
/// Answers to other requests that are skipped on one connection.
constexpr int kMaxForeignAnswers = 3;
/// Largest answer that is held in memory.
constexpr std::size_t kMaxWholeBody = std::size_t{8} << 20U;

// A target's failure with such a status would promise the caller that the request did not run.
bool IsPromise(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string_view ToText(dispatch::AttemptEnd end) {
  switch (end) {
    case dispatch::AttemptEnd::kAnswered:
      return "answered";
    case dispatch::AttemptEnd::kRejected:
      return "rejected";
    case dispatch::AttemptEnd::kUnreachable:
      return "unreachable";
    case dispatch::AttemptEnd::kBroken:
      return "broken";
    case dispatch::AttemptEnd::kCancelled:
      break;
  }
  return "cancelled";
}

}  // namespace

bool Exchange::MayRunAgain() const {
  const bool repeatable = route_->retry_class == RetryClass::kIdempotent ||
                          (route_->retry_class == RetryClass::kStream && route_->resumable);
  return repeatable && runs_ < std::max(1U, route_->attempts);
}

base::Duration Exchange::WaitTime() const {
  return std::max<base::Duration>(TimeLeft(), milliseconds{1});
}

base::Duration Exchange::AnswerTime() const {
  if (!MayRunAgain()) return WaitTime();
  return std::min(WaitTime(),
                  std::max<base::Duration>(kSilentObjectives * route_->objective, kMinSilentTime));
}

awaitable<void> Exchange::Dispatch() {
  for (;;) {
    const auto target = co_await ChooseTarget();
    if (!target) co_return;
    const Outcome outcome = co_await Attempt(*target);
    demand_.tried.push_back(target->id);
    if (caller_.Gone()) {
      end_reason_ = "the caller left";
      co_return;
    }
    if (outcome == Outcome::kFinished) co_return;
    if (outcome == Outcome::kNotRun) continue;
    ran_.push_back(target->id);
    if (attempt_reset_) core_.fleet.ReportCrash(fingerprint_, target->id);
    if (MayRunAgain() && !core_.fleet.IsPoison(fingerprint_) && TimeLeft() > kLeastTime) continue;
    if (failure_) {
      status_ = failure_->first.status;
      end_reason_ = "the target failed";
      co_await caller_.Respond(std::move(failure_->first), std::move(failure_->second));
      co_return;
    }
    const bool late = TimeLeft() <= kLeastTime;
    Error error{late ? ErrorCode::kTimeout : ErrorCode::kTargetFailed,
                "target " + target->id.value + ": " + attempt_error_,
                Verdict::kMayHaveRun,
                {}};
    co_await Fail(std::move(error));
    co_return;
  }
}

awaitable<std::optional<dispatch::TargetEntry>> Exchange::ChooseTarget() {
  for (;;) {
    const bool not_run = runs_ == 0 && !stream_started_;
    Error error{not_run ? ErrorCode::kOverloaded : ErrorCode::kTargetFailed, "",
                not_run ? Verdict::kNotRun : Verdict::kMayHaveRun, kRetryFull};
    if (caller_.Gone()) {
      end_reason_ = "the caller left";
      co_return std::nullopt;
    }
    if (TimeLeft() <= kLeastTime) {
      error.message = "no target in time";
      if (!not_run) error.code = ErrorCode::kTimeout;
    } else if (auto target = core_.target_registry.Choose(Now(), demand_)) {
      co_return target;
    } else if (!core_.target_registry.HasTarget(demand_.service)) {
      error.message = "service " + demand_.service.value + " has no target";
      error.retry_after = kRetryNoTarget;
    } else if (Now() - arrived_at_ > kFullObjectives * route_->objective) {
      error.message = "all targets refused the request";
    } else {
      demand_.tried = ran_;
      co_await Sleep(kFullPause);
      continue;
    }
    co_await Fail(std::move(error));
    co_return std::nullopt;
  }
}

awaitable<Exchange::Outcome> Exchange::Attempt(const dispatch::TargetEntry& target) {
  attempt_end_ = dispatch::AttemptEnd::kBroken;
  attempt_error_.clear();
  attempt_reset_ = false;
  load_.reset();
  core_.target_registry.Begin(Now(), target.id, demand_);
  const base::TimePoint begun_at = Now();
  std::unique_ptr<HttpConnection> connection;
  const Outcome outcome = co_await SendTo(target, connection);
  active_ = nullptr;
  if (caller_.Gone()) attempt_end_ = dispatch::AttemptEnd::kCancelled;
  const bool silent =
      attempt_end_ == dispatch::AttemptEnd::kUnreachable || attempt_error_ == "timeout";
  if (silent) core_.pool.Forget(target.id);
  if (connection) core_.pool.Release(target, std::move(connection));
  core_.target_registry.End(Now(), target.id, attempt_end_, load_);
  core_.metrics.CountAttempt(std::string(ToText(attempt_end_)));
  if (attempt_end_ != dispatch::AttemptEnd::kAnswered) {
    Log(Level::kInfo, "attempt_ended",
        {{"request", call_.request_id},
         {"target", target.id.value},
         {"end", ToText(attempt_end_)},
         {"error", attempt_error_},
         {"sends", sends_},
         {"in_flight", core_.target_registry.InFlight(target.id)},
         {"ms", base::ToMillis(Now() - begun_at)}});
  }
  co_return outcome;
}

awaitable<Exchange::Outcome> Exchange::SendTo(const dispatch::TargetEntry& target,
                                              std::unique_ptr<HttpConnection>& connection) {
  const bool repeatable = MayRunAgain();
  auto acquired =
      co_await core_.pool.Acquire(target, repeatable ? Freshness::kAnyIdle : Freshness::kCertain,
                                  std::min<base::Duration>(WaitTime(), kConnectTime));
  if (!acquired) {
    attempt_end_ = dispatch::AttemptEnd::kUnreachable;
    attempt_error_ = acquired.error().message();
    co_return Outcome::kNotRun;
  }
  connection = std::move(*acquired);
  if (caller_.Gone()) co_return Outcome::kNotRun;
  active_ = connection.get();
  const gateway::Dispatch dispatch{target.id, workspace_, TimeLeft(), body_, last_event_};
  const std::string bytes = SerializeRequest(core_.codec.EncodeDispatch(request_, call_, dispatch));
  if (sends_++ == 0) first_sent_at_ = Now();
  ++runs_;
  const WriteResult written = co_await connection->Write(bytes, AnswerTime());
  if (written.error) {
    attempt_error_ = written.error.message();
    if (written.written > 0) co_return Outcome::kLost;
    --runs_;
    attempt_end_ = dispatch::AttemptEnd::kUnreachable;
    co_return Outcome::kNotRun;
  }
  auto answer = co_await ReadOwnHead(*connection);
  if (!answer) co_return stream_started_ ? Outcome::kBroken : Outcome::kLost;
  load_ = answer->load;
  if (answer->not_run || answer->misdirected) {
    --runs_;
    attempt_end_ =
        answer->misdirected ? dispatch::AttemptEnd::kUnreachable : dispatch::AttemptEnd::kRejected;
    attempt_error_ = "status " + std::to_string(answer->head.status);
    co_await ReadWholeBody(*connection);
    co_return Outcome::kNotRun;
  }
  const bool success = answer->head.status >= 200 && answer->head.status < 300;
  const bool own = answer->genuine && !answer->encoded && answer->request_id == call_.request_id;
  if (success && !own) {
    attempt_error_ = "the answer is not the target's";
    co_return stream_started_ ? Outcome::kBroken : Outcome::kLost;
  }
  if (success && route_->retry_class == RetryClass::kStream) {
    co_return co_await RelayStream(*connection, std::move(*answer));
  }
  co_return co_await RelayWhole(*connection, std::move(*answer));
}

awaitable<std::optional<AnswerHead>> Exchange::ReadOwnHead(HttpConnection& connection) {
  for (int n = 0; n < kMaxForeignAnswers; ++n) {
    auto head = co_await connection.ReadHead(AnswerTime());
    if (!head) {
      NoteError(head.error());
      co_return std::nullopt;
    }
    AnswerHead answer = core_.codec.DecodeAnswer(std::move(*head));
    if (answer.request_id.empty() || answer.request_id == call_.request_id) co_return answer;
    Log(Level::kWarning, "foreign_answer",
        {{"request", call_.request_id}, {"answers", answer.request_id}});
    if (!co_await ReadWholeBody(connection)) co_return std::nullopt;
  }
  attempt_error_ = "only answers to other requests";
  co_return std::nullopt;
}

void Exchange::NoteError(const boost::system::error_code& ec) {
  const bool timeout = ec == boost::beast::error::timeout;
  attempt_error_ = timeout ? "timeout" : ec.message();
  attempt_reset_ = !timeout && !caller_.Gone();
}

awaitable<std::optional<std::string>> Exchange::ReadWholeBody(HttpConnection& connection) {
  std::string body;
  for (;;) {
    BodyPiece piece = co_await connection.ReadBody(AnswerTime());
    body += piece.data;
    if (piece.error) {
      NoteError(piece.error);
      co_return std::nullopt;
    }
    if (piece.end) co_return body;
    if (body.size() > kMaxWholeBody) {
      attempt_error_ = "the answer is too large";
      co_return std::nullopt;
    }
  }
}

awaitable<Exchange::Outcome> Exchange::RelayWhole(HttpConnection& connection, AnswerHead answer) {
  auto body = co_await ReadWholeBody(connection);
  if (!body) co_return stream_started_ ? Outcome::kBroken : Outcome::kLost;
  const unsigned status = answer.head.status;
  attempt_end_ = status >= 500 ? dispatch::AttemptEnd::kBroken : dispatch::AttemptEnd::kAnswered;
  attempt_error_ = "status " + std::to_string(status);
  if (stream_started_) co_return Outcome::kBroken;
  if (IsPromise(status)) co_return Outcome::kLost;
  if (status >= 500 && MayRunAgain()) {
    failure_.emplace(std::move(answer.head), std::move(*body));
    co_return Outcome::kFailed;
  }
  status_ = status;
  if (status >= 400) end_reason_ = "the target's own answer";
  co_await caller_.Respond(std::move(answer.head), std::move(*body));
  co_return Outcome::kFinished;
}

}  // namespace persimmonstair::gateway
