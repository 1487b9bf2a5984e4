#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_PATH_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_PATH_HPP_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief Decides whether calls of the record store go directly or through another instance.
///
/// The store, or the way to it, may be lost for some instances only. Then calls fail or stay
/// without an answer, while a probe through another instance succeeds. If the probe fails too, the
/// store is away for all, and calls stay direct.
///
///     const auto id = path.OnSent(now, wait);
///     path.OnEnded(now, id, answered);
///     if (path.TakeProbe(now)) path.OnProbe(now, ProbeStore());
class StorePath {
 public:
  /// Registers a direct call that the store may hold open for `wait`; returns its number.
  std::uint64_t OnSent(base::TimePoint now, base::Duration wait);
  /// Registers its end. `answered` is true for each answer but a refusal for lack of capacity.
  void OnEnded(base::TimePoint now, std::uint64_t call, bool answered);

  /// True if calls go through another instance.
  bool IsRelayed() const { return relayed_; }
  /// True if a probe is due: through another instance while calls go directly, else directly.
  /// Counts it as begun.
  bool TakeProbe(base::TimePoint now);
  /// Registers the end of a probe. A success changes the way of all calls.
  void OnProbe(base::TimePoint now, bool answered);
  /// Registers the end of a call through another instance. After several failures in a row, calls
  /// go directly again.
  void OnRelayed(bool answered);

 private:
  /// True if direct calls have had no answer for some time although there were calls.
  bool IsInDoubt(base::TimePoint now) const;

  bool relayed_ = false;
  int relayed_failures_ = 0;
  std::uint64_t next_call_ = 0;
  /// Direct calls in progress: the time at which each should have an answer.
  std::map<std::uint64_t, base::TimePoint> due_at_;
  std::optional<base::TimePoint> failing_since_;
  base::TimePoint answered_at_;
  base::TimePoint next_probe_at_;
  base::Duration probe_pause_{0};
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_PATH_HPP_
