#ifndef PERSIMMONSTAIR_LIMITS_SIM_EXACT_BUCKET_HPP_
#define PERSIMMONSTAIR_LIMITS_SIM_EXACT_BUCKET_HPP_

#include <algorithm>
#include <deque>

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/limits/limiter.hpp"

namespace persimmonstair::limits::sim {

/// @brief The naive model: one token bucket for the whole fleet, full at the start. Its level never
/// goes below zero exactly if in every window the requests are at most burst + rate x window.
class ExactBucket {
 public:
  /// @brief Changes the limits. Larger ones hold at once; smaller ones after `kDecreaseDelay`,
  /// because loans given under the larger ones may be in use that long.
  void SetLimit(base::TimePoint now, const Limit& limit) {
    Advance(now);
    const bool first = limits_.empty();
    if (!first) limits_.back().until = now + kDecreaseDelay;
    limits_.push_back({limit, base::TimePoint::max()});
    if (first) level_ = limit.burst;
  }

  /// @brief Counts a request that was admitted; false if the bucket did not have a token for it.
  bool Take(base::TimePoint now) {
    Advance(now);
    level_ -= 1;
    return level_ >= -kTolerance;
  }

  /// @brief Admits a request if there is a token.
  bool TryTake(base::TimePoint now) {
    Advance(now);
    if (level_ < 1) return false;
    level_ -= 1;
    return true;
  }

  double Level() const { return level_; }

 private:
  struct Entry {
    Limit limit;
    base::TimePoint until;
  };
  static constexpr base::Duration kDecreaseDelay = std::chrono::milliseconds{110};
  // Rounding of sums of fractions; a real violation is a whole request.
  static constexpr double kTolerance = 1e-4;

  Limit Largest() const {
    Limit out;
    for (const Entry& entry : limits_) {
      out.rate_per_s = std::max(out.rate_per_s, entry.limit.rate_per_s);
      out.burst = std::max(out.burst, entry.limit.burst);
    }
    return out;
  }

  void Advance(base::TimePoint now) {
    while (at_ < now && !limits_.empty()) {
      base::TimePoint next = now;
      for (const Entry& entry : limits_) next = std::min(next, entry.until);
      const Limit limit = Largest();
      if (next > at_) level_ += limit.rate_per_s * base::ToSeconds(next - at_);
      level_ = std::min(level_, limit.burst);
      at_ = std::max(at_, next);
      std::erase_if(limits_, [&](const Entry& entry) { return entry.until <= at_; });
      level_ = std::min(level_, Largest().burst);
    }
    at_ = std::max(at_, now);
  }

  std::deque<Entry> limits_;
  double level_ = 0;
  base::TimePoint at_;
};

}  // namespace persimmonstair::limits::sim

#endif  // PERSIMMONSTAIR_LIMITS_SIM_EXACT_BUCKET_HPP_
