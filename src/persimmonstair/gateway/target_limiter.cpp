#include "target_limiter.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "clock.hpp"
#include "nonce.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/quota/cold_target.hpp"

namespace persimmonstair::gateway {
namespace {

using boost::asio::awaitable;
using dispatch::RateStatement;
using quota::Admission;
using quota::AdmissionResult;
using quota::RateLimit;
using std::chrono::milliseconds;

/// Longest time to wait for a coordinator's first answer.
constexpr milliseconds kAnswerTimeout{40};
/// Time for which a coordinator that did not answer isn't asked again.
constexpr milliseconds kAvoidTime{300};
/// Part of a rate that all instances together may use without the coordinator.
constexpr double kOwnPartsFraction = 0.5;
/// Shortest time between two messages to all instances about one target.
constexpr milliseconds kSpreadInterval{200};

std::uint32_t AgeMs(const RateStatement& statement) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, base::ToMillis(Now() - statement.as_of)));
}

// Returns the part of a rate that one of `instances` instances may use without the coordinator.
// Without a table the number is 0, that is unknown, and the part is the rate of a limit of 0.
RateLimit OwnPart(double limit_per_s, std::size_t instances) {
  if (instances == 0) return {quota::TargetRate(0).rate_per_s, 1};
  const double rate = kOwnPartsFraction * quota::TargetRate(limit_per_s).rate_per_s;
  return {rate / static_cast<double>(instances), 1};
}

}  // namespace

TargetLimiter::TargetLimiter(const boost::asio::any_io_executor& executor, PeerSocket& socket,
                             FleetRegistry& fleet, dispatch::TargetRegistry& targets,
                             diagnostics::Metrics& metrics)
    : executor_(executor),
      socket_(socket),
      fleet_(fleet),
      targets_(targets),
      metrics_(metrics),
      queue_(tokens_),
      serve_timer_(executor),
      next_id_(RandomNonce()) {
  socket_.OnMessage([this](const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
    Handle(message, sender);
  });
}

void TargetLimiter::OnResponse(const base::TargetId& target, const RateStatement& statement,
                               const std::string& request) {
  Apply(target, statement, request);
}

awaitable<AdmissionResult> TargetLimiter::Take(dispatch::TargetEntry target,
                                               quota::ProgramStage stage, base::Duration max_wait,
                                               double cold_per_s) {
  if (cold_per_s > 0 && targets_.IsCold(Now(), target.id)) {
    co_return co_await TakeCold(std::move(target), stage, max_wait, cold_per_s);
  }
  const auto statement = targets_.LastRateStatement(target.id);
  if (!statement || !statement->limit_per_s) co_return AdmissionResult{Admission::kAdmitted, {}};
  const double limit_per_s = *statement->limit_per_s;
  const TargetCoordinator coordinator = fleet_.FindTargetCoordinator(target);
  std::optional<AdmissionResult> result;
  if (coordinator.is_self) {
    result = co_await TakeHere(target.id, quota::TargetRate(limit_per_s), stage, max_wait);
  } else if (const auto endpoint = Reachable(coordinator)) {
    const bool begins = stage == quota::ProgramStage::kBegins;
    const auto patience_ms = static_cast<std::uint32_t>(base::ToMillis(max_wait));
    const schema::TargetTokenAsk ask{target.id,         next_id_++, target.started_ms, limit_per_s,
                                     AgeMs(*statement), begins,     patience_ms};
    result = co_await Ask(*endpoint, ask);
  }
  const bool asked = result.has_value();
  if (!asked) {
    result = co_await TakeOwnPart(target.id, OwnPart(limit_per_s, coordinator.instances), max_wait);
  }
  const bool granted = result->admission == Admission::kAdmitted;
  metrics_.CountTargetToken(granted ? "granted" : "refused", asked ? "coordinator" : "own_part");
  targets_.ExpectToken(target.id, Now() + result->retry_after);
  co_return *result;
}

