#ifndef PERSIMMONSTAIR_LIMITS_SIM_EXACT_BUCKET_HPP_
#define PERSIMMONSTAIR_LIMITS_SIM_EXACT_BUCKET_HPP_

#include <algorithm>
#include <deque>

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/limits/limiter.hpp"

namespace persimmonstair::limits::sim {

/// @brief Reference model of a workspace's limit: one token bucket for the whole fleet, full at the
/// start. Its level stays at or above zero if and only if every time window has at most
/// burst + rate x window requests.
class ExactBucket {
 public:
  /// @brief Changes the limits. An increase applies at once, a decrease after `kDecreaseDelay`,
  /// because loans given under the larger limits may be in use that long.
  void SetLimit(base::TimePoint now, const Limit& limit) {
    Advance(now);
    const bool first = limits_.empty();
    if (!first) limits_.back().until = now + kDecreaseDelay;
    limits_.push_back({limit, base::TimePoint::max()});
    if (first) level_ = limit.burst;
  }

  /// @brief Takes a token for an admitted request; false if the bucket had none.
  bool Take(base::TimePoint now) {
    Advance(now);
    level_ -= 1;
    return level_ >= -kTolerance;
  }

  /// @brief Takes a token if there is one.
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
  // Allows for rounding in sums of fractions; a violation is at least one whole request.
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
