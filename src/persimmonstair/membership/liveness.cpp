#include "persimmonstair/membership/liveness.hpp"

#include <set>
#include <utility>

namespace persimmonstair::membership {

Liveness::Liveness(base::InstanceId self, base::DataCentreId data_centre, LivenessTimes times)
    : self_(std::move(self)), data_centre_(std::move(data_centre)), times_(times) {}

void Liveness::OnHeartbeat(base::TimePoint now, const base::InstanceId& from,
                           base::Incarnation incarnation, const base::DataCentreId& data_centre,
                           bool leaving) {
  if (from == self_) return;
  const auto [it, is_new] = peers_.try_emplace(from);
  Peer& peer = it->second;
  if (is_new) peer.first_known = now;
  if (incarnation < peer.incarnation) return;
  if (incarnation > peer.incarnation) {
    peer.incarnation = incarnation;
    peer.leaving = false;
    peer.listed_as_leaving = false;
  }
  peer.data_centre = data_centre;
  peer.leaving = peer.leaving || leaving;
  peer.heartbeat_at = now;
  last_heartbeat_at_ = now;
  if (data_centre != data_centre_) last_heartbeat_elsewhere_at_ = now;
}

void Liveness::OnList(base::TimePoint now, const std::vector<InstanceListEntry>& list) {
  std::set<base::InstanceId> present;
  for (const InstanceListEntry& entry : list) {
    if (entry.instance == self_) continue;
    present.insert(entry.instance);
    const auto [it, is_new] = peers_.try_emplace(entry.instance);
    Peer& peer = it->second;
    if (is_new) peer.first_known = now;
    if (!peer.heartbeat_at) peer.data_centre = entry.data_centre;
    peer.listed = true;
    peer.listed_as_leaving = entry.leaving;
  }
  for (auto& [id, peer] : peers_) {
    if (!present.contains(id)) peer.listed = false;
  }
  DropExpiredPeers(now);
}

LivenessState Liveness::State(const Peer& peer, base::TimePoint now) const {
  if (!peer.heartbeat_at) {
    if (!peer.listed) return LivenessState::kDead;
    if (peer.listed_as_leaving) return LivenessState::kLeaving;
    return now - peer.first_known < times_.start_grace ? LivenessState::kSuspect
                                                       : LivenessState::kDead;
  }
  const base::Duration silence = now - *peer.heartbeat_at;
  if (silence >= times_.dead_after) return LivenessState::kDead;
  if (peer.leaving || peer.listed_as_leaving) return LivenessState::kLeaving;
  if (silence < times_.suspect_after) return LivenessState::kLive;
  // The list is updated late, but an instance without heartbeats that is not listed has stopped.
  return peer.listed ? LivenessState::kSuspect : LivenessState::kDead;
}

LivenessState Liveness::StateOf(const base::InstanceId& instance, base::TimePoint now) const {
  if (instance == self_) return self_leaving_ ? LivenessState::kLeaving : LivenessState::kLive;
  const auto it = peers_.find(instance);
  return it == peers_.end() ? LivenessState::kUnknown : State(it->second, now);
}

std::vector<base::InstanceId> Liveness::Live(base::TimePoint now) const {
  std::set<base::InstanceId> live;
  if (!self_leaving_) live.insert(self_);
  for (const auto& [id, peer] : peers_) {
    if (State(peer, now) == LivenessState::kLive) live.insert(id);
  }
  return {live.begin(), live.end()};
}

std::vector<base::InstanceId> Liveness::LiveIn(const base::DataCentreId& data_centre,
                                               base::TimePoint now) const {
  std::set<base::InstanceId> ids;
  if (!self_leaving_ && data_centre == data_centre_) ids.insert(self_);
  for (const auto& [id, peer] : peers_) {
    if (peer.data_centre == data_centre && State(peer, now) == LivenessState::kLive) ids.insert(id);
  }
  return {ids.begin(), ids.end()};
}

void Liveness::DropExpiredPeers(base::TimePoint now) {
  std::erase_if(peers_, [&](const auto& entry) {
    const Peer& peer = entry.second;
    const base::TimePoint last = peer.heartbeat_at.value_or(peer.first_known);
    return !peer.listed && now - last >= times_.drop_after;
  });
}

}  // namespace persimmonstair::membership
