#include "differential_model.hpp"

#include <algorithm>
#include <variant>

namespace persimmonstair::routing::differential {
namespace {

// As in the router: an unlisted target's own sign of leaving is kept this long.
constexpr base::Duration kSignLife{600'000'000};

bool Serves(const catalogue::Target& entry, const RequestQueued& spec) {
  if (spec.route.empty()) {
    return entry.kind == catalogue::TargetKind::kEngine &&
           std::ranges::find(entry.models, spec.model) != entry.models.end();
  }
  return entry.kind == catalogue::TargetKind::kService &&
         std::ranges::find(entry.routes, spec.route) != entry.routes.end();
}

}  // namespace

void Model::Observe(base::TimePoint now, const Event& event) {
  now_ = now;
  ticked_ = std::holds_alternative<Tick>(event);
  std::visit([this](const auto& it) { On(it); }, event);
}

void Model::On(const RequestQueued& event) {
  const auto [it, added] = calls_.try_emplace(event.request);
  if (!added) return;
  const base::Duration left =
      event.deadline.count() > 0 ? event.deadline : settings_.default_deadline;
  it->second = Call{event, Phase::kQueued, now_, now_ + left};
}

void Model::On(const RequestCancelled& event) {
  const auto it = calls_.find(event.request);
  if (it == calls_.end()) return;
  Call& call = it->second;
  if (call.phase == Phase::kQueued) call.phase = Phase::kEnded;
  if (call.phase == Phase::kRunning && call.spec.idempotent) call.cancelled = true;
}

void Model::On(const AttemptStarted& event) {
  const auto it = attempts_.find(event.attempt);
  if (it != attempts_.end()) calls_.at(it->second.request).byte_left = true;
}

void Model::On(const AttemptFirstByte& event) { On(AttemptStarted{event.attempt}); }

void Model::Detach(base::AttemptId attempt) {
  const base::TargetId target = attempts_.at(attempt).target;
  attempts_.erase(attempt);
  places_.at(target).history.emplace_back(now_, Own(target));
}

void Model::On(const AttemptFinished& event) {
  const auto it = attempts_.find(event.attempt);
  if (it == attempts_.end()) return;
  Call& call = calls_.at(it->second.request);
  call.phase = Phase::kEnded;
  crashed_.erase({call.spec.workspace, call.spec.fingerprint});
  const base::TargetId target = it->second.target;
  Detach(event.attempt);
  if (event.leaving) Answer(target, true, now_);
}

void Model::On(const AttemptFailed& event) {
  const auto it = attempts_.find(event.attempt);
  if (it == attempts_.end()) return;
  const Attempt attempt = it->second;
  Call& call = calls_.at(attempt.request);
  Place& place = places_.at(attempt.target);
  Detach(event.attempt);
  const bool ran = event.verdict != base::Verdict::kNotRun;
  call.byte_left = call.byte_left || ran;
  call.queued_at = now_;
  call.leaving_retry = event.leaving;
  call.phase = call.cancelled ? Phase::kEnded : Phase::kQueued;
  call.must_end =
      !call.cancelled && (event.partly_relayed || event.kind == FailureKind::kCancelled ||
                          (!call.spec.idempotent && call.byte_left));
  if (event.leaving) return Answer(attempt.target, true, now_);
  switch (event.kind) {
    case FailureKind::kConnectionClosed:
      if (ran) crashed_.emplace(call.spec.workspace, call.spec.fingerprint);
      place.suspect = true;
      break;
    case FailureKind::kConnectRefused:
    case FailureKind::kConnectTimeout:
      place.suspect = true;
      break;
    case FailureKind::kFirstByteTimeout:
    case FailureKind::kBetweenBytesTimeout:
      place.suspect = place.suspect || attempt.fresh;
      break;
    default:
      break;
  }
}

void Model::Answer(const base::TargetId& id, bool leaving, base::TimePoint at) {
  const auto it = places_.find(id);
  if (it == places_.end()) return;
  Place& place = it->second;
  if (place.answered && (at < place.answered_at || (at == place.answered_at && !leaving))) return;
  place.answered = true;
  place.answered_leaving = leaving;
  place.answered_at = at;
}

void Model::On(const TargetReported& event) {
  const auto it = places_.find(event.target);
  if (it == places_.end()) return;
  const base::TimePoint taken = now_ - event.age;
  Answer(event.target, event.leaving, taken);
  std::uint32_t own = Own(event.target);
  const auto& history = it->second.history;
  for (auto at = history.rbegin(); at != history.rend(); ++at) {
    own = std::max(own, at->second);
    if (at->first <= taken) break;
  }
  const std::uint32_t total = event.running + event.waiting;
  it->second.others = total > own ? total - own : 0;
  it->second.others_until = now_ + settings_.report_expiry;
}

void Model::On(const PeerPoison& event) { crashed_.emplace(event.workspace, event.fingerprint); }

void Model::On(const PeerSuspect& event) {
  if (event.leaving) Answer(event.target, true, now_);
}

void Model::On(const CatalogueApplied& event) {
  for (auto& [id, place] : places_) place.listed = false;
  for (const auto& entry : event.targets) {
    Place& place = places_[entry.id];
    place.entry = entry;
    place.listed = true;
  }
}

void Model::On(const DataCentreReach& event) {
  if (event.reachable) {
    cut_off_.erase(event.data_centre);
  } else {
    cut_off_.insert(event.data_centre);
  }
}

void Model::On(const ProbeFinished& event) {
  const auto it = places_.find(event.target);
  if (it == places_.end() || !it->second.probing) return;
  it->second.probing = false;
  it->second.suspect = !event.healthy;
}

void Model::On(const Tick& /*event*/) {
  std::erase_if(peers_, [this](const auto& entry) {
    return now_ - entry.second.heard_at > settings_.report_expiry;
  });
  for (auto& [id, place] : places_) {
    if (now_ > place.others_until) place.others = 0;
  }
  std::erase_if(places_, [this](const auto& entry) {
    const Place& it = entry.second;
    const bool sign = it.answered_leaving && now_ - it.answered_at < kSignLife;
    return !it.listed && Own(entry.first) == 0 && !sign;
  });
}

std::uint32_t Model::Own(const base::TargetId& id) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      attempts_, [&id](const auto& entry) { return entry.second.target == id; }));
}

