#include "exchange.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "caller_connection.hpp"
#include "clock.hpp"
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

/// Retry-After if another instance, or this one a moment later, can serve the request.
constexpr milliseconds kShortRetryAfter{60};
/// Retry-After if the store is unavailable: the usual time until it answers again.
constexpr milliseconds kStoreRetry{250};
/// The request id is the key of a turn's records, whose length the store limits to 255 bytes.
constexpr std::size_t kMaxRequestIdBytes = 240;
/// Time for which a caller may take a stream up, in multiples of the route's timeout, and what its
/// pauses and the difference of clocks add.
constexpr int kMaxTakeUps = 4;
constexpr milliseconds kTakeUpMargin{60'000};
/// A configuration that was last confirmed longer ago may lack new routes and keys.
constexpr milliseconds kMaxConfigurationAge{1500};

std::uint64_t LeftOf(std::uint64_t budget, const turns::TokenUsage& usage) {
  return budget - std::min(budget, usage.Total());
}

Error Deny(ErrorCode code, std::string message, base::Duration retry_after = {}) {
  return Error{code, std::move(message), Verdict::kNotRun, retry_after};
}

}  // namespace

Exchange::Exchange(GatewayContext& context, CallerConnection& caller, HttpRequest request,
                   base::TimePoint arrived_at)
    : context_(context),
      caller_(caller),
      request_(std::move(request)),
      arrived_at_(arrived_at),
      history_bytes_(context.request_memory),
      stream_bytes_(context.request_memory),
      held_bytes_(context.response_memory) {
  caller_.OnDisconnect([this] {
    if (active_connection_ != nullptr) active_connection_->Close();
  });
  caller_.OnEndRequest([this] { OnStop(); });
}

Exchange::~Exchange() {
  caller_.OnDisconnect(nullptr);
  caller_.OnEndRequest(nullptr);
}

void Exchange::OnStop() {
  stopped_ = true;
  if (active_connection_ != nullptr) active_connection_->Close();
}

base::TimePoint Exchange::ExpiresAt() const {
  return std::min(expires_at_, context_.requests_end_at);
}

base::Duration Exchange::TimeLeft() const { return ExpiresAt() - Now(); }

awaitable<void> Exchange::Run() {
  metadata_ = context_.codec.DecodeRequest(request_);
  auto error = Admit();
  if (!error) {
    PrepareCriteria();
    error = CheckProgram();
  }
  if (!error) {
    error = co_await ChargeQuota();
  }
  if (!error) {
    error = co_await LoadHistory();
  }
  if (!error) {
    error = FixVersion();
  }
  if (!error) {
    error = co_await ReserveTokens();
  }
  if (!error) {
    error = co_await PrepareCopy();
  }
  if (error) {
    co_await Fail(std::move(*error));
  } else {
    co_await Dispatch();
  }
  if (reservation_) context_.budgets.Settle(*reservation_, tokens_);
  LogResult();
}

