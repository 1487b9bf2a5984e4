#ifndef PERSIMMONSTAIR_QUOTA_COLD_TARGET_HPP_
#define PERSIMMONSTAIR_QUOTA_COLD_TARGET_HPP_

#include <algorithm>
#include <chrono>

#include "persimmonstair/quota/rate_limit.hpp"

namespace persimmonstair::quota {

/// Part of a cold target's rate that one coordinator hands out. While the coordinator changes, two
/// of them may hand out tokens, and a token may be used up to kColdTokenLifetime after it was
/// handed out: 2 x (0.6 x 1.15 + 0.06) = 1.5 times the rate in any second.
inline constexpr double kColdRateFraction = 0.6;
/// Time in which the tokens of a full bucket collect, in seconds.
inline constexpr double kColdBurstSeconds = 0.1;
/// Longest time from the request for a token to its use. A connection or a health check may delay
/// the use; tokens that collect meanwhile would arrive together.
inline constexpr std::chrono::milliseconds kColdTokenLifetime{150};
/// Longest time for which a request for a token is queued at the coordinator. Leaves some of the
/// lifetime for the answer and the connection.
inline constexpr std::chrono::milliseconds kMaxColdTokenWait{100};

/// @brief Returns the rate and burst at which a coordinator hands out tokens of a target that takes
/// `cold_per_s` requests a second while it is cold.
inline RateLimit ColdTargetRate(double cold_per_s) {
  const double rate = kColdRateFraction * cold_per_s;
  return {rate, std::max(1.0, kColdBurstSeconds * rate)};
}

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_COLD_TARGET_HPP_