std::uint32_t Model::Occupied(const base::TargetId& id) const {
  std::uint32_t peers = 0;
  for (const auto& [instance, peer] : peers_) {
    const auto it = peer.in_flight.find(id);
    if (it != peer.in_flight.end()) peers += it->second;
  }
  return Own(id) + std::max(peers, places_.at(id).others);
}

bool Model::HasCrashed(const Call& call) const {
  return crashed_.contains({call.spec.workspace, call.spec.fingerprint});
}

std::string Model::Unsuitable(const Call& call, const base::TargetId& id) const {
  const auto it = places_.find(id);
  if (it == places_.end() || !it->second.listed) return "not in the catalogue";
  const Place& place = it->second;
  if (!Serves(place.entry, call.spec)) return "does not serve this model or route";
  if (place.entry.state == catalogue::TargetState::kLeaving) return "leaving by catalogue";
  if (list_leaving_.contains(id)) return "leaving by instance list";
  if (place.answered_leaving) return "leaving by its own answer";
  if (place.suspect) return "suspect";
  if (cut_off_.contains(place.entry.data_centre)) return "in a cut-off data centre";
  if (Occupied(id) >= place.entry.slots) return "full";
  return "";
}

std::string Model::Accept(const Dispatch& it) {
  const auto found = calls_.find(it.request);
  if (found == calls_.end()) return "dispatch of an unknown request";
  Call& call = found->second;
  if (call.phase == Phase::kRunning) return "dispatched twice at a time";
  if (call.phase == Phase::kEnded) return "dispatched after its end";
  if (call.must_end) return "dispatched although it may not be retried";
  if (!call.spec.idempotent && call.byte_left) return "non-idempotent request sent again";
  if (call.deadline <= now_ && it.deadline.count() <= 0 && ticked_) return "dispatched too late";
  if (auto reason = Unsuitable(call, it.target); !reason.empty()) {
    return "dispatched to " + it.target.value + ", which is " + reason;
  }
  if (call.attempts > 0 && !it.fresh_connection) return "retry on a pooled connection";
  if (call.attempts == 0) ++first_dispatches_;
  if (call.attempts > 0 && !call.leaving_retry) ++retries_;
  call.phase = Phase::kRunning;
  ++call.attempts;
  attempts_[it.attempt] = {it.request, it.target, it.fresh_connection};
  places_.at(it.target).history.emplace_back(now_, Own(it.target));
  return "";
}

