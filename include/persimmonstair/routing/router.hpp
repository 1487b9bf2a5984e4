#ifndef PERSIMMONSTAIR_ROUTING_ROUTER_HPP_
#define PERSIMMONSTAIR_ROUTING_ROUTER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/routing/decisions.hpp"
#include "persimmonstair/routing/events.hpp"
#include "persimmonstair/routing/settings.hpp"

namespace persimmonstair::routing {

/// @brief Queues the requests of one instance and decides when and at which target each one runs.
///
/// Guarantees:
/// - A request has at most one running attempt.
/// - A request ends exactly once, by Refuse, AttemptFinished or RequestCancelled.
/// - A request that is refused with kNotRun was not run by any target.
/// - A non-idempotent request is not sent again once it may have run.
/// - No request is dispatched to a target that is known to be leaving.
/// - Late and repeated events have no effect.
///
///     Router router{settings};
///     for (const Decision& it : router.Handle(now, RequestQueued{...})) Execute(it);
class Router {
 public:
  explicit Router(Settings settings);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Handles one event and returns the resulting decisions. `now` must not decrease between calls.
  std::vector<Decision> Handle(base::TimePoint now, const Event& event);

  /// Number of queued requests.
  std::size_t Queued() const;
  /// Number of running attempts.
  std::size_t Running() const;
  /// Running attempts of this instance at each target, for the heartbeat.
  std::map<base::TargetId, std::uint32_t> InFlight() const;
  /// Engine time that ended attempts of each workspace have used through this instance since its
  /// start, in microseconds, for the heartbeat. Use of one of an engine's n decoding slots counts
  /// as 1/n; requests to services do not count.
  std::map<base::WorkspaceId, std::uint64_t> AttainedMicros() const;
  /// True if the catalogue, the instance list or the target itself states that the target is
  /// leaving, or if the target is not in the catalogue.
  bool IsLeaving(const base::TargetId& target) const;
  /// True while the target gets no requests because connections to it failed or timed out.
  bool IsSuspect(const base::TargetId& target) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_ROUTING_ROUTER_HPP_