std::optional<Error> Exchange::Admit() {
  configuration_ = context_.configuration.Current();
  if (!configuration_) {
    return Deny(ErrorCode::kOverloaded, "no configuration has been read yet", kStoreRetry);
  }
  if (metadata_.host.empty() || metadata_.request_id.empty()) {
    return Deny(ErrorCode::kInvalidRequest, "the request has no Host header or no request id");
  }
  if (metadata_.request_id.size() > kMaxRequestIdBytes) {
    return Deny(ErrorCode::kInvalidRequest, "the request id is too long");
  }
  route_ = configuration_->FindRoute(metadata_.host, metadata_.path);
  const bool fresh = Now() - context_.configuration.ConfirmedAt() < kMaxConfigurationAge;
  if (route_ == nullptr) {
    if (!fresh) return Deny(ErrorCode::kLogUnavailable, "no route in stale config", kStoreRetry);
    return Deny(ErrorCode::kNotFound, "no route matches the host and path");
  }
  const base::Duration max_wait = metadata_.deadline.value_or(route_->timeout);
  expires_at_ = arrived_at_ + std::min(max_wait, route_->timeout);
  caller_.SetDeadline(expires_at_);
  if (auto error = CheckStop()) return error;
  if (auto error = FindWorkspace()) return error;
  if (route_->keeps_turns && request_.body.size() > TurnStore::kMaxInputBytes) {
    return Deny(ErrorCode::kPayloadTooLarge, "the input is longer than turns that are kept");
  }
  fingerprint_ = XXH64(metadata_.path.data(), metadata_.path.size(), 0);
  fingerprint_ = XXH64(workspace_.value.data(), workspace_.value.size(), fingerprint_);
  fingerprint_ = XXH64(request_.body.data(), request_.body.size(), fingerprint_);
  // A turn is identified with its history, which is read later.
  const bool has_history = route_->keeps_turns && !metadata_.previous_turn.empty();
  if (!has_history) {
    if (auto error = CheckCrashes()) return error;
  }
  return CheckStore();
}

std::optional<Error> Exchange::CheckCrashes() const {
  if (!context_.fleet.Crashes().IsPoison(fingerprint_)) return std::nullopt;
  return Deny(ErrorCode::kOverloaded,
              "the request is blocked because it crashed the targets that ran it");
}

std::optional<Error> Exchange::CheckStop() const {
  if (!context_.refuses_long_requests || expires_at_ <= context_.requests_end_at) {
    return std::nullopt;
  }
  return Deny(ErrorCode::kOverloaded, "the instance stops before the request's deadline",
              kShortRetryAfter);
}

std::optional<Error> Exchange::FindWorkspace() {
  quota_workspace_ = configuration_->FindWorkspace(metadata_.key);
  if (quota_workspace_ != nullptr) {
    workspace_ = quota_workspace_->id;
    return std::nullopt;
  }
  if (route_->open || !configuration_->RequiresKeys()) return std::nullopt;
  if (Now() - context_.configuration.ConfirmedAt() >= kMaxConfigurationAge) {
    return Deny(ErrorCode::kLogUnavailable,
                "unknown API key, but the configuration may be outdated", kStoreRetry);
  }
  return Deny(ErrorCode::kUnauthorized, "unknown API key");
}

std::uint32_t Exchange::Priority() const {
  const bool has_own = quota_workspace_ != nullptr && quota_workspace_->priority.has_value();
  return has_own ? *quota_workspace_->priority : route_->priority;
}

std::optional<Error> Exchange::CheckProgram() {
  const base::TimePoint now = Now();
  stage_ = context_.programs.Stage(now, *route_, metadata_);
  if (route_->retry != RetryClass::kStream || metadata_.program.empty()) return std::nullopt;
  const base::ServiceId& service = criteria_.service;
  dispatch::ProgramRequest request{service, metadata_.program, Priority(), {}};
  bool begins = stage_ == quota::ProgramStage::kBegins;
  if (route_->keeps_turns) {
    // A later turn names the one that it continues, so that this one begins its program.
    request.age = base::Duration{0};
  } else if (metadata_.finish_in) {
    request.age = context_.program_ages.OnRequest(now, route_->id, *metadata_.finish_in,
                                                  metadata_.prompt.size());
    begins = begins && request.age.has_value();
  }
  context_.program_admission.Observe(now, service, context_.target_registry.LoadOf(now, service));
  if (!begins) return std::nullopt;
  const dispatch::ProgramDecision decision = context_.program_admission.Decide(now, request);
  if (decision.admitted) return std::nullopt;
  context_.metrics.CountProgramRefused(service.value, request.priority);
  Log(Level::kInfo, "program_refused",
      {{"program", metadata_.program.value},
       {"service", service.value},
       {"load", decision.load},
       {"share", decision.share},
       {"priority", request.priority}});
  return Deny(ErrorCode::kOverloaded, "the service's load leaves no room for another program",
              decision.retry_after);
}

