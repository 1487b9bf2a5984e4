#include "persimmonstair/dispatch/target_registry.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "persimmonstair/base/rendezvous.hpp"
#include "persimmonstair/dispatch/slow_start.hpp"

namespace persimmonstair::dispatch {
namespace {

/// Time in which the weight of a reported load falls linearly to zero.
constexpr double kLoadDecaySeconds = 0.6;
/// Maximum number of prompt parts and affinity values remembered for each target. If it is
/// exceeded, the older half is dropped.
constexpr std::size_t kMaxRememberedIds = 2048;

/// Time for which a reported load counts for the load of the service.
constexpr std::chrono::seconds kReportLifetime{1};

/// Maximum number of leaving targets remembered. If it is exceeded, the oldest one that isn't
/// listed is dropped.
constexpr std::size_t kMaxRememberedLeaving = 4096;

// Costs, in milliseconds of expected delay.
/// For each request that runs at the target.
constexpr double kRunningRequestMs = 1.0;
/// For each request by which the target's slots would be exceeded, without measurements of the
/// service's times.
constexpr double kQueuedRequestMs = 40;
/// Bounds of the same as learned, against odd measurements.
constexpr double kMinQueuedRequestMs = 2;
constexpr double kMaxQueuedRequestMs = 400;
/// Response time of a service without measurements.
constexpr double kDefaultResponseMs = 40;
/// Work times up to this factor don't change where a request goes: they vary many times a second,
/// so that a statement of some hundred milliseconds ago doesn't tell such small differences.
constexpr double kOrdinaryWorkTime = 1.25;
/// For a target in another data centre: round trip and traffic between data centres.
constexpr double kRemoteDataCentreMs = 4;
/// For sending the request a second time; multiplied by the failure rate.
constexpr double kRetryMs = 400;
/// For a target that is being avoided. Large enough that it is chosen only if all targets are.
constexpr double kAvoidMs = 100'000;
/// For each second until a target's rate allows another request.
constexpr double kMsPerSecond = 1000;
/// For prefilling one prompt token that the target hasn't cached.
constexpr double kPromptTokenMs = 1.0 / 200;
/// For a target that isn't the conversation's home, where later turns are expected.
constexpr double kNotHomeMs = 3;
/// Largest part by the instance's preference. Less than the cost of another data centre, more than
/// that of a request.
constexpr double kSpreadMs = 3.5;
/// For each request of this instance at the target, so that its parallel requests use different
/// targets although each prefers the same one.
constexpr double kInFlightRequestMs = 3;
/// For a new connection: a round trip and the work of both sides. Less than 0.7 x kSpreadMs, so
/// that the preference can move on to a target without a connection.
constexpr double kNewConnectionMs = 2;
/// Requests by which a target may be behind others for this instance's preference.
constexpr std::uint64_t kMaxMissed = std::uint64_t{2} * InstanceSpread::kRequestsForTarget;
/// For a plain service's target that didn't handle the affinity value recently.
constexpr double kMissMs = 25;

}  // namespace

void TargetRegistry::Upsert(base::TimePoint now, const TargetEntry& entry) {
  const auto [it, added] = targets_.try_emplace(entry.id);
  Target& target = it->second;
  if (!added && target.entry.started_ms != entry.started_ms) {
    target.last_used.clear();
    target.load_known = false;
    target.reported_at = {};
    target.failure_rate = 0;
    target.work_time = {};
    target.avoid_until = now;
    target.rate.reset();
    target.token_at = now;
    target.cold_until.reset();
    target.restarted_at = now;
  }
  outliers_.Add(entry.id, entry.service, entry.data_centre, entry.started_ms);
  if (entry.cold_left > base::Duration{0}) target.cold_until = now + entry.cold_left;
  EndDoubt(target);
  target.entry = entry;
  target.evacuated = IsEvacuated(entry.data_centre);
  target.spread_place = base::RendezvousWeight(instance_.value, entry.id.value);
  target.leaving = IsLeaving(entry.id, entry.started_ms);
  if (entry.draining) MarkLeaving(now, entry.id, entry.started_ms);
}

bool TargetRegistry::MarkLeaving(base::TimePoint now, const base::TargetId& id,
                                 std::int64_t started_ms) {
  if (!leaving_since_.try_emplace({id, started_ms}, now).second) return false;
  const auto it = targets_.find(id);
  if (it != targets_.end() && it->second.entry.started_ms == started_ms) it->second.leaving = true;
  ForgetOldestLeaving();
  return true;
}

bool TargetRegistry::IsLeaving(const base::TargetId& id, std::int64_t started_ms) const {
  return leaving_since_.contains({id, started_ms});
}

std::size_t TargetRegistry::LeavingUnlisted() const {
  return static_cast<std::size_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [](const auto& one) { return one.second.leaving && !one.second.entry.draining; }));
}

