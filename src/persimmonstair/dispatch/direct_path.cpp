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
  missed_by_relay_.clear();
  relay_works_ = true;
}

PathState DirectPath::State() const {
  if (missed_.size() < kMissesForDoubt) return PathState::kDirect;
  if (missed_by_relay_.size() >= kMissesForDoubt) return PathState::kNoWay;
  return relay_works_ ? PathState::kLost : PathState::kDoubtful;
}

bool DirectPath::TakeProbe(base::TimePoint now) {
  if (now - probed_at_ < kPathProbeInterval) return false;
  probed_at_ = now;
  return true;
}

}  // namespace persimmonstair::dispatch
