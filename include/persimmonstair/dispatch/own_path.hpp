#ifndef PERSIMMONSTAIR_DISPATCH_OWN_PATH_HPP_
#define PERSIMMONSTAIR_DISPATCH_OWN_PATH_HPP_

#include <map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// @brief Decides whether a failed request of this instance tells something about its target, or
/// only about the instance: it was frozen, or has lost its path to the targets of a data centre.
///
///     path.Tick(now);  // several times a second
///     if (path.OnFailure(now, target, data_centre, sent_at)) CountFailure();
class OwnPath {
 public:
  /// Longest time between two calls of Tick() of an instance that runs undisturbed.
  static constexpr std::chrono::milliseconds kMaxTickInterval{400};

  /// Records that the instance runs. A long time since the last call means that it was frozen.
  void Tick(base::TimePoint now);

  void OnAnswer(base::TimePoint now, const base::TargetId& target,
                const base::DataCentreId& data_centre);
  /// Records a failure; returns true if it tells something about the target.
  bool OnFailure(base::TimePoint now, const base::TargetId& target,
                 const base::DataCentreId& data_centre, base::TimePoint sent_at);
  void Remove(const base::TargetId& target) { results_.erase(target); }

  /// True if messages that arrive now may have waited while the instance was frozen.
  bool JustResumed(base::TimePoint now) const;
  /// True if requests to the targets of the data centre fail mostly.
  bool IsLost(base::TimePoint now, const base::DataCentreId& data_centre) const;
  /// True if requests to all targets fail mostly.
  bool IsLost(base::TimePoint now) const;

 private:
  struct Result {
    base::DataCentreId data_centre;
    bool failed = false;
    base::TimePoint at;
  };

  bool IsLost(base::TimePoint now, const base::DataCentreId* data_centre) const;

  std::map<base::TargetId, Result> results_;
  bool ticked_ = false;
  base::TimePoint ticked_at_;
  bool was_frozen_ = false;
  base::TimePoint resumed_at_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_OWN_PATH_HPP_