void TargetRegistry::ForgetOldestLeaving() {
  if (leaving_since_.size() <= kMaxRememberedLeaving) return;
  auto oldest = leaving_since_.end();
  for (auto it = leaving_since_.begin(); it != leaving_since_.end(); ++it) {
    const TargetEntry* entry = Find(it->first.id);
    const bool listed = entry != nullptr && entry->started_ms == it->first.started_ms;
    if (listed) continue;
    if (oldest == leaving_since_.end() || it->second < oldest->second) oldest = it;
  }
  if (oldest != leaving_since_.end()) leaving_since_.erase(oldest);
}

void TargetRegistry::Remove(const base::TargetId& id) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  EndDoubt(it->second);
  outliers_.Remove(id);
  targets_.erase(it);
}

void TargetRegistry::SetInDoubt(const base::TargetId& id) {
  const auto it = targets_.find(id);
  if (it == targets_.end() || it->second.in_doubt) return;
  it->second.in_doubt = true;
  ++in_doubt_;
}

void TargetRegistry::EndDoubt(Target& target) {
  if (target.in_doubt) --in_doubt_;
  target.in_doubt = false;
}

bool TargetRegistry::IsShunned(const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it != targets_.end() && it->second.in_doubt && ShunsDoubtful(it->second.entry.service);
}

bool TargetRegistry::ShunsDoubtful(const base::ServiceId& service) const {
  if (in_doubt_ == 0) return false;
  std::size_t in_doubt = 0;
  std::size_t listed = 0;
  for (const auto& [id, target] : targets_) {
    if (target.entry.service != service || target.leaving || target.evacuated) continue;
    ++(target.in_doubt ? in_doubt : listed);
  }
  return in_doubt <= listed;
}

void TargetRegistry::SetCold(base::TimePoint now, const base::TargetId& id, base::Duration left) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  std::optional<base::TimePoint>& until = it->second.cold_until;
  if (left > base::Duration{0}) {
    until = now + left;
  } else if (until) {
    until = std::min(*until, now);
  }
}

bool TargetRegistry::IsCold(base::TimePoint now, const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it != targets_.end() && IsCold(now, it->second);
}

void TargetRegistry::SetEvacuated(std::set<base::DataCentreId> data_centres) {
  evacuated_ = std::move(data_centres);
  for (auto& [id, target] : targets_) target.evacuated = IsEvacuated(target.entry.data_centre);
  // The preference for a remote target must not outlast the evacuation of this data centre.
  for (auto& [id, service] : services_) service.spread = {};
}

std::vector<base::TargetId> TargetRegistry::Ids() const {
  std::vector<base::TargetId> ids;
  ids.reserve(targets_.size());
  for (const auto& [id, target] : targets_) ids.push_back(id);
  return ids;
}

double TargetRegistry::Load(base::TimePoint now, const Target& target) {
  if (!target.load_known) return target.in_flight;
  const double age = base::ToSeconds(now - target.load_at);
  return target.in_flight + target.other_load * std::max(0.0, 1 - age / kLoadDecaySeconds);
}

double TargetRegistry::Excess(base::TimePoint now, const Target& target) {
  const double slots = std::max(1U, target.entry.slots);
  return std::max(0.0, Load(now, target) + 1 - slots);
}

const TargetRegistry::Target* TargetRegistry::FindHome(const TargetCriteria& criteria) const {
  if (criteria.conversation.empty()) return nullptr;
  const bool shuns_doubtful = ShunsDoubtful(criteria.service);
  const Target* home = nullptr;
  std::pair<bool, std::uint64_t> best;
  for (const auto& [id, target] : targets_) {
    if (!Meets(target, criteria, shuns_doubtful)) continue;
    const bool is_local = target.entry.data_centre == local_data_centre_;
    const std::pair rank{is_local, base::RendezvousWeight(criteria.conversation, id.value)};
    if (home != nullptr && rank <= best) continue;
    home = &target;
    best = rank;
  }
  return home;
}

double TargetRegistry::MissCost(const Target& target, const TargetCriteria& criteria,
                                bool is_home) {
  double cost = 0;
  bool prefix_cached = true;
  for (const auto& part : criteria.prompt) {
    prefix_cached = prefix_cached && (is_home || target.last_used.contains(part.id));
    if (!prefix_cached) cost += kPromptTokenMs * part.tokens;
  }
  const bool misses = !criteria.affinity.empty() && !target.last_used.contains(criteria.affinity);
  if (misses && !is_home) cost += kMissMs;
  if (!criteria.conversation.empty() && !is_home) cost += kNotHomeMs;
  return cost;
}

