#ifndef PERSIMMONSTAIR_SRC_DISPATCH_MODEL_CHOICE_BEFORE_HPP_
#define PERSIMMONSTAIR_SRC_DISPATCH_MODEL_CHOICE_BEFORE_HPP_

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "persimmonstair/base/rendezvous.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"

namespace persimmonstair::dispatch::model {

/// @brief The choice of commit ff81a31, against which models compare the present one: home targets
/// by conversation, a random spread by request, no regard to connections. Only for services without
/// failures, removals and rate limits.
class ChoiceBefore {
 public:
  explicit ChoiceBefore(base::DataCentreId local, const base::InstanceId& /*instance*/)
      : local_(std::move(local)) {}

  void Upsert(base::TimePoint /*now*/, const TargetEntry& entry) {
    targets_[entry.id].entry = entry;
  }

  std::optional<TargetEntry> Choose(base::TimePoint now, const TargetCriteria& criteria) const {
    const Target* const home = FindHome(criteria);
    const Target* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (const auto& [id, target] : targets_) {
      if (!Meets(target, criteria)) continue;
      const double cost = Cost(now, target, criteria, &target == home);
      if (cost >= best_cost) continue;
      best = &target;
      best_cost = cost;
    }
    return best == nullptr ? std::nullopt : std::optional{best->entry};
  }

  void BeginAttempt(base::TimePoint now, const base::TargetId& id, const TargetCriteria& criteria) {
    Target& target = targets_[id];
    ++target.in_flight;
    for (const auto& part : criteria.prompt) target.last_used[part.id] = now;
    if (!criteria.affinity.empty()) target.last_used[criteria.affinity] = now;
    if (target.last_used.size() > kMaxRememberedIds) DropOlderHalf(target);
  }

  void EndAttempt(base::TimePoint now, const base::TargetId& id, AttemptResult result,
                  const std::optional<ReportedLoad>& load) {
    Target& target = targets_[id];
    if (load) {
      const double reported = load->running + load->waiting;
      target.other_load = std::max(0.0, reported - target.in_flight);
      target.load_at = now;
      target.load_known = true;
    }
    --target.in_flight;
    if (result == AttemptResult::kRejected) {
      target.avoid_until = now + std::chrono::milliseconds{40};
    }
  }

 private:
  static constexpr std::size_t kMaxRememberedIds = 2048;

  struct Target {
    TargetEntry entry;
    std::uint32_t in_flight = 0;
    double other_load = 0;
    base::TimePoint load_at;
    bool load_known = false;
    base::TimePoint avoid_until;
    std::unordered_map<std::string, base::TimePoint> last_used;
  };

  static void DropOlderHalf(Target& target) {
    std::vector<base::TimePoint> times;
    for (const auto& [id, at] : target.last_used) times.push_back(at);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(target.last_used, [at = *middle](const auto& one) { return one.second < at; });
  }

  static bool Meets(const Target& target, const TargetCriteria& criteria) {
    return target.entry.service == criteria.service &&
           std::find(criteria.skip.begin(), criteria.skip.end(), target.entry.id) ==
               criteria.skip.end();
  }

  const Target* FindHome(const TargetCriteria& criteria) const {
    if (criteria.conversation.empty()) return nullptr;
    const Target* home = nullptr;
    std::pair<bool, std::uint64_t> best;
    for (const auto& [id, target] : targets_) {
      if (!Meets(target, criteria)) continue;
      const std::pair rank{target.entry.data_centre == local_,
                           base::RendezvousWeight(criteria.conversation, id.value)};
      if (home != nullptr && rank <= best) continue;
      home = &target;
      best = rank;
    }
    return home;
  }

  double Cost(base::TimePoint now, const Target& target, const TargetCriteria& criteria,
              bool is_home) const {
    double load = target.in_flight;
    if (target.load_known) {
      const double age = base::ToSeconds(now - target.load_at);
      load += target.other_load * std::max(0.0, 1 - age / 0.6);
    }
    double cost = load + 40 * std::max(0.0, load + 1 - target.entry.slots);
    if (target.entry.data_centre != local_) cost += 4;
    if (now < target.avoid_until) cost += 100'000;
    bool cached = true;
    for (const auto& part : criteria.prompt) {
      cached = cached && (is_home || target.last_used.contains(part.id));
      if (!cached) cost += part.tokens / 200.0;
    }
    const bool misses = !criteria.affinity.empty() && !target.last_used.contains(criteria.affinity);
    if (misses && !is_home) cost += 25;
    if (!criteria.conversation.empty() && !is_home) cost += 3;
    const auto weight = base::RendezvousWeight(criteria.request, target.entry.id.value);
    return cost + 2 * static_cast<double>(weight) /
                      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  }

  base::DataCentreId local_;
  std::map<base::TargetId, Target> targets_;
};

}  // namespace persimmonstair::dispatch::model

#endif  // PERSIMMONSTAIR_SRC_DISPATCH_MODEL_CHOICE_BEFORE_HPP_
