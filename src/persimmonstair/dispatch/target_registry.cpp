#include "persimmonstair/dispatch/target_registry.hpp"

#include <algorithm>
#include <limits>

namespace persimmonstair::dispatch {
namespace {

/// Time in which a stated load of others loses its weight.
constexpr double kLoadDecaySeconds = 0.6;
/// Time for which a target isn't chosen after its connection failed, if there are others.
constexpr std::chrono::milliseconds kAvoidUnreachable{1500};
constexpr std::chrono::milliseconds kAvoidBroken{300};
constexpr std::chrono::milliseconds kAvoidRejected{40};
/// Weight of the newest attempt in the part that broke.
constexpr double kFailureRateWeight = 0.2;
/// Prompt parts remembered for each target; beyond it the oldest half is dropped.
constexpr std::size_t kMaxRememberedIds = 2048;

// Costs in milliseconds of expected delay.
/// One request more beside those that run.
constexpr double kRunningRequestMs = 1.0;
/// One place further back in the target's queue.
constexpr double kQueuedRequestMs = 40;
/// A target in another data centre: its way there and back, and bytes between data centres.
constexpr double kRemoteDataCentreMs = 4;
/// A request that has to be sent a second time, times the part of attempts that broke.
constexpr double kRetryMs = 400;
/// A target to be avoided, so that it is chosen only if all are.
constexpr double kAvoidMs = 100'000;
/// Reading one prompt token.
constexpr double kPromptTokenMs = 1.0 / 200;
/// A plain service's advantage for a subject that it handled lately.
constexpr double kAffinityMissMs = 25;

}  // namespace

void TargetRegistry::Upsert(base::TimePoint now, const TargetEntry& entry) {
  const auto [it, added] = targets_.try_emplace(entry.id);
  Target& target = it->second;
  if (!added && target.entry.started_ms != entry.started_ms) {
    target.last_used.clear();
    target.load_known = false;
    target.failure_rate = 0;
    target.avoid_until = now;
  }
  target.entry = entry;
}

void TargetRegistry::Remove(const base::TargetId& id) { targets_.erase(id); }

std::vector<base::TargetId> TargetRegistry::Ids() const {
  std::vector<base::TargetId> ids;
  ids.reserve(targets_.size());
  for (const auto& [id, target] : targets_) ids.push_back(id);
  return ids;
}

double TargetRegistry::Cost(base::TimePoint now, const Target& target,
                            const TargetCriteria& criteria) const {
  double load = target.in_flight;
  if (target.load_known) {
    const double age = base::ToSeconds(now - target.load_at);
    load += target.other_load * std::max(0.0, 1 - age / kLoadDecaySeconds);
  }
  const double slots = std::max(1U, target.entry.slots);
  double cost = kRunningRequestMs * load + kQueuedRequestMs * std::max(0.0, load + 1 - slots);
  if (target.entry.data_centre != local_data_centre_) cost += kRemoteDataCentreMs;
  cost += kRetryMs * target.failure_rate;
  if (now < target.avoid_until) cost += kAvoidMs;
  bool kept = true;
  for (const auto& part : criteria.prompt) {
    kept = kept && target.last_used.contains(part.id);
    if (!kept) cost += kPromptTokenMs * part.tokens;
  }
  if (!criteria.affinity.empty() && !target.last_used.contains(criteria.affinity))
    cost += kAffinityMissMs;
  return cost;
}

std::optional<TargetEntry> TargetRegistry::Choose(base::TimePoint now,
                                                  const TargetCriteria& criteria) const {
  const Target* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (const auto& [id, target] : targets_) {
    if (target.entry.service != criteria.service || target.entry.draining) continue;
    if (std::find(criteria.tried.begin(), criteria.tried.end(), id) != criteria.tried.end())
      continue;
    const double cost = Cost(now, target, criteria);
    if (cost >= best_cost) continue;
    best = &target;
    best_cost = cost;
  }
  if (best == nullptr) return std::nullopt;
  return best->entry;
}

bool TargetRegistry::HasTarget(const base::ServiceId& service) const {
  return std::any_of(targets_.begin(), targets_.end(), [&service](const auto& one) {
    return one.second.entry.service == service && !one.second.entry.draining;
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

void TargetRegistry::BeginAttempt(base::TimePoint now, const base::TargetId& id,
                                  const TargetCriteria& criteria) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  ++it->second.in_flight;
  RecordUse(now, it->second, criteria);
}

void TargetRegistry::EndAttempt(base::TimePoint now, const base::TargetId& id, AttemptResult end,
                                const std::optional<ReportedLoad>& load) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  Target& target = it->second;
  if (load) {
    // The answer counts the request itself, which is still in flight here.
    const double stated = load->running + load->waiting;
    target.other_load = std::max(0.0, stated - target.in_flight);
    target.load_at = now;
    target.load_known = true;
  }
  if (target.in_flight > 0) --target.in_flight;
  const auto avoid = [&](base::Duration time) {
    target.avoid_until = std::max(target.avoid_until, now + time);
  };
  if (end == AttemptResult::kUnreachable) avoid(kAvoidUnreachable);
  if (end == AttemptResult::kBroken) avoid(kAvoidBroken);
  if (end == AttemptResult::kRejected) avoid(kAvoidRejected);
  if (end == AttemptResult::kCancelled || end == AttemptResult::kRejected) return;
  const bool broke = end != AttemptResult::kAnswered;
  target.failure_rate += kFailureRateWeight * ((broke ? 1.0 : 0.0) - target.failure_rate);
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
