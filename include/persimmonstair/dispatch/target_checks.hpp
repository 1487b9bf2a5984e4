#ifndef PERSIMMONSTAIR_DISPATCH_TARGET_CHECKS_HPP_
#define PERSIMMONSTAIR_DISPATCH_TARGET_CHECKS_HPP_

#include <chrono>
#include <cstdint>
#include <map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// Time from the decision to send a request until it reaches the target, at the most.
inline constexpr std::chrono::milliseconds kMaxSendTime{500};

/// Time without any answer of the store after which it counts as away, and not only as busy.
inline constexpr std::chrono::seconds kStoreAwayAfter{5};

/// @brief Age of what an instance knows when it is about to send a request to a target.
struct TargetKnowledge {
  /// Time at which the list of targets was last known to be current.
  base::TimePoint list_confirmed_at;
  /// Time of the record store's last answer to any call of this instance.
  base::TimePoint store_answered_at;
};

/// @brief Decides whether a target must be asked itself if it takes requests, because the list of
/// targets is too old to rely on.
///
/// A target that leaves says so in its entry, and must get no requests a certain time later. A list
/// that is nearly as old as that may lack the news, whatever has delayed it. Then only a recent
/// health check of the target shows that it stays: other responses need not say so. Once the store
/// has answered nothing for long, no target can have said in its entry that it leaves, and the list
/// is relied on.
///
///     if (checks.IsDue(now, knowledge, target, started_ms)) serves = Ask(target);
///     if (serves) checks.OnServing(asked_at, target, started_ms);
class TargetChecks {
 public:
  /// Targets that leave must get no requests `leave_time` after they have said so.
  explicit TargetChecks(base::Duration leave_time) : max_age_(leave_time - kMaxSendTime) {}

  bool IsDue(base::TimePoint now, const TargetKnowledge& knowledge, const base::TargetId& target,
             std::int64_t started_ms) const;

  /// Records that the target answered a health check which was sent at `asked_at`: it takes
  /// requests. `started_ms` is the target's start time in Unix milliseconds.
  void OnServing(base::TimePoint asked_at, const base::TargetId& target, std::int64_t started_ms);

 private:
  struct Answer {
    std::int64_t started_ms = 0;
    base::TimePoint asked_at;
  };

  /// Age up to which knowledge of a target is relied on.
  base::Duration max_age_;
  std::map<base::TargetId, Answer> answers_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_TARGET_CHECKS_HPP_
