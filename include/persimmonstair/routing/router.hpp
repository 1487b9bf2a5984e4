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

/// @brief Queues the requests of one instance and chooses when and where each runs.
///
/// Guarantees: a request has at most one running attempt; it ends exactly once, by Refuse,
/// AttemptFinished or RequestCancelled; a refusal with kNotRun was never sent; a non-idempotent
/// request is never sent again after a byte may have left; no dispatch goes to a target after a
/// sign that it is leaving. Late and repeated events change nothing.
///
///     Router router{settings};
///     for (const Decision& it : router.Handle(now, RequestQueued{...})) Execute(it);
class Router {
 public:
  explicit Router(Settings settings);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// `now` must not go back between calls.
  std::vector<Decision> Handle(base::TimePoint now, const Event& event);

  std::size_t Queued() const;
  std::size_t Running() const;
  /// Own running attempts for each target, for the heartbeat.
  std::map<base::TargetId, std::uint32_t> InFlight() const;
  /// Own engine time for each workspace since the start in microseconds, for the heartbeat.
  std::map<base::WorkspaceId, std::uint64_t> AttainedMicros() const;
  /// True after any of the three sources said that the target is leaving.
  bool IsLeaving(const base::TargetId& target) const;
  /// True while the target gets no requests because of silence or failed connections.
  bool IsSuspect(const base::TargetId& target) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_ROUTING_ROUTER_HPP_
