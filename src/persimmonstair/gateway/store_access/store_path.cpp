#include "store_access/store_path.hpp"

#include <algorithm>

namespace persimmonstair::gateway::store_access {
namespace {

using std::chrono::milliseconds;

/// Time without an answer after which the direct way is in doubt. Shorter than the time after which
/// the store counts as unreachable, so that a relay that works keeps the instance ready.
constexpr milliseconds kDoubtAfter{250};
/// Bounds of the pause between two probes through other instances. It doubles with each failure, so
/// that an outage for all instances causes few.
constexpr milliseconds kMinProbePause{300};
constexpr milliseconds kMaxProbePause{2400};
/// Pause between two probes of the direct way while calls go through other instances.
constexpr milliseconds kDirectProbePause{1000};
constexpr int kMaxRelayedFailures = 4;

}  // namespace

std::uint64_t StorePath::OnSent(base::TimePoint now, base::Duration wait) {
  due_at_[++next_call_] = now + wait;
  return next_call_;
}

void StorePath::OnEnded(base::TimePoint now, std::uint64_t call, bool answered) {
  due_at_.erase(call);
  if (!answered) {
    failing_since_ = std::min(failing_since_.value_or(now), now);
    return;
  }
  failing_since_.reset();
  answered_at_ = now;
  probe_pause_ = {};
}

bool StorePath::IsInDoubt(base::TimePoint now) const {
  if (failing_since_ && now - *failing_since_ >= kDoubtAfter) return true;
  return std::any_of(due_at_.begin(), due_at_.end(), [&](const auto& one) {
    return now - one.second >= kDoubtAfter && answered_at_ < one.second;
  });
}

bool StorePath::TakeProbe(base::TimePoint now) {
  if (now < next_probe_at_ || (!relayed_ && !IsInDoubt(now))) return false;
  if (relayed_) {
    next_probe_at_ = now + kDirectProbePause;
    return true;
  }
  probe_pause_ = std::clamp<base::Duration>(2 * probe_pause_, kMinProbePause, kMaxProbePause);
  next_probe_at_ = now + probe_pause_;
  return true;
}

void StorePath::OnProbe(base::TimePoint now, bool answered) {
  if (!answered) return;
  relayed_ = !relayed_;
  relayed_failures_ = 0;
  probe_pause_ = {};
  failing_since_.reset();
  answered_at_ = now;
  next_probe_at_ = now + (relayed_ ? kDirectProbePause : kMinProbePause);
}

void StorePath::OnRelayed(bool answered) {
  relayed_failures_ = answered ? 0 : relayed_failures_ + 1;
  if (relayed_failures_ < kMaxRelayedFailures) return;
  relayed_ = false;
  relayed_failures_ = 0;
}

}  // namespace persimmonstair::gateway::store_access
