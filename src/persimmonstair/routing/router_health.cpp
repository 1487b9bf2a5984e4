#include <algorithm>

#include "router_state.hpp"

namespace persimmonstair::routing {

void Router::State::HandleConnectionFault(Target& target, FailureKind kind, bool fresh_connection) {
  switch (kind) {
    case FailureKind::kConnectRefused:
    case FailureKind::kConnectTimeout:
      MakeSuspect(target, settings.probe_min_pause);
      return;
    case FailureKind::kConnectionClosed:
      // The first probe is sent immediately: a crashed target often restarts quickly, and a pooled
      // connection may have been closed because of its age.
      MakeSuspect(target, base::Duration{0});
      return;
    case FailureKind::kFirstByteTimeout:
    case FailureKind::kBetweenBytesTimeout:
      out.emplace_back(BroadcastTargetSuspect{target.entry.id, false});
      HandleSilentConnection(target);
      if (fresh_connection) MakeSuspect(target, settings.probe_min_pause);
      return;
    case FailureKind::kMalformedAnswer:
    case FailureKind::kCancelled:
      return;
  }
}

void Router::State::HandleSilentConnection(Target& target) {
  target.health.fresh_connections_only = true;
  out.emplace_back(CloseIdle{target.entry.id, target.entry.address,
                             static_cast<std::uint32_t>(target.entry.port)});
}

void Router::State::MakeSuspect(Target& target, base::Duration pause) {
  Health& health = target.health;
  health.fresh_connections_only = true;
  if (health.suspect) return;
  health.suspect = true;
  health.probe_pause = std::max(pause, settings.probe_min_pause);
  if (!health.probe_running) {
    health.probe_due = true;
    health.probe_at = now + pause;
  }
  targets.UpdateAvailability(target);
  if (pause.count() == 0) SendProbes();
}

void Router::State::SendProbes() {
  for (const auto& [id, target] : targets.All()) {
    Health& health = target->health;
    if (!health.probe_due || now < health.probe_at || !target->listed) continue;
    // Schedules another probe in case the result of this one never arrives.
    health.probe_running = true;
    health.probe_at = now + settings.probe_max_pause;
    out.emplace_back(Probe{id});
  }
}

void Router::State::On(const ProbeFinished& event) {
  Target* target = targets.Find(event.target);
  if (target == nullptr || !target->health.probe_running) return;
  Health& health = target->health;
  health.probe_running = false;
  if (event.healthy) {
    health.suspect = health.probe_due = false;
    health.probe_pause = {};
    targets.UpdateAvailability(*target);
    return;
  }
  health.suspect = health.fresh_connections_only = health.probe_due = true;
  health.probe_pause =
      std::clamp(health.probe_pause * 2, settings.probe_min_pause, settings.probe_max_pause);
  health.probe_at = now + health.probe_pause;
  targets.UpdateAvailability(*target);
}

void Router::State::On(const PeerTargetSuspect& event) {
  Target* target = targets.Find(event.target);
  if (target == nullptr) return;
  if (event.leaving) {
    targets.RecordLeavingReport(*target, true, now);
    return;
  }
  // The fault may be on the network path of the peer, so only a failed probe by this instance stops
  // dispatches.
  HandleSilentConnection(*target);
  if (target->health.probe_running || target->health.probe_due) return;
  target->health.probe_due = true;
  target->health.probe_at = now;
  SendProbes();
}

}  // namespace persimmonstair::routing
