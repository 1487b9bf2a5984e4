#ifndef PERSIMMONSTAIR_DISPATCH_DEFERRED_REMOVALS_HPP_
#define PERSIMMONSTAIR_DISPATCH_DEFERRED_REMOVALS_HPP_

#include <set>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// Time for which removals are deferred after a store outage. Live targets renew the entries that
/// expired during the outage within this time.
inline constexpr std::chrono::milliseconds kRemovalDelay{2200};

/// @brief Delays the removal of targets whose entries are missing from the platform's list of
/// targets after a store outage.
///
/// Targets cannot renew their entries during an outage, so an entry may expire although its target
/// is alive. A target is removed only if its entry is still missing after `kRemovalDelay`.
///
///     removals.OnStoreRecovered(now);
///     if (!removals.Defer(now, target)) registry.Remove(target);
///     for (const auto& target : removals.TakeDue(now)) registry.Remove(target);
class DeferredRemovals {
 public:
  /// Starts the delay; to be called when the list of targets can be read again.
  void OnStoreRecovered(base::TimePoint now) { until_ = now + kRemovalDelay; }

  /// Returns true if the removal is deferred, false if the target has to be removed now.
  bool Defer(base::TimePoint now, const base::TargetId& id) {
    if (now >= until_) return false;
    missing_.insert(id);
    return true;
  }

  /// Drops the deferred removal of a target, for example because its entry is back.
  void Cancel(const base::TargetId& id) { missing_.erase(id); }

  /// Returns and clears the targets to remove once the delay has passed; empty before that.
  std::vector<base::TargetId> TakeDue(base::TimePoint now) {
    if (now < until_) return {};
    std::vector<base::TargetId> due(missing_.begin(), missing_.end());
    missing_.clear();
    return due;
  }

 private:
  /// End of the delay.
  base::TimePoint until_;
  /// Targets whose removal is deferred.
  std::set<base::TargetId> missing_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_DEFERRED_REMOVALS_HPP_
