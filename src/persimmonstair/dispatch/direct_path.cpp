#include "persimmonstair/dispatch/direct_path.hpp"

namespace persimmonstair::dispatch {

void DirectPath::OnDirect(const base::TargetId& target, bool connected) {
  if (!connected) {
    missed_.insert(target);
    return;
  }
  missed_.clear();
  missed_by_relay_.clear();
  relay_works_ = false;
}

void DirectPath::OnRelayed(const base::TargetId& target, bool connected) {
  if (!connected) {
    missed_by_relay_.insert(target);
    return;
  }
  missed_by_relay_.erase(target);
  relay_works_ = true;
}

void DirectPath::OnAnswer(const base::TargetId& target) { missed_by_relay_.erase(target); }

PathState DirectPath::State() const {
  if (missed_.size() < kMissesForDoubt) return PathState::kDirect;
  return relay_works_ ? PathState::kLost : PathState::kDoubtful;
}

bool DirectPath::IsUnreachable(const base::TargetId& target) const {
  return State() != PathState::kDirect && missed_.contains(target) &&
         missed_by_relay_.contains(target);
}

bool DirectPath::TakeProbe(base::TimePoint now) {
  if (now - probed_at_ < kPathProbeInterval) return false;
  probed_at_ = now;
  return true;
}

}  // namespace persimmonstair::dispatch
