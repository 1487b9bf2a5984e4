#ifndef PERSIMMONSTAIR_DISPATCH_DEFERRED_REMOVALS_HPP_
#define PERSIMMONSTAIR_DISPATCH_DEFERRED_REMOVALS_HPP_

#include <set>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// Time after an outage of the list within which entries that lapsed meanwhile come back.
inline constexpr std::chrono::milliseconds kRemovalDelay{2200};

/// @brief Targets that are missing from the list after an outage of it. They may only have lapsed,
/// because they could not renew their entries; one that is still missing after the grace is gone.
///
///     lapsed.OnStoreRecovered(now);
///     if (!lapsed.Defer(now, target)) board.Remove(target);
///     for (const auto& target : lapsed.TakeDue(now)) board.Remove(target);
class DeferredRemovals {
 public:
  /// The list can be read again.
  void OnStoreRecovered(base::TimePoint now) { until_ = now + kRemovalDelay; }

  /// True if the removal of a target has to wait; false if it takes effect at once.
  bool Defer(base::TimePoint now, const base::TargetId& id) {
    if (now >= until_) return false;
    missing_.insert(id);
    return true;
  }

  /// The target is in the list again.
  void Cancel(const base::TargetId& id) { missing_.erase(id); }

  /// Targets that are still missing when the grace is over.
  std::vector<base::TargetId> TakeDue(base::TimePoint now) {
    if (now < until_) return {};
    std::vector<base::TargetId> due(missing_.begin(), missing_.end());
    missing_.clear();
    return due;
  }

 private:
  base::TimePoint until_;
  std::set<base::TargetId> missing_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_DEFERRED_REMOVALS_HPP_
