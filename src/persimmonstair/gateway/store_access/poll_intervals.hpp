#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_POLL_INTERVALS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_POLL_INTERVALS_HPP_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::gateway::store_access {

/// Reads of the target list a second of all instances together, while kMaxTargetPollPause allows.
inline constexpr double kTargetReadsPerS = 250;
/// Bounds of the pause between two reads of the target list, whose entries change constantly. It
/// delays the detection of a draining target, by a small part of its drain period.
inline constexpr std::chrono::milliseconds kMinTargetPollPause{120};
inline constexpr std::chrono::milliseconds kMaxTargetPollPause{500};

/// Long polls of the configuration a second of all instances together, while
/// kMaxConfigurationWait allows.
inline constexpr double kConfigurationReadsPerS = 100;
/// Bounds of the time for which the store holds a read of the configuration open. A lost answer
/// delays a change by this time and the patience of a read.
inline constexpr std::chrono::milliseconds kMinConfigurationWait{500};
inline constexpr std::chrono::milliseconds kMaxConfigurationWait{800};

/// @brief Returns the interval at which each of `instances` instances may read so that all together
/// read `reads_per_s` times a second.
inline base::Duration SharedInterval(std::size_t instances, double reads_per_s) {
  const std::chrono::duration<double> interval{static_cast<double>(instances) / reads_per_s};
  return std::chrono::duration_cast<base::Duration>(interval);
}

/// @brief Returns the pause between two reads of the target list.
inline base::Duration TargetPollPause(std::size_t instances) {
  return std::clamp<base::Duration>(SharedInterval(instances, kTargetReadsPerS),
                                    kMinTargetPollPause, kMaxTargetPollPause);
}

/// @brief Returns the time for which the store holds a read of the configuration open.
inline base::Duration ConfigurationWait(std::size_t instances) {
  return std::clamp<base::Duration>(SharedInterval(instances, kConfigurationReadsPerS),
                                    kMinConfigurationWait, kMaxConfigurationWait);
}

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_POLL_INTERVALS_HPP_
