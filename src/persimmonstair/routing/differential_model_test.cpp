#include "differential_model.hpp"

#include <algorithm>
#include <variant>

namespace persimmonstair::routing::differential {
namespace {

// As in TargetTable: the time for which the state of a leaving target is kept after its removal
// from the catalogue.
constexpr base::Duration kLeavingStateRetention{600'000'000};

bool Serves(const catalogue::Target& entry, const RequestQueued& spec) {
  if (spec.route.empty()) {
    return entry.kind == catalogue::TargetKind::kEngine &&
           std::ranges::find(entry.models, spec.model) != entry.models.end();
  }
  return entry.kind == catalogue::TargetKind::kService &&
         std::ranges::find(entry.routes, spec.route) != entry.routes.end();
}

}  // namespace

void ReferenceModel::Observe(base::TimePoint now, const Event& event) {
  now_ = now;
  ticked_ = std::holds_alternative<Tick>(event);
  std::visit([this](const auto& it) { On(it); }, event);
}

void ReferenceModel::On(const RequestQueued& event) {
  const auto [it, added] = all_requests_.try_emplace(event.request);
  if (!added) return;
  const base::Duration left =
      event.deadline.count() > 0 ? event.deadline : settings_.default_deadline;
  it->second = KnownRequest{event, Phase::kQueued, now_, now_ + left};
}

void ReferenceModel::On(const RequestCancelled& event) {
  const auto it = all_requests_.find(event.request);
  if (it == all_requests_.end()) return;
  KnownRequest& request = it->second;
  if (request.phase == Phase::kQueued) request.phase = Phase::kEnded;
  if (request.phase == Phase::kRunning && request.spec.idempotent) request.cancelled = true;
}

void ReferenceModel::On(const AttemptStarted& event) {
  const auto it = attempts_.find(event.attempt);
  if (it != attempts_.end()) all_requests_.at(it->second.request).may_have_run = true;
}

void ReferenceModel::On(const AttemptFirstByte& event) { On(AttemptStarted{event.attempt}); }

void ReferenceModel::RemoveAttempt(base::AttemptId attempt) {
  const base::TargetId target = attempts_.at(attempt).target;
  attempts_.erase(attempt);
  all_targets_.at(target).history.emplace_back(now_, OwnInFlight(target));
}

void ReferenceModel::On(const AttemptFinished& event) {
  const auto it = attempts_.find(event.attempt);
  if (it == attempts_.end()) return;
  KnownRequest& request = all_requests_.at(it->second.request);
  request.phase = Phase::kEnded;
  crashed_requests_.erase({request.spec.workspace, request.spec.fingerprint});
  const base::TargetId target = it->second.target;
  RemoveAttempt(event.attempt);
  if (event.leaving) ApplyLeavingReport(target, true, now_);
}

void ReferenceModel::On(const AttemptFailed& event) {
  const auto it = attempts_.find(event.attempt);
  if (it == attempts_.end()) return;
  const Attempt attempt = it->second;
  KnownRequest& request = all_requests_.at(attempt.request);
  KnownTarget& known = all_targets_.at(attempt.target);
  RemoveAttempt(event.attempt);
  const bool ran = event.verdict != base::Verdict::kNotRun;
  request.may_have_run = request.may_have_run || ran;
  request.queued_at = now_;
  request.retry_exempt_from_budget = event.leaving;
  request.phase = request.cancelled ? Phase::kEnded : Phase::kQueued;
  request.must_refuse =
      !request.cancelled && (event.partly_relayed || event.kind == FailureKind::kCancelled ||
                             (!request.spec.idempotent && request.may_have_run));
  if (event.leaving) return ApplyLeavingReport(attempt.target, true, now_);
  switch (event.kind) {
    case FailureKind::kConnectionClosed:
      if (ran) crashed_requests_.emplace(request.spec.workspace, request.spec.fingerprint);
      known.suspect = true;
      break;
    case FailureKind::kConnectRefused:
    case FailureKind::kConnectTimeout:
      known.suspect = true;
      break;
    case FailureKind::kFirstByteTimeout:
    case FailureKind::kBetweenBytesTimeout:
      known.suspect = known.suspect || attempt.fresh_connection;
      break;
    default:
      break;
  }
}

void ReferenceModel::ApplyLeavingReport(const base::TargetId& id, bool leaving,
                                        base::TimePoint at) {
  const auto it = all_targets_.find(id);
  if (it == all_targets_.end()) return;
  KnownTarget& known = it->second;
  if (known.reported && (at < known.reported_at || (at == known.reported_at && !leaving))) return;
  known.reported = true;
  known.reported_leaving = leaving;
  known.reported_at = at;
}

void ReferenceModel::On(const TargetReported& event) {
  const auto it = all_targets_.find(event.target);
  if (it == all_targets_.end()) return;
  const base::TimePoint taken = now_ - event.age;
  ApplyLeavingReport(event.target, event.leaving, taken);
  std::uint32_t own_in_flight = OwnInFlight(event.target);
  const auto& history = it->second.history;
  for (auto at = history.rbegin(); at != history.rend(); ++at) {
    own_in_flight = std::max(own_in_flight, at->second);
    if (at->first <= taken) break;
  }
  const std::uint32_t total = event.running + event.waiting;
  it->second.others_in_flight = total > own_in_flight ? total - own_in_flight : 0;
  it->second.others_expire_at = now_ + settings_.report_expiry;
}

void ReferenceModel::On(const PeerPoisonReport& event) {
  crashed_requests_.emplace(event.workspace, event.fingerprint);
}

void ReferenceModel::On(const PeerTargetSuspect& event) {
  if (event.leaving) ApplyLeavingReport(event.target, true, now_);
}

void ReferenceModel::On(const CatalogueApplied& event) {
  for (auto& [id, known] : all_targets_) known.listed = false;
  for (const auto& entry : event.targets) {
    KnownTarget& known = all_targets_[entry.id];
    known.entry = entry;
    known.listed = true;
  }
}

void ReferenceModel::On(const DataCentreReachability& event) {
  if (event.reachable) {
    unreachable_.erase(event.data_centre);
  } else {
    unreachable_.insert(event.data_centre);
  }
}

void ReferenceModel::On(const ProbeFinished& event) {
  const auto it = all_targets_.find(event.target);
  if (it == all_targets_.end() || !it->second.probing) return;
  it->second.probing = false;
  it->second.suspect = !event.healthy;
}

void ReferenceModel::On(const Tick& /*event*/) {
  std::erase_if(peers_, [this](const auto& entry) {
    return now_ - entry.second.last_load_at > settings_.report_expiry;
  });
  for (auto& [id, known] : all_targets_) {
    if (now_ > known.others_expire_at) known.others_in_flight = 0;
  }
  std::erase_if(all_targets_, [this](const auto& entry) {
    const KnownTarget& it = entry.second;
    const bool keep_state = it.reported_leaving && now_ - it.reported_at < kLeavingStateRetention;
    return !it.listed && OwnInFlight(entry.first) == 0 && !keep_state;
  });
}

std::uint32_t ReferenceModel::OwnInFlight(const base::TargetId& id) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      attempts_, [&id](const auto& entry) { return entry.second.target == id; }));
}

