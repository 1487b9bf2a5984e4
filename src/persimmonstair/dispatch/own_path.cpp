#include "persimmonstair/dispatch/own_path.hpp"

#include <cstddef>

namespace persimmonstair::dispatch {
namespace {

/// Time for which the last result at a target counts.
constexpr std::chrono::milliseconds kResultAge{2000};
/// Failing targets from which the path may be the cause.
constexpr std::size_t kMinFailing = 3;
/// Time in which an instance that was frozen reads the datagrams that arrived meanwhile.
constexpr std::chrono::milliseconds kCatchUpTime{100};

}  // namespace

void OwnPath::Tick(base::TimePoint now) {
  if (ticked_ && now - ticked_at_ > kMaxTickInterval) {
    was_frozen_ = true;
    resumed_at_ = now;
  }
  ticked_ = true;
  ticked_at_ = now;
}

bool OwnPath::JustResumed(base::TimePoint now) const {
  const bool overdue = ticked_ && now - ticked_at_ > kMaxTickInterval;
  return overdue || (was_frozen_ && now - resumed_at_ < kCatchUpTime);
}

void OwnPath::OnAnswer(base::TimePoint now, const base::TargetId& target,
                       const base::DataCentreId& data_centre) {
  results_[target] = {data_centre, false, now};
}

bool OwnPath::OnFailure(base::TimePoint now, const base::TargetId& target,
                        const base::DataCentreId& data_centre, base::TimePoint sent_at) {
  // After a freeze, timers may run before the next tick.
  if (ticked_ && now - ticked_at_ > kMaxTickInterval) Tick(now);
  if (was_frozen_ && sent_at <= resumed_at_) return false;
  results_[target] = {data_centre, true, now};
  return !IsLost(now, data_centre) && !IsLost(now);
}

bool OwnPath::IsLost(base::TimePoint now, const base::DataCentreId& data_centre) const {
  return IsLost(now, &data_centre);
}

bool OwnPath::IsLost(base::TimePoint now) const { return IsLost(now, nullptr); }

bool OwnPath::IsLost(base::TimePoint now, const base::DataCentreId* data_centre) const {
  std::size_t failed = 0;
  std::size_t answered = 0;
  for (const auto& [target, result] : results_) {
    if (now - result.at > kResultAge) continue;
    if (data_centre != nullptr && result.data_centre != *data_centre) continue;
    ++(result.failed ? failed : answered);
  }
  return failed >= kMinFailing && failed > answered;
}

}  // namespace persimmonstair::dispatch
