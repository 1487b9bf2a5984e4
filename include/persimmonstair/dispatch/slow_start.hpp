#ifndef PERSIMMONSTAIR_DISPATCH_SLOW_START_HPP_
#define PERSIMMONSTAIR_DISPATCH_SLOW_START_HPP_

#include <algorithm>
#include <chrono>
#include <optional>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// Time in which a target's share of traffic grows to its usual one.
inline constexpr std::chrono::seconds kSlowStartTime{5};
/// Share at the begin of that time, so that the target gets some requests.
inline constexpr double kMinSlowStartShare = 0.1;

/// @brief Returns the part of its usual share of traffic that a target gets, kMinSlowStartShare to
/// 1, if its cold time ends or has ended at `cold_until`; 1 if it was never cold.
inline double SlowStartShare(base::TimePoint now,
                             const std::optional<base::TimePoint>& cold_until) {
  if (!cold_until) return 1;
  const double grown = base::ToSeconds(now - *cold_until) / base::ToSeconds(kSlowStartTime);
  return std::clamp(grown, kMinSlowStartShare, 1.0);
}

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_SLOW_START_HPP_