std::uint32_t ReferenceModel::Occupied(const base::TargetId& id) const {
  std::uint32_t peers_in_flight = 0;
  for (const auto& [instance, peer] : peers_) {
    const auto it = peer.in_flight.find(id);
    if (it != peer.in_flight.end()) peers_in_flight += it->second;
  }
  return OwnInFlight(id) + std::max(peers_in_flight, all_targets_.at(id).others_in_flight);
}

bool ReferenceModel::HasCrashed(const KnownRequest& request) const {
  return crashed_requests_.contains({request.spec.workspace, request.spec.fingerprint});
}

std::string ReferenceModel::ReasonUnsuitable(const KnownRequest& request,
                                             const base::TargetId& id) const {
  const auto it = all_targets_.find(id);
  if (it == all_targets_.end() || !it->second.listed) return "not in the catalogue";
  const KnownTarget& known = it->second;
  if (!Serves(known.entry, request.spec)) return "does not serve this model or route";
  if (known.entry.state == catalogue::TargetState::kLeaving)
    return "leaving according to the catalogue";
  if (list_leaving_.contains(id)) return "leaving according to the instance list";
  if (known.reported_leaving) return "leaving according to its own report";
  if (known.suspect) return "suspect";
  if (unreachable_.contains(known.entry.data_centre)) return "in an unreachable data centre";
  if (Occupied(id) >= known.entry.slots) return "full";
  return "";
}

