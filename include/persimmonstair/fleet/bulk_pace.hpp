#ifndef PERSIMMONSTAIR_FLEET_BULK_PACE_HPP_
#define PERSIMMONSTAIR_FLEET_BULK_PACE_HPP_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::fleet {

/// Part of what the store sends that reads of a long record may take. The rest is left to other
/// reads, which would wait behind them.
inline constexpr double kBulkShare = 0.8;
/// Longest delay of a read of a long record, which also delays a change of the configuration.
inline constexpr std::chrono::milliseconds kMaxBulkSpread{1000};

/// @brief Returns the time over which `instances` instances that learn of a long record together
/// spread their reads of it, so that the store sends `bytes` to each at kBulkShare of
/// `store_bytes_per_s`; at most kMaxBulkSpread. Each instance takes a random delay up to this.
inline base::Duration BulkReadSpread(std::size_t instances, std::size_t bytes,
                                     double store_bytes_per_s) {
  const double all_bytes = static_cast<double>(instances) * static_cast<double>(bytes);
  const std::chrono::duration<double> spread{all_bytes / (kBulkShare * store_bytes_per_s)};
  const auto exact = std::chrono::duration_cast<base::Duration>(spread);
  return std::min<base::Duration>(exact, kMaxBulkSpread);
}

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_BULK_PACE_HPP_