awaitable<AdmissionResult> TargetLimiter::TakeCold(dispatch::TargetEntry target,
                                                   quota::ProgramStage stage,
                                                   base::Duration max_wait, double cold_per_s) {
  const base::Duration wait = std::min<base::Duration>(max_wait, quota::kMaxColdTokenWait);
  const TargetCoordinator coordinator = fleet_.FindTargetCoordinator(target);
  std::optional<AdmissionResult> result;
  if (coordinator.is_self) {
    result = co_await TakeHere(target.id, ColdRate(target.id, cold_per_s), stage, wait);
  } else if (const auto endpoint = Reachable(coordinator)) {
    const bool begins = stage == quota::ProgramStage::kBegins;
    const auto patience_ms = static_cast<std::uint32_t>(base::ToMillis(wait));
    schema::ColdTokenAsk ask{target.id, next_id_++, cold_per_s, begins, patience_ms};
    result = co_await Ask(*endpoint, std::move(ask));
  }
  const bool asked = result.has_value();
  if (!asked) result = AdmissionResult{Admission::kOverQuota, kAvoidTime};
  const bool granted = result->admission == Admission::kAdmitted;
  metrics_.CountTargetToken(granted ? "granted" : "refused", asked ? "coordinator" : "none");
  targets_.ExpectToken(target.id, Now() + result->retry_after);
  co_return *result;
}

RateLimit TargetLimiter::ColdRate(const base::TargetId& target, double cold_per_s) const {
  RateLimit rate = quota::ColdTargetRate(cold_per_s);
  const auto statement = targets_.LastRateStatement(target);
  if (!statement || !statement->limit_per_s) return rate;
  rate.rate_per_s =
      std::min(rate.rate_per_s, quota::TargetRate(*statement->limit_per_s).rate_per_s);
  return rate;
}

awaitable<AdmissionResult> TargetLimiter::TakeHere(base::TargetId target, RateLimit rate,
                                                   quota::ProgramStage stage,
                                                   base::Duration max_wait) {
  const std::uint64_t id = next_id_++;
  const quota::TokenDemand demand{id, stage, quota::TokenRequester::kLocalCaller, max_wait};
  auto result = queue_.Ask(Now(), target, rate, demand);
  if (!result) {
    const auto waiting = std::make_shared<Waiting>(executor_);
    local_requests_[id] = waiting;
    Serve();
    while (!waiting->result) {
      co_await WaitForChange(waiting, Now() + max_wait + kAnswerTimeout);
    }
    result = waiting->result;
  }
  if (result->admission == Admission::kAdmitted) result->retry_after = NextTokenWait(target, rate);
  co_return *result;
}

template <class Message>
awaitable<std::optional<AdmissionResult>> TargetLimiter::Ask(PeerEndpoint coordinator,
                                                             Message ask) {
  const auto waiting = std::make_shared<Waiting>(executor_);
  asks_[ask.nonce] = waiting;
  socket_.Send(ask, coordinator);
  base::TimePoint until = Now() + kAnswerTimeout;
  while (!waiting->result && !waiting->queued && Now() < until) {
    co_await WaitForChange(waiting, until);
  }
  if (waiting->queued) until = Now() + milliseconds{ask.patience_ms} + kAnswerTimeout;
  while (!waiting->result && Now() < until) {
    co_await WaitForChange(waiting, until);
  }
  asks_.erase(ask.nonce);
  if (!waiting->result) {
    avoided_until_[coordinator] = Now() + kAvoidTime;
    diagnostics::Log(diagnostics::Level::kInfo, "target_coordinator_unanswered",
                     {{"target", ask.target.value},
                      {"coordinator", coordinator.address().to_string()},
                      {"queued", waiting->queued}});
  }
  co_return waiting->result;
}

awaitable<AdmissionResult> TargetLimiter::TakeOwnPart(base::TargetId target, RateLimit part,
                                                      base::Duration max_wait) {
  const base::TimePoint until = Now() + max_wait;
  for (;;) {
    const base::TimePoint now = Now();
    const bool taken = own_parts_.TakeOwn(now, target, part, 0);
    const base::Duration wait = own_parts_.TimeUntilAvailable(now, target, part, 1);
    if (taken) co_return AdmissionResult{Admission::kAdmitted, wait};
    if (now + wait > until) co_return AdmissionResult{Admission::kOverQuota, wait};
    co_await Sleep(wait);
  }
}

