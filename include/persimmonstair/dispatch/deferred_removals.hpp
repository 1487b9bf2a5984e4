#ifndef PERSIMMONSTAIR_DISPATCH_DEFERRED_REMOVALS_HPP_
#define PERSIMMONSTAIR_DISPATCH_DEFERRED_REMOVALS_HPP_

#include <algorithm>
#include <map>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// Time for which removals are deferred after a store outage. Live targets renew the entries that
/// expired during the outage within this time.
inline constexpr std::chrono::milliseconds kRemovalDelay{2200};
/// Longest time for which a removal is deferred, whatever happens to the store meanwhile: three
/// seconds without the store, after which an instance no longer counts as in touch, and the time in
/// which targets renew their entries.
inline constexpr std::chrono::milliseconds kMaxDoubt =
    std::chrono::milliseconds{3000} + kRemovalDelay;

/// @brief Delays the removal of targets whose entries are missing from the platform's list of
/// targets after a store outage.
///
/// Targets cannot renew their entries during an outage, so an entry may expire although its target
/// is alive. A target is removed only if its entry is still missing after `kRemovalDelay`. Until
/// then it is in doubt (TargetRegistry::SetInDoubt), because it may as well have left. A further
/// outage doesn't begin the delay of a removal anew.
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
    missing_.try_emplace(id, Missing{now, until_});
    return true;
  }

  /// Drops the deferred removal of a target, for example because its entry is back.
  void Cancel(const base::TargetId& id) { missing_.erase(id); }

  /// Returns and drops the targets whose delay has passed.
  std::vector<base::TargetId> TakeDue(base::TimePoint now) {
    return Take([now](const Missing& one) { return now >= one.until; });
  }

  /// Returns and drops the targets whose removal was deferred kMaxDoubt ago or earlier.
  std::vector<base::TargetId> TakeOverdue(base::TimePoint now) {
    return Take([now](const Missing& one) { return now - one.since >= kMaxDoubt; });
  }

 private:
  /// A deferred removal.
  struct Missing {
    base::TimePoint since;
    base::TimePoint until;
  };

  template <class Condition>
  std::vector<base::TargetId> Take(Condition condition) {
    std::vector<base::TargetId> taken;
    for (const auto& [id, missing] : missing_) {
      if (condition(missing)) taken.push_back(id);
    }
    for (const auto& id : taken) missing_.erase(id);
    return taken;
  }

  /// End of the delay that the last outage began.
  base::TimePoint until_;
  /// Targets whose removal is deferred.
  std::map<base::TargetId, Missing> missing_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_DEFERRED_REMOVALS_HPP_