awaitable<std::optional<Error>> Exchange::ChargeQuota() {
  if (quota_workspace_ == nullptr) {
    context_.programs.OnAdmitted(Now(), metadata_.program);
    co_return std::nullopt;
  }
  const quota::AdmissionResult result =
      co_await context_.quota.Admit(*quota_workspace_, stage_, TimeLeft());
  if (result.admission == quota::Admission::kAdmitted) {
    context_.programs.OnAdmitted(Now(), metadata_.program);
    co_return std::nullopt;
  }
  if (result.admission == quota::Admission::kNoShare) {
    co_return Deny(ErrorCode::kLogUnavailable,
                   "no instance with a share of the workspace's rate is reachable", kStoreRetry);
  }
  co_return Deny(ErrorCode::kRateLimited, "the workspace's rate limit is exceeded",
                 result.retry_after);
}

std::optional<Error> Exchange::CheckStore() const {
  const bool needed = route_->keeps_turns || metadata_.token_budget.has_value();
  if (!needed || route_->retry != RetryClass::kStream || context_.store.Up()) return std::nullopt;
  return Deny(ErrorCode::kLogUnavailable, "the record store is unreachable", kStoreRetry);
}

awaitable<std::optional<Error>> Exchange::LoadHistory() {
  if (!route_->keeps_turns || metadata_.previous_turn.empty()) co_return std::nullopt;
  auto history = co_await context_.turns.Find(workspace_, metadata_.previous_turn, ExpiresAt());
  if (!history) {
    Error error = history.error();
    if (error.code != ErrorCode::kNotFound) error.retry_after = kShortRetryAfter;
    co_return error;
  }
  fingerprint_ = XXH64(history->text.data(), history->text.size(), fingerprint_);
  if (auto error = CheckCrashes()) co_return error;
  if (!history_bytes_.Add(history->text.size())) {
    context_.metrics.CountClientRefusal("history");
    co_return Deny(ErrorCode::kOverloaded, "the memory for requests is full", kShortRetryAfter);
  }
  history_ = std::move(history->text);
  ancestors_ = std::move(history->ancestors);
  history_expires_ms_ = history->expires_ms;
  co_return std::nullopt;
}

awaitable<std::optional<Error>> Exchange::ReserveTokens() {
  const bool takes_up = IsResumable() && !metadata_.last_event.empty();
  if (route_->retry != RetryClass::kStream) co_return std::nullopt;
  if (!metadata_.token_budget && !IsResumable()) co_return std::nullopt;
  // Without a budget and without the store, a stream is served but can't be taken up later.
  const bool optional = !metadata_.token_budget && !takes_up;
  if (optional && !context_.store.Up()) co_return std::nullopt;
  const base::TimePoint deadline =
      std::min(ExpiresAt(), Now() + context_.settings.reservation_timeout);
  const ReservationOutcome outcome = co_await context_.budgets.Reserve(MakeReservation(), deadline);
  if (outcome.result == ReservationResult::kBudgetExhausted) {
    denied_usage_ = outcome.usage;
    co_return Deny(ErrorCode::kBudgetExhausted, "the program's token budget is exhausted");
  }
  if (outcome.result == ReservationResult::kStoreUnavailable) {
    if (optional) co_return std::nullopt;
    co_return Deny(ErrorCode::kLogUnavailable,
                   "the program's token budget can't be charged at present", kShortRetryAfter);
  }
  if (metadata_.token_budget) reservation_ = outcome.reservation;
  if (outcome.reduced) tokens_left_ = LeftOf(*metadata_.token_budget, outcome.usage);
  if (!takes_up) co_return std::nullopt;
  if (outcome.resumed_version.empty()) {
    co_return Deny(ErrorCode::kOverloaded, "it is unknown at which version the stream began",
                   kShortRetryAfter);
  }
  criteria_.version = outcome.resumed_version;
  take_up_order_ = outcome.take_up;
  if (!take_up_order_.overtaken) co_return std::nullopt;
  context_.metrics.CountTakeUp("overtaken");
  co_return Deny(ErrorCode::kOverloaded, "a later attempt has taken the stream up",
                 kShortRetryAfter);
}