double TargetRegistry::LoadCost(base::TimePoint now, const Target& target) const {
  const TargetEntry& entry = target.entry;
  double queued_ms = kQueuedRequestMs;
  if (const auto slot_ms = service_times_.SlotMs(entry.service)) {
    queued_ms =
        std::clamp(*slot_ms / std::max(1U, entry.slots), kMinQueuedRequestMs, kMaxQueuedRequestMs);
  }
  const double work_time = std::max(1.0, target.work_time.Factor(now));
  const double response_ms = service_times_.ResponseMs(entry.service).value_or(kDefaultResponseMs);
  return work_time * (kRunningRequestMs * Load(now, target) + queued_ms * Excess(now, target)) +
         std::max(0.0, work_time - kOrdinaryWorkTime) * response_ms;
}

double TargetRegistry::Cost(base::TimePoint now, const Target& target,
                            const TargetCriteria& criteria, bool is_home) const {
  const double supposed = UnreportedLoad(now, target) + SlowStartLoad(now, target);
  double cost = LoadCost(now, target) + kRunningRequestMs * supposed;
  if (target.entry.data_centre != local_data_centre_) cost += kRemoteDataCentreMs;
  cost += kRetryMs * FailureRate(now, target);
  cost += outliers_.Penalty(now, target.entry.id, criteria.request, criteria.may_probe);
  if (now < target.avoid_until) cost += kAvoidMs;
  cost += kMsPerSecond * base::ToSeconds(WaitForToken(now, target));
  cost += MissCost(target, criteria, is_home);
  cost += ConnectionCost(target, criteria);
  if (criteria.request.empty() || is_home) return cost;
  const auto it = services_.find(criteria.service);
  const InstanceSpread spread = it == services_.end() ? InstanceSpread{} : it->second.spread;
  return cost + kSpreadMs * spread.Distance(target.spread_place) +
         kInFlightRequestMs * target.in_flight;
}

double TargetRegistry::ConnectionCost(const Target& target, const TargetCriteria& criteria) {
  if (!criteria.has_idle_connection) return 0;
  return criteria.has_idle_connection(target.entry.id) ? 0 : kNewConnectionMs;
}

double TargetRegistry::SlowStartLoad(base::TimePoint now, const Target& target) {
  const double share = SlowStartShare(now, target.cold_until);
  const double load = Load(now, target);
  return (load + (1 - share)) / share - load;
}

double TargetRegistry::UnreportedLoad(base::TimePoint now, const Target& target) const {
  const auto it = services_.find(target.entry.service);
  if (it == services_.end()) return 0;
  const double age = base::ToSeconds(now - target.load_at);
  const double unknown = target.load_known ? std::min(1.0, age / kLoadDecaySeconds) : 1.0;
  return unknown * it->second.usual_load;
}

void TargetRegistry::CountSpread(Target& chosen, const TargetCriteria& criteria) {
  if (criteria.request.empty() || !criteria.conversation.empty()) return;
  ++chosen.spread_requests;
  InstanceSpread& spread = services_[criteria.service].spread;
  if (!spread.CountRequest()) return;
  Target* next = nullptr;
  std::tuple<bool, std::uint64_t, double> best;
  for (auto& [id, target] : targets_) {
    const bool unused = target.leaving || target.evacuated || outliers_.IsEjected(id);
    if (target.entry.service != criteria.service || unused) continue;
    const double distance = spread.Distance(target.spread_place);
    if (distance == 0) continue;
    const std::tuple rank{target.entry.data_centre != local_data_centre_, target.spread_requests,
                          distance};
    if (next != nullptr && rank >= best) continue;
    next = &target;
    best = rank;
  }
  if (next == nullptr) return;
  // A new target, or one that was avoided for long, doesn't make up for all that it missed.
  const std::uint64_t least = chosen.spread_requests - std::min(chosen.spread_requests, kMaxMissed);
  next->spread_requests = std::max(next->spread_requests, least);
  spread.MoveTo(next->spread_place);
}

bool TargetRegistry::Meets(const Target& target, const TargetCriteria& criteria,
                           bool shuns_doubtful) {
  const TargetEntry& entry = target.entry;
  if (entry.service != criteria.service || target.leaving || target.evacuated) return false;
  if (target.in_doubt && shuns_doubtful) return false;
  if (!criteria.version.empty() && entry.version != criteria.version) return false;
  if (criteria.only_unlimited && target.rate && target.rate->limit_per_s) return false;
  return std::find(criteria.skip.begin(), criteria.skip.end(), entry.id) == criteria.skip.end();
}

