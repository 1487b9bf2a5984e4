#ifndef PERSIMMONSTAIR_QUOTA_RATE_LIMIT_HPP_
#define PERSIMMONSTAIR_QUOTA_RATE_LIMIT_HPP_

namespace persimmonstair::quota {

/// @brief Rate and burst of a workspace or a target, summed over all instances. A rate of 0 means
/// no limit.
struct RateLimit {
  /// Requests per second.
  double rate_per_s = 0;
  /// Requests that may be admitted at once.
  double burst = 0;
};

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_RATE_LIMIT_HPP_