std::string Model::Accept(const Refuse& it) {
  const auto found = calls_.find(it.request);
  if (found == calls_.end()) return "refusal of an unknown request";
  Call& call = found->second;
  if (call.phase != Phase::kQueued) return "refused while running or after its end";
  const bool not_run = it.error.verdict == base::Verdict::kNotRun;
  if (not_run == call.byte_left) return "refused with the wrong verdict";
  call.phase = Phase::kEnded;
  call.must_end = false;
  return "";
}

std::string Model::Verify(const std::vector<Decision>& decisions, const Router& router) {
  for (const Decision& decision : decisions) {
    std::string broken;
    if (const auto* dispatch = std::get_if<Dispatch>(&decision)) broken = Accept(*dispatch);
    if (const auto* refuse = std::get_if<Refuse>(&decision)) broken = Accept(*refuse);
    if (const auto* probe = std::get_if<Probe>(&decision)) places_.at(probe->target).probing = true;
    if (!broken.empty()) return broken;
  }
  if (auto broken = CheckState(router); !broken.empty()) return broken;
  return CheckWorkConserving();
}

std::string Model::CheckState(const Router& router) const {
  std::size_t queued = 0;
  for (const auto& [id, call] : calls_) {
    if (call.phase != Phase::kQueued) continue;
    ++queued;
    if (call.must_end) return "request neither refused nor ended";
    if (!ticked_) continue;
    if (now_ >= call.deadline) return "queued past its deadline";
    if (now_ >= call.queued_at + settings_.max_queue_time) return "queued too long";
  }
  if (queued != router.Queued()) return "a queued request was lost";
  if (attempts_.size() != router.Running()) return "a running request was lost";
  if (queued > settings_.max_queued) return "queue too long";
  const double budget = settings_.retry_ratio * static_cast<double>(first_dispatches_);
  if (static_cast<double>(retries_) > budget + settings_.retry_reserve) return "too many retries";
  return "";
}

std::string Model::CheckWorkConserving() const {
  for (const auto& [id, call] : calls_) {
    if (call.phase != Phase::kQueued) continue;
    // With plan-ahead a request may wait for the engine that holds its prefix, if that is full.
    const base::TargetId& holder = call.spec.last_target;
    if (settings_.plan_ahead && Unsuitable(call, holder) == "full") continue;
    for (const auto& [target, place] : places_) {
      if (!Unsuitable(call, target).empty()) continue;
      const bool apart = HasCrashed(call) && Own(target) > 0;
      if (apart) continue;
      return "request " + std::to_string(id.value) + " waits although " + target.value +
             " has a free slot";
    }
  }
  return "";
}

std::vector<base::AttemptId> Model::Running() const {
  std::vector<base::AttemptId> ids;
  for (const auto& [id, attempt] : attempts_) ids.push_back(id);
  return ids;
}

}  // namespace persimmonstair::routing::differential