std::optional<PeerEndpoint> TargetLimiter::Reachable(const TargetCoordinator& coordinator) const {
  if (!coordinator.endpoint) return std::nullopt;
  auto endpoint = ToPeerEndpoint(*coordinator.endpoint);
  if (!endpoint) return std::nullopt;
  const auto avoided = avoided_until_.find(*endpoint);
  if (avoided != avoided_until_.end() && Now() < avoided->second) return std::nullopt;
  return endpoint;
}

awaitable<void> TargetLimiter::WaitForChange(WaitingPtr waiting, base::TimePoint until) {
  waiting->changed.expires_after(until - Now());
  co_await waiting->changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

void TargetLimiter::Apply(const base::TargetId& target, const RateStatement& statement,
                          const std::string& source) {
  const auto before = targets_.LastRateStatement(target);
  if (!targets_.ApplyRateStatement(target, statement)) return;
  nlohmann::json line{
      {"target", target.value}, {"source", source}, {"as_of_ms_ago", AgeMs(statement)}};
  if (statement.limit_per_s) line["limit_per_s"] = *statement.limit_per_s;
  diagnostics::Log(diagnostics::Level::kInfo, "target_rate_limit_changed", line);
  const bool was_limited = before && before->limit_per_s.has_value();
  const dispatch::TargetEntry* entry = targets_.Find(target);
  const bool flipped = was_limited != statement.limit_per_s.has_value();
  if (flipped && entry != nullptr) Spread(*entry, statement);
}

void TargetLimiter::Spread(const dispatch::TargetEntry& target, const RateStatement& statement) {
  const base::TimePoint now = Now();
  base::TimePoint& spread_at = spread_at_[target.id];
  if (now - spread_at < kSpreadInterval) return;
  spread_at = now;
  const TargetCoordinator coordinator = fleet_.FindTargetCoordinator(target);
  if (const auto endpoint = Reachable(coordinator)) SendNotice(target.id, statement, *endpoint);
  if (!coordinator.is_self) return;
  for (const auto& peer : fleet_.RecentPeers()) {
    if (const auto endpoint = ToPeerEndpoint(peer)) SendNotice(target.id, statement, *endpoint);
  }
}

void TargetLimiter::SendNotice(const base::TargetId& target, const RateStatement& statement,
                               const PeerEndpoint& receiver) {
  socket_.Send(
      schema::TargetRateNotice{target, statement.started_ms, statement.limit_per_s.has_value(),
                               statement.limit_per_s.value_or(0), AgeMs(statement)},
      receiver);
}

void TargetLimiter::Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
  if (const auto* ask = std::get_if<schema::TargetTokenAsk>(&message)) {
    Handle(*ask, sender);
  } else if (const auto* cold_ask = std::get_if<schema::ColdTokenAsk>(&message)) {
    Handle(*cold_ask, sender);
  } else if (const auto* answer = std::get_if<schema::TargetTokenAnswer>(&message)) {
    Handle(*answer);
  } else if (const auto* notice = std::get_if<schema::TargetRateNotice>(&message)) {
    RateStatement statement{{}, Now() - milliseconds{notice->age_ms}, notice->started_ms};
    if (notice->limited) statement.limit_per_s = notice->limit_per_s;
    Apply(notice->target, statement, sender.address().to_string());
  }
}

void TargetLimiter::Handle(const schema::TargetTokenAsk& ask, const PeerEndpoint& sender) {
  const RateStatement stated{ask.limit_per_s, Now() - milliseconds{ask.age_ms}, ask.started_ms};
  Apply(ask.target, stated, sender.address().to_string());
  const auto known = targets_.LastRateStatement(ask.target).value_or(stated);
  RemoteRequest remote{ask.target, ask.nonce, sender, {}};
  if (!known.limit_per_s && known.started_ms == ask.started_ms) {
    // The limit has ended, which the asking instance has not heard yet.
    SendNotice(ask.target, known, sender);
    SendAnswer(remote, {Admission::kAdmitted, {}});
    return;
  }
  remote.rate = quota::TargetRate(known.limit_per_s.value_or(ask.limit_per_s));
  TakeFor(remote, ask.begins, std::min<base::Duration>(milliseconds{ask.patience_ms}, kMaxWait));
}