bool TargetRegistry::HasTargetFor(const TargetCriteria& criteria) const {
  const bool shuns_doubtful = ShunsDoubtful(criteria.service);
  return std::any_of(targets_.begin(), targets_.end(),
                     [&](const auto& one) { return Meets(one.second, criteria, shuns_doubtful); });
}

std::optional<TargetEntry> TargetRegistry::Choose(base::TimePoint now,
                                                  const TargetCriteria& criteria) const {
  const Target* const home = FindHome(criteria);
  const bool shuns_doubtful = ShunsDoubtful(criteria.service);
  const Target* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (const auto& [id, target] : targets_) {
    if (!Meets(target, criteria, shuns_doubtful)) continue;
    if (criteria.only_unlimited && IsCold(now, target)) continue;
    const double cost = Cost(now, target, criteria, &target == home);
    if (cost >= best_cost) continue;
    best = &target;
    best_cost = cost;
  }
  if (best == nullptr) return std::nullopt;
  return best->entry;
}

bool TargetRegistry::HasAvailableTarget(const base::ServiceId& service) const {
  return std::any_of(targets_.begin(), targets_.end(), [&service](const auto& one) {
    return one.second.entry.service == service && !one.second.leaving && !one.second.evacuated;
  });
}

void TargetRegistry::RecordUse(base::TimePoint now, Target& target,
                               const TargetCriteria& criteria) {
  for (const auto& part : criteria.prompt) target.last_used[part.id] = now;
  if (!criteria.affinity.empty()) target.last_used[criteria.affinity] = now;
  if (target.last_used.size() <= kMaxRememberedIds) return;
  std::vector<base::TimePoint> times;
  times.reserve(target.last_used.size());
  for (const auto& [id, at] : target.last_used) times.push_back(at);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(target.last_used,
                [oldest = *middle](const auto& one) { return one.second < oldest; });
}

bool TargetRegistry::ApplyRateStatement(const base::TargetId& id, const RateStatement& statement) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return false;
  Target& target = it->second;
  if (statement.started_ms != target.entry.started_ms) return false;
  if (target.rate && statement.as_of < target.rate->as_of) return false;
  const std::optional<double> before = target.rate ? target.rate->limit_per_s : std::nullopt;
  target.rate = statement;
  return before != statement.limit_per_s;
}

std::optional<RateStatement> TargetRegistry::LastRateStatement(const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? std::nullopt : it->second.rate;
}

void TargetRegistry::ExpectToken(const base::TargetId& id, base::TimePoint at) {
  const auto it = targets_.find(id);
  if (it != targets_.end()) it->second.token_at = at;
}

base::Duration TargetRegistry::WaitForToken(base::TimePoint now, const Target& target) {
  const bool limited = target.rate && target.rate->limit_per_s;
  if (!limited && !IsCold(now, target)) return {};
  return std::max<base::Duration>(target.token_at - now, {});
}

base::Duration TargetRegistry::TokenWait(base::TimePoint now, const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? base::Duration{} : WaitForToken(now, it->second);
}

base::Duration TargetRegistry::QueueDelay(base::TimePoint now, const base::TargetId& id) const {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return {};
  const std::chrono::duration<double, std::milli> slot{kQueuedRequestMs * Excess(now, it->second)};
  return std::chrono::duration_cast<base::Duration>(slot) + WaitForToken(now, it->second);
}

ServiceLoad TargetRegistry::LoadOf(base::TimePoint now, const base::ServiceId& service) const {
  ServiceLoad sum;
  for (const auto& [id, target] : targets_) {
    if (target.entry.service != service || target.leaving || target.evacuated) continue;
    ++sum.available;
    if (target.reported_at == base::TimePoint{} || now - target.reported_at >= kReportLifetime) {
      continue;
    }
    ++sum.reporting;
    sum.load += target.reported_load;
  }
  if (sum.reporting > 0) sum.load /= static_cast<double>(sum.reporting);
  return sum;
}

bool TargetRegistry::HasLimitedTarget(const base::ServiceId& service) const {
  return std::any_of(targets_.begin(), targets_.end(), [&service](const auto& one) {
    return one.second.entry.service == service && one.second.rate && one.second.rate->limit_per_s;
  });
}

std::size_t TargetRegistry::LimitedTargets() const {
  return static_cast<std::size_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [](const auto& one) { return one.second.rate && one.second.rate->limit_per_s; }));
}

const TargetEntry* TargetRegistry::Find(const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : &it->second.entry;
}

std::uint32_t TargetRegistry::InFlight(const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? 0 : it->second.in_flight;
}

}  // namespace persimmonstair::dispatch