std::string ReferenceModel::CheckDecision(const Dispatch& it) {
  const auto found = all_requests_.find(it.request);
  if (found == all_requests_.end()) return "dispatch of an unknown request";
  KnownRequest& request = found->second;
  if (request.phase == Phase::kRunning) return "dispatched while already running";
  if (request.phase == Phase::kEnded) return "dispatched after it ended";
  if (request.must_refuse) return "dispatched although it must not be retried";
  if (!request.spec.idempotent && request.may_have_run) return "non-idempotent request sent again";
  if (request.deadline <= now_ && it.deadline.count() <= 0 && ticked_)
    return "dispatched after its deadline";
  if (auto reason = ReasonUnsuitable(request, it.target); !reason.empty()) {
    return "dispatched to " + it.target.value + ", which is " + reason;
  }
  if (request.attempts > 0 && !it.fresh_connection) return "retry on a pooled connection";
  if (request.attempts == 0) ++first_dispatches_;
  if (request.attempts > 0 && !request.retry_exempt_from_budget) ++retries_;
  request.phase = Phase::kRunning;
  ++request.attempts;
  attempts_[it.attempt] = {it.request, it.target, it.fresh_connection};
  all_targets_.at(it.target).history.emplace_back(now_, OwnInFlight(it.target));
  return "";
}

std::string ReferenceModel::CheckDecision(const Refuse& it) {
  const auto found = all_requests_.find(it.request);
  if (found == all_requests_.end()) return "refusal of an unknown request";
  KnownRequest& request = found->second;
  if (request.phase != Phase::kQueued) return "refused while running or after it ended";
  const bool not_run = it.error.verdict == base::Verdict::kNotRun;
  if (not_run == request.may_have_run) return "refused with the wrong verdict";
  request.phase = Phase::kEnded;
  request.must_refuse = false;
  return "";
}

std::string ReferenceModel::Verify(const std::vector<Decision>& decisions, const Router& router) {
  for (const Decision& it : decisions) {
    std::string broken;
    if (const auto* dispatch = std::get_if<Dispatch>(&it)) broken = CheckDecision(*dispatch);
    if (const auto* refuse = std::get_if<Refuse>(&it)) broken = CheckDecision(*refuse);
    if (const auto* probe = std::get_if<Probe>(&it)) all_targets_.at(probe->target).probing = true;
    if (!broken.empty()) return broken;
  }
  if (auto broken = CheckState(router); !broken.empty()) return broken;
  return CheckWorkConserving();
}

std::string ReferenceModel::CheckState(const Router& router) const {
  std::size_t queued = 0;
  for (const auto& [id, request] : all_requests_) {
    if (request.phase != Phase::kQueued) continue;
    ++queued;
    if (request.must_refuse) return "a request that must be refused is still queued";
    if (!ticked_) continue;
    if (now_ >= request.deadline) return "a request is queued past its deadline";
    if (now_ >= request.queued_at + settings_.max_queue_time)
      return "a request is queued longer than the maximum queue time";
  }
  if (queued != router.Queued()) return "a queued request was lost";
  if (attempts_.size() != router.Running()) return "a running request was lost";
  if (queued > settings_.max_queued) return "more requests are queued than allowed";
  const double budget = settings_.retry_ratio * static_cast<double>(first_dispatches_);
  if (static_cast<double>(retries_) > budget + settings_.retry_burst)
    return "retries exceed the budget";
  return "";
}

std::string ReferenceModel::CheckWorkConserving() const {
  for (const auto& [id, request] : all_requests_) {
    if (request.phase != Phase::kQueued) continue;
    // With Settings::plan_ahead, a request may wait for the full engine that has its prefix cached.
    const base::TargetId& holder = request.spec.last_target;
    if (settings_.plan_ahead && ReasonUnsuitable(request, holder) == "full") continue;
    for (const auto& [target, known] : all_targets_) {
      if (!ReasonUnsuitable(request, target).empty()) continue;
      const bool apart = HasCrashed(request) && OwnInFlight(target) > 0;
      if (apart) continue;
      return "request " + std::to_string(id.value) + " waits although " + target.value +
             " has a free slot";
    }
  }
  return "";
}

std::vector<base::AttemptId> ReferenceModel::Running() const {
  std::vector<base::AttemptId> ids;
  for (const auto& [id, attempt] : attempts_) ids.push_back(id);
  return ids;
}

}  // namespace persimmonstair::routing::differential
