#include "persimmonstair/dispatch/target_board.hpp"

#include <algorithm>
#include <limits>

namespace persimmonstair::dispatch {
namespace {

/// Time in which a stated load of others loses its weight.
constexpr double kLoadMemorySeconds = 0.6;
/// Time for which a target isn't chosen after its connection failed, if there are others.
constexpr std::chrono::milliseconds kAvoidUnreachable{1500};
constexpr std::chrono::milliseconds kAvoidBroken{300};
constexpr std::chrono::milliseconds kAvoidRejected{40};
/// Weight of the newest attempt in the part that broke.
constexpr double kBrokenWeight = 0.2;
/// Prompt parts remembered for each target; beyond it the oldest half is dropped.
constexpr std::size_t kMaxSeen = 2048;

// Costs in milliseconds of expected delay.
/// One request more beside those that run.
constexpr double kSharedSlotMs = 1.0;
/// One place further back in the target's queue.
constexpr double kQueuePlaceMs = 40;
/// A target in another data centre: its way there and back, and bytes between data centres.
constexpr double kRemoteMs = 4;
/// A request that has to be sent a second time, times the part of attempts that broke.
constexpr double kRepeatMs = 400;
/// A target to be avoided, so that it is chosen only if all are.
constexpr double kAvoidMs = 100'000;
/// Reading one prompt token.
constexpr double kTokenMs = 1.0 / 200;
/// A plain service's advantage for a subject that it handled lately.
constexpr double kAffinityMs = 25;

}  // namespace

void TargetBoard::Upsert(base::TimePoint now, const TargetEntry& entry) {
  const auto [it, added] = targets_.try_emplace(entry.id);
  Target& target = it->second;
  if (!added && target.entry.started_ms != entry.started_ms) {
    target.seen.clear();
    target.load_known = false;
    target.broken = 0;
    target.avoid_until = now;
  }
  target.entry = entry;
}

void TargetBoard::Remove(const base::TargetId& id) { targets_.erase(id); }

std::vector<base::TargetId> TargetBoard::Ids() const {
  std::vector<base::TargetId> ids;
  ids.reserve(targets_.size());
  for (const auto& [id, target] : targets_) ids.push_back(id);
  return ids;
}

double TargetBoard::Cost(base::TimePoint now, const Target& target, const Demand& demand) const {
  double load = target.in_flight;
  if (target.load_known) {
    const double age = base::ToSeconds(now - target.load_at);
    load += target.others * std::max(0.0, 1 - age / kLoadMemorySeconds);
  }
  const double slots = std::max(1U, target.entry.slots);
  double cost = kSharedSlotMs * load + kQueuePlaceMs * std::max(0.0, load + 1 - slots);
  if (target.entry.data_centre != home_) cost += kRemoteMs;
  cost += kRepeatMs * target.broken;
  if (now < target.avoid_until) cost += kAvoidMs;
  bool kept = true;
  for (const auto& part : demand.prompt) {
    kept = kept && target.seen.contains(part.id);
    if (!kept) cost += kTokenMs * part.tokens;
  }
  if (!demand.affinity.empty() && !target.seen.contains(demand.affinity)) cost += kAffinityMs;
  return cost;
}

std::optional<TargetEntry> TargetBoard::Choose(base::TimePoint now, const Demand& demand) const {
  const Target* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (const auto& [id, target] : targets_) {
    if (target.entry.service != demand.service || target.entry.draining) continue;
    if (std::find(demand.tried.begin(), demand.tried.end(), id) != demand.tried.end()) continue;
    const double cost = Cost(now, target, demand);
    if (cost >= best_cost) continue;
    best = &target;
    best_cost = cost;
  }
  if (best == nullptr) return std::nullopt;
  return best->entry;
}

bool TargetBoard::HasTarget(const base::ServiceId& service) const {
  return std::any_of(targets_.begin(), targets_.end(), [&service](const auto& one) {
    return one.second.entry.service == service && !one.second.entry.draining;
  });
}

void TargetBoard::Remember(base::TimePoint now, Target& target, const Demand& demand) {
  for (const auto& part : demand.prompt) target.seen[part.id] = now;
  if (!demand.affinity.empty()) target.seen[demand.affinity] = now;
  if (target.seen.size() <= kMaxSeen) return;
  std::vector<base::TimePoint> times;
  times.reserve(target.seen.size());
  for (const auto& [id, at] : target.seen) times.push_back(at);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(target.seen, [oldest = *middle](const auto& one) { return one.second < oldest; });
}

void TargetBoard::Begin(base::TimePoint now, const base::TargetId& id, const Demand& demand) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  ++it->second.in_flight;
  Remember(now, it->second, demand);
}

void TargetBoard::End(base::TimePoint now, const base::TargetId& id, AttemptEnd end,
                      const std::optional<ReportedLoad>& load) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  Target& target = it->second;
  if (load) {
    // The answer counts the request itself, which is still in flight here.
    const double stated = load->running + load->waiting;
    target.others = std::max(0.0, stated - target.in_flight);
    target.load_at = now;
    target.load_known = true;
  }
  if (target.in_flight > 0) --target.in_flight;
  const auto avoid = [&](base::Duration time) {
    target.avoid_until = std::max(target.avoid_until, now + time);
  };
  if (end == AttemptEnd::kUnreachable) avoid(kAvoidUnreachable);
  if (end == AttemptEnd::kBroken) avoid(kAvoidBroken);
  if (end == AttemptEnd::kRejected) avoid(kAvoidRejected);
  if (end == AttemptEnd::kCancelled || end == AttemptEnd::kRejected) return;
  const bool broke = end != AttemptEnd::kAnswered;
  target.broken += kBrokenWeight * ((broke ? 1.0 : 0.0) - target.broken);
}

const TargetEntry* TargetBoard::Find(const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : &it->second.entry;
}

std::uint32_t TargetBoard::InFlight(const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? 0 : it->second.in_flight;
}

}  // namespace persimmonstair::dispatch
