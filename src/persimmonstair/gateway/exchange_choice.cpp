#include <algorithm>
#include <utility>

#include "caller_connection.hpp"
#include "clock.hpp"
#include "exchange.hpp"

namespace persimmonstair::gateway {
namespace {

using base::Error;
using base::ErrorCode;
using base::Verdict;
using boost::asio::awaitable;
using std::chrono::milliseconds;

/// Pause before targets that rejected a request for lack of capacity are tried again.
constexpr milliseconds kRejectedRetryPause{15};
/// Maximum time that a request waits for target capacity, in multiples of the route's objective.
constexpr int kMaxQueueObjectives = 2;
/// With less time left, no response would reach the caller before its deadline.
constexpr milliseconds kMinTimeLeft{5};
constexpr milliseconds kOverloadRetryAfter{150};
constexpr milliseconds kNoTargetRetryAfter{300};
/// Delay of its first request up to which a program may begin, in multiples of the route's
/// objective. Beyond it, the programs under way need all that limited targets take.
constexpr double kMaxDelayOfNewProgram = 0.5;
constexpr milliseconds kDeferredProgramRetryAfter{300};
/// Refused tokens after which targets without a rate limit come first. Each one costs a round trip.
constexpr int kMaxRefusedTokens = 3;

}  // namespace

bool Exchange::IsLate() const { return TimeLeft() <= kMinTimeLeft; }

base::Duration Exchange::QueueTimeLeft() const {
  const base::Duration queue_time = kMaxQueueObjectives * route_->latency_objective;
  return std::min(arrived_at_ + queue_time - Now(), TimeLeft() - kMinTimeLeft);
}

Error Exchange::NoCapacity() const {
  const bool not_run = runs_ == 0 && !stream_started_;
  return Error{not_run ? ErrorCode::kOverloaded : ErrorCode::kTargetFailed, "",
               not_run ? Verdict::kNotRun : Verdict::kMayHaveRun, kOverloadRetryAfter};
}

std::optional<dispatch::TargetEntry> Exchange::FindTarget(int refused_tokens) {
  const base::TimePoint now = Now();
  criteria_.may_probe = MayRetry() && may_have_run_.empty() && runs_ + 1 < route_->attempts;
  auto best = context_.target_registry.Choose(now, criteria_);
  if (!best) return best;
  const base::Duration wait = context_.target_registry.TokenWait(now, best->id);
  if (wait <= TokenTimeLeft() && refused_tokens < kMaxRefusedTokens) return best;
  dispatch::TargetCriteria unlimited = criteria_;
  unlimited.only_unlimited = true;
  auto other = context_.target_registry.Choose(now, unlimited);
  return other ? other : best;
}

bool Exchange::DefersProgram(const dispatch::TargetEntry& target) const {
  const bool begins = stage_ == quota::ProgramStage::kBegins && runs_ == 0;
  if (!begins || !context_.target_registry.HasLimitedTarget(criteria_.service)) return false;
  return context_.target_registry.QueueDelay(Now(), target.id) >
         kMaxDelayOfNewProgram * route_->latency_objective;
}

base::Duration Exchange::TokenTimeLeft() const {
  return std::clamp<base::Duration>(QueueTimeLeft(), {}, TargetLimiter::kMaxWait);
}

bool Exchange::HasOtherTarget() const {
  dispatch::TargetCriteria untried = criteria_;
  untried.skip = may_have_run_;
  return context_.target_registry.HasTargetFor(untried);
}

std::optional<Error> Exchange::CheckTime() const {
  if (!IsLate()) return std::nullopt;
  Error error = NoCapacity();
  error.message = "no target was available before the deadline";
  if (error.verdict != Verdict::kNotRun) error.code = ErrorCode::kTimeout;
  return error;
}

std::optional<Error> Exchange::CheckRateLimit(const dispatch::TargetEntry& target) const {
  const base::Duration wait = context_.target_registry.TokenWait(Now(), target.id);
  Error error = NoCapacity();
  if (DefersProgram(target)) {
    error.message = "the rate limits of the targets leave no room for another program";
    error.retry_after = std::max<base::Duration>(wait, kDeferredProgramRetryAfter);
    return error;
  }
  if (wait <= TokenTimeLeft()) return std::nullopt;
  error.message = "the rate limits of the targets allow no request in time";
  error.retry_after = wait;
  return error;
}

bool Exchange::NoTargetIsReachable() const {
  const auto ids = context_.target_registry.Ids();
  return std::all_of(ids.begin(), ids.end(), [this](const base::TargetId& id) {
    const dispatch::TargetEntry* target = context_.target_registry.Find(id);
    return context_.target_registry.IsLeaving(id, target->started_ms) || IsEvacuated(*target) ||
           target->service != criteria_.service || context_.connector.IsUnreachable(id);
  });
}

std::optional<Error> Exchange::CheckOtherTargets() const {
  Error error = NoCapacity();
  if (!context_.target_registry.HasAvailableTarget(criteria_.service)) {
    error.message = "service " + criteria_.service.value + " has no available target";
    error.retry_after = kNoTargetRetryAfter;
    return error;
  }
  if (!HasOtherTarget()) {
    error.message = "no other target can run the request";
    if (!criteria_.version.empty()) error.message += " at version " + criteria_.version.value;
    error.retry_after = kNoTargetRetryAfter;
    return error;
  }
  if (NoTargetIsReachable()) {
    error.message = "no target can be reached, directly or through another instance";
    error.retry_after = kNoTargetRetryAfter;
    return error;
  }
  if (Now() - arrived_at_ <= kMaxQueueObjectives * route_->latency_objective) return std::nullopt;
  error.message = "all targets rejected the request";
  return error;
}

awaitable<bool> Exchange::TakeToken(dispatch::TargetEntry target, int refused_tokens) {
  const base::Duration wait = context_.target_registry.TokenWait(Now(), target.id);
  const bool queues = wait > base::Duration{0} || refused_tokens >= kMaxRefusedTokens;
  const base::TimePoint asked_at = Now();
  const double cold_per_s = service_ == nullptr ? 0 : service_->cold_rate_per_s;
  const auto token = co_await context_.target_limits.Take(
      std::move(target), stage_, queues ? TokenTimeLeft() : base::Duration{}, cold_per_s);
  token_asked_at_ = asked_at;
  if (token.admission == quota::Admission::kAdmitted) co_return true;
  ++refused_tokens_;
  co_return false;
}

awaitable<std::optional<dispatch::TargetEntry>> Exchange::ChooseTarget() {
  for (int refused_tokens = 0;;) {
    if (caller_.Disconnected()) {
      end_reason_ = "the caller disconnected";
      co_return std::nullopt;
    }
    std::optional<dispatch::TargetEntry> target;
    std::optional<Error> error = CheckTime();
    if (!error) {
      target = FindTarget(refused_tokens);
      error = target ? CheckRateLimit(*target) : CheckOtherTargets();
    }
    if (error) {
      co_await Fail(std::move(*error));
      co_return std::nullopt;
    }
    if (!target) {
      criteria_.skip = may_have_run_;
      co_await Sleep(kRejectedRetryPause);
    } else if (co_await TakeToken(*target, refused_tokens)) {
      co_return target;
    } else {
      ++refused_tokens;
    }
  }
}

}  // namespace persimmonstair::gateway