awaitable<std::optional<Error>> Exchange::PrepareCopy() {
  if (!route_->keeps_turns || !IsResumable()) co_return std::nullopt;
  const base::TurnId attempt{metadata_.request_id};
  const bool takes_up = !metadata_.last_event.empty();
  copied_stream_.emplace();
  copied_stream_->writer = attempt;
  copied_stream_->key = {workspace_, takes_up ? metadata_.resumed_attempt : attempt};
  if (!takes_up) co_return std::nullopt;
  const std::uint64_t event = EventNumber(metadata_.last_event);
  copied_stream_->order = take_up_order_;
  const auto held_fence = context_.stream_copier.FenceOf(copied_stream_->key);
  auto output = co_await context_.stream_copier.Find(*copied_stream_, event, ExpiresAt());
  context_.metrics.CountTakeUp(output ? "known" : "unknown");
  Log(Level::kInfo, "stream_taken_up",
      {{"request", metadata_.request_id},
       {"stream", copied_stream_->key.stream.value},
       {"event", event},
       {"fence", take_up_order_.fence},
       {"least_fence", take_up_order_.least_fence},
       {"held_fence", held_fence ? std::to_string(*held_fence) : "none"},
       {"known", output.has_value()}});
  if (!output) {
    co_return Deny(ErrorCode::kOverloaded, "no instance has the events before the take-up",
                   kShortRetryAfter);
  }
  if (!held_bytes_.Add(output->size())) {
    co_return Deny(ErrorCode::kOverloaded, "responses of targets fill the memory for them",
                   kShortRetryAfter);
  }
  output_ = std::move(*output);
  copied_stream_->ends.push_back({event, output_.size()});
  co_return std::nullopt;
}

ReservationRequest Exchange::MakeReservation() const {
  const std::int64_t now_ms = UnixMillis();
  const base::TurnId attempt{metadata_.request_id};
  ReservationRequest request;
  const std::uint64_t max_tokens = metadata_.token_budget ? metadata_.max_tokens : 0;
  const std::int64_t expires_ms = now_ms + BudgetManager::kReservationRetentionMs;
  request.tokens = {metadata_.program, workspace_, attempt, max_tokens, false, expires_ms};
  request.budget = metadata_.token_budget;
  if (!IsResumable()) return request;
  const base::Duration take_up_time = kTakeUpMargin + kMaxTakeUps * route_->timeout;
  if (!metadata_.last_event.empty()) {
    request.resumed_attempt = metadata_.resumed_attempt;
    if (!route_->keeps_turns) return request;
    request.take_up = {workspace_,
                       metadata_.program,
                       metadata_.resumed_attempt,
                       attempt,
                       EventNumber(metadata_.last_event),
                       now_ms + base::ToMillis(take_up_time)};
    return request;
  }
  request.begin = {workspace_, metadata_.program, attempt, criteria_.version,
                   now_ms + base::ToMillis(take_up_time)};
  return request;
}

bool Exchange::IsResumable() const {
  return route_->retry == RetryClass::kStream && route_->resumable;
}

std::optional<Error> Exchange::FixVersion() {
  if (!IsResumable()) return std::nullopt;
  if (!metadata_.last_event.empty()) {
    if (!metadata_.resumed_attempt.empty()) return std::nullopt;
    return Deny(ErrorCode::kOverloaded, "the request doesn't say which attempt began its stream",
                kShortRetryAfter);
  }
  const auto target = context_.target_registry.Choose(Now(), criteria_);
  if (!target) {
    return Deny(ErrorCode::kOverloaded,
                "service " + criteria_.service.value + " has no available target", kStoreRetry);
  }
  criteria_.version = target->version;
  return std::nullopt;
}