void TargetLimiter::Handle(const schema::ColdTokenAsk& ask, const PeerEndpoint& sender) {
  const RemoteRequest remote{ask.target, ask.nonce, sender, ColdRate(ask.target, ask.cold_per_s)};
  const dispatch::TargetEntry* target = targets_.Find(ask.target);
  // Only the instance that takes itself for the coordinator hands out tokens, so that instances
  // with different views of the fleet don't make coordinators of many.
  const bool coordinates = target != nullptr && fleet_.FindTargetCoordinator(*target).is_self;
  if (!coordinates || !(remote.rate.rate_per_s > 0)) {
    SendAnswer(remote, {Admission::kOverQuota, kAvoidTime});
    return;
  }
  TakeFor(remote, ask.begins,
          std::min<base::Duration>(milliseconds{ask.patience_ms}, quota::kMaxColdTokenWait));
}

void TargetLimiter::TakeFor(const RemoteRequest& remote, bool begins, base::Duration patience) {
  const auto stage = begins ? quota::ProgramStage::kBegins : quota::ProgramStage::kUnderWay;
  const std::uint64_t id = next_id_++;
  const quota::TokenDemand demand{id, stage, quota::TokenRequester::kPeerInstance, patience};
  const auto result = queue_.Ask(Now(), remote.target, remote.rate, demand);
  if (result) {
    SendAnswer(remote, *result);
    return;
  }
  remote_requests_[id] = remote;
  socket_.Send(schema::TargetTokenAnswer{remote.nonce, false, true, 0}, remote.sender);
  Serve();
}

void TargetLimiter::Handle(const schema::TargetTokenAnswer& answer) {
  const auto it = asks_.find(answer.nonce);
  if (it == asks_.end()) return;
  Waiting& waiting = *it->second;
  waiting.queued = answer.queued;
  if (!answer.queued) {
    waiting.result = AdmissionResult{answer.granted ? Admission::kAdmitted : Admission::kOverQuota,
                                     milliseconds{answer.wait_ms}};
  }
  waiting.changed.cancel();
}

void TargetLimiter::SendAnswer(const RemoteRequest& remote, const AdmissionResult& result) {
  const bool granted = result.admission == Admission::kAdmitted;
  const base::Duration wait =
      granted ? NextTokenWait(remote.target, remote.rate) : result.retry_after;
  socket_.Send(schema::TargetTokenAnswer{remote.nonce, granted, false,
                                         static_cast<std::uint32_t>(base::ToMillis(wait))},
               remote.sender);
}

base::Duration TargetLimiter::NextTokenWait(const base::TargetId& target, const RateLimit& rate) {
  if (rate.rate_per_s <= 0) return {};
  return tokens_.TimeUntilAvailable(Now(), target, rate, 1);
}

void TargetLimiter::Serve() {
  const base::TimePoint now = Now();
  for (const quota::Decision& decision : queue_.Serve(now)) {
    if (const auto local = local_requests_.find(decision.id); local != local_requests_.end()) {
      local->second->result = decision.result;
      local->second->changed.cancel();
      local_requests_.erase(local);
    } else if (const auto remote = remote_requests_.find(decision.id);
               remote != remote_requests_.end()) {
      SendAnswer(remote->second, decision.result);
      remote_requests_.erase(remote);
    }
  }
  const auto next = queue_.NextServeTime(now);
  if (!next) return;
  serve_timer_.expires_after(*next - now);
  serve_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) Serve();
  });
}

void TargetLimiter::DropUnused() {
  const base::TimePoint now = Now();
  tokens_.DropUnused(now);
  own_parts_.DropUnused(now);
  std::erase_if(avoided_until_, [now](const auto& one) { return one.second <= now; });
  std::erase_if(spread_at_, [now](const auto& one) { return now - one.second > kSpreadInterval; });
}

}  // namespace persimmonstair::gateway
