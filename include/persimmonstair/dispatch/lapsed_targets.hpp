#ifndef PERSIMMONSTAIR_DISPATCH_LAPSED_TARGETS_HPP_
#define PERSIMMONSTAIR_DISPATCH_LAPSED_TARGETS_HPP_

#include <set>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// Time after an outage of the list within which entries that lapsed meanwhile come back.
inline constexpr std::chrono::milliseconds kLapseGrace{2200};

/// @brief Targets that are missing from the list after an outage of it. They may only have lapsed,
/// because they could not renew their entries; one that is still missing after the grace is gone.
///
///     lapsed.OnRegained(now);
///     if (!lapsed.Hold(now, target)) board.Remove(target);
///     for (const auto& target : lapsed.TakeGone(now)) board.Remove(target);
class LapsedTargets {
 public:
  /// The list can be read again.
  void OnRegained(base::TimePoint now) { until_ = now + kLapseGrace; }

  /// True if the removal of a target has to wait; false if it takes effect at once.
  bool Hold(base::TimePoint now, const base::TargetId& id) {
    if (now >= until_) return false;
    missing_.insert(id);
    return true;
  }

  /// The target is in the list again.
  void Restore(const base::TargetId& id) { missing_.erase(id); }

  /// Targets that are still missing when the grace is over.
  std::vector<base::TargetId> TakeGone(base::TimePoint now) {
    if (now < until_) return {};
    std::vector<base::TargetId> gone(missing_.begin(), missing_.end());
    missing_.clear();
    return gone;
  }

 private:
  base::TimePoint until_;
  std::set<base::TargetId> missing_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_LAPSED_TARGETS_HPP_