void Exchange::PrepareCriteria() {
  criteria_.prompt = metadata_.prompt;
  criteria_.affinity = metadata_.affinity;
  const bool is_turn = route_->retry == RetryClass::kStream;
  criteria_.conversation = is_turn ? metadata_.program.value : metadata_.affinity;
  criteria_.request = metadata_.request_id;
  criteria_.has_idle_connection = [this](const base::TargetId& target) {
    return context_.pool.HasIdle(target, MayReuse(), metadata_.request_id);
  };
  std::uint64_t total = 0;
  for (const auto& one : route_->services) total += one.weight;
  if (total == 0) return;
  // Hashing the id makes every instance choose the same service for the same request.
  const auto& id = metadata_.program.empty() ? metadata_.request_id : metadata_.program.value;
  std::uint64_t pick = XXH64(id.data(), id.size(), 0) % total;
  for (const auto& one : route_->services) {
    criteria_.service = one.service;
    if (pick < one.weight) break;
    pick -= one.weight;
  }
  service_ = configuration_->FindService(criteria_.service);
}

awaitable<void> Exchange::Fail(Error error) {
  if (stream_started_) {
    end_reason_ = "broken_off: " + error.message;
    caller_.Abort();
    co_return;
  }
  end_reason_ = error.message;
  status_ = static_cast<unsigned>(base::HttpStatus(error.code));
  co_await caller_.RespondError(error);
}

void Exchange::LogResult() {
  const base::Duration took = Now() - arrived_at_;
  const bool served = status_ >= 200 && status_ < 300 && end_reason_.empty();
  nlohmann::json line{{"request", metadata_.request_id},
                      {"program", metadata_.program.value},
                      {"workspace", workspace_.value},
                      {"route", route_ == nullptr ? "" : route_->id.value},
                      {"config_version", configuration_ ? configuration_->Version() : 0},
                      {"status", status_},
                      {"runs", runs_},
                      {"sends", sends_},
                      {"ms", base::ToMillis(took)}};
  if (!end_reason_.empty()) line["reason"] = end_reason_;
  if (caller_.Disconnected()) line["caller_gone"] = true;
  if (!last_target_.empty()) {
    line["target"] = last_target_.value;
    line["target_version"] = last_version_.value;
  }
  if (!began_at_.empty()) line["began_at_version"] = began_at_.value;
  if (!metadata_.last_event.empty()) {
    line["last_event"] = metadata_.last_event;
    line["resumes"] = metadata_.resumed_attempt.value;
  }
  if (relayed_sends_ > 0) line["relayed_sends"] = relayed_sends_;
  if (limited_sends_ > 0) line["limited_sends"] = limited_sends_;
  if (refused_tokens_ > 0) line["refused_target_tokens"] = refused_tokens_;
  if (sends_ > 0) line["before_send_ms"] = base::ToMillis(first_sent_at_ - arrived_at_);
  if (stream_started_) {
    line["first_event_ms"] = base::ToMillis(first_event_at_ - arrived_at_);
    line["tokens"] = tokens_;
    if (tokens_left_) line["tokens_left"] = *tokens_left_;
  }
  if (denied_usage_) {
    line["budget"] = *metadata_.token_budget;
    line["max_tokens"] = metadata_.max_tokens;
    line["budget_settled"] = denied_usage_->settled;
    line["budget_outstanding"] = denied_usage_->outstanding;
  }
  if (configuration_ && !served) {
    line["config_age_ms"] = base::ToMillis(Now() - context_.configuration.ConfirmedAt());
  }
  Log(Level::kInfo, served ? "request_served" : "request_failed", line);
  context_.metrics.CountAnswer(workspace_.value, route_ == nullptr ? "" : route_->id.value, status_,
                               took);
}

}  // namespace persimmonstair::gateway
