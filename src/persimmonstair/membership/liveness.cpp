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
    peer.list_leaving = false;
  }
  peer.data_centre = data_centre;
  peer.leaving = peer.leaving || leaving;
  peer.heard = now;
  last_heard_ = now;
  if (data_centre != data_centre_) last_heard_elsewhere_ = now;
}

void Liveness::OnList(base::TimePoint now, const std::vector<Listed>& list) {
  std::set<base::InstanceId> present;
  for (const Listed& entry : list) {
    if (entry.instance == self_) continue;
    present.insert(entry.instance);
    const auto [it, is_new] = peers_.try_emplace(entry.instance);
    Peer& peer = it->second;
    if (is_new) peer.first_known = now;
    if (!peer.heard) peer.data_centre = entry.data_centre;
    peer.listed = true;
    peer.list_leaving = entry.leaving;
  }
  for (auto& [id, peer] : peers_) {
    if (!present.contains(id)) peer.listed = false;
  }
  Forget(now);
}

State Liveness::Judge(const Peer& peer, base::TimePoint now) const {
  if (!peer.heard) {
    if (!peer.listed) return State::kDead;
    if (peer.list_leaving) return State::kLeaving;
    return now - peer.first_known < times_.start_grace ? State::kSuspect : State::kDead;
  }
  const base::Duration silence = now - *peer.heard;
  if (silence >= times_.dead_after) return State::kDead;
  if (peer.leaving || peer.list_leaving) return State::kLeaving;
  if (silence < times_.suspect_after) return State::kLive;
  // The list is late, but an instance that is silent and not listed has gone.
  return peer.listed ? State::kSuspect : State::kDead;
}

State Liveness::StateOf(const base::InstanceId& instance, base::TimePoint now) const {
  if (instance == self_) return self_leaving_ ? State::kLeaving : State::kLive;
  const auto it = peers_.find(instance);
  return it == peers_.end() ? State::kUnknown : Judge(it->second, now);
}

std::vector<base::InstanceId> Liveness::Live(base::TimePoint now) const {
  std::set<base::InstanceId> live;
  if (!self_leaving_) live.insert(self_);
  for (const auto& [id, peer] : peers_) {
    if (Judge(peer, now) == State::kLive) live.insert(id);
  }
  return {live.begin(), live.end()};
}

std::vector<base::InstanceId> Liveness::LiveIn(const base::DataCentreId& data_centre,
                                               base::TimePoint now) const {
  std::set<base::InstanceId> live;
  if (!self_leaving_ && data_centre == data_centre_) live.insert(self_);
  for (const auto& [id, peer] : peers_) {
    if (peer.data_centre == data_centre && Judge(peer, now) == State::kLive) live.insert(id);
  }
  return {live.begin(), live.end()};
}

void Liveness::Forget(base::TimePoint now) {
  std::erase_if(peers_, [&](const auto& entry) {
    const Peer& peer = entry.second;
    const base::TimePoint last = peer.heard.value_or(peer.first_known);
    return !peer.listed && now - last >= times_.forget_after;
  });
}

}  // namespace persimmonstair::membership
