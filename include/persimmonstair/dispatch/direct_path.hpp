#ifndef PERSIMMONSTAIR_DISPATCH_DIRECT_PATH_HPP_
#define PERSIMMONSTAIR_DISPATCH_DIRECT_PATH_HPP_

#include <cstddef>
#include <set>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// Targets that new connections must miss in a row before the instance's own path is in doubt.
inline constexpr std::size_t kMissesForDoubt = 2;
/// Interval at which a path that is taken as lost is tried again.
inline constexpr std::chrono::milliseconds kPathProbeInterval{200};

/// @brief What an instance knows of its way to the targets, from the ends of its attempts to open
/// connections.
enum class PathState {
  /// Connections open directly, as far as is known.
  kDirect,
  /// Different targets were missed in a row; it is unknown whether the path or they are the cause.
  kDoubtful,
  /// Targets that were missed directly were reached through other instances.
  kLost,
};

/// @brief Tells a lost path to all targets from targets that are gone.
///
/// One target that is missed says nothing about the path. The path is in doubt once different
/// targets were missed and none was reached in between, and lost if another instance reaches one of
/// them. A direct connection to any target, or an answer on one, ends either state. A target that
/// is silent on an open connection doesn't count as missed: only new connections do.
///
///     path.OnDirect(target, connected);
///     if (path.State() == PathState::kLost && path.TakeProbe(now)) ...
class DirectPath {
 public:
  /// Records the end of a direct attempt to open a connection.
  void OnDirect(const base::TargetId& target, bool connected);
  /// Records that other instances reached the target, or that all that were asked missed it.
  void OnRelayed(const base::TargetId& target, bool connected);
  /// Records an answer of the target on an open direct connection.
  void OnAnswer(const base::TargetId& target);

  PathState State() const;
  /// True if the target was missed directly and through other instances, and the path is in doubt
  /// or lost.
  bool IsUnreachable(const base::TargetId& target) const;

  /// Returns true at most once in kPathProbeInterval: the caller then tries the way that is taken
  /// as lost.
  bool TakeProbe(base::TimePoint now);

 private:
  /// Targets missed directly since one was last reached directly.
  std::set<base::TargetId> missed_;
  /// Targets missed through other instances, since each was last reached in any way.
  std::set<base::TargetId> missed_by_relay_;
  bool relay_works_ = false;
  base::TimePoint probed_at_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_DIRECT_PATH_HPP_
