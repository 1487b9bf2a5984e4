#ifndef PERSIMMONSTAIR_QUOTA_TARGET_TOKENS_HPP_
#define PERSIMMONSTAIR_QUOTA_TARGET_TOKENS_HPP_

#include <unordered_map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/limits/bucket.hpp"
#include "persimmonstair/quota/rate_limit.hpp"

namespace persimmonstair::quota {

/// @brief Returns the rate at which tokens for a target are handed out, and their burst, if the
/// target takes `limit_per_s` requests a second.
///
/// A target that takes nothing is still asked every few seconds, because only its responses show
/// that the limit has ended.
RateLimit TargetRate(double limit_per_s);

/// @brief Tokens of the rates of the targets whose coordinator is this instance. A bucket starts
/// empty, because an earlier coordinator may have handed out its tokens.
///
///     TargetTokens tokens;
///     if (tokens.TakeOwn(now, target, TargetRate(5.0), 0)) Send();
class TargetTokens {
 public:
  /// Always true: a target's rate needs no lease, since its tolerance covers the short time for
  /// which two instances may both act as its coordinator.
  bool HasLease(base::TimePoint /*now*/) const { return true; }

  /// A coordinator holds the whole rate of a target.
  double Share(const base::TargetId& /*target*/) const { return 1; }

  /// Takes one token if at least `min_remaining` tokens remain after it.
  bool TakeOwn(base::TimePoint now, const base::TargetId& target, const RateLimit& limit,
               double min_remaining);
  /// Always false: tokens of targets are never lent on.
  bool TakeBorrowed(base::TimePoint /*now*/, const base::TargetId& /*target*/) { return false; }
  /// Like TakeOwn(); another instance uses the token at once.
  bool LendOne(base::TimePoint now, const base::TargetId& target, const RateLimit& limit,
               double min_remaining, base::TimePoint /*until*/) {
    return TakeOwn(now, target, limit, min_remaining);
  }

  /// Returns the time until there are `tokens`.
  base::Duration TimeUntilAvailable(base::TimePoint now, const base::TargetId& target,
                                    const RateLimit& limit, double tokens);

  /// Drops the buckets that weren't used for a while.
  void DropUnused(base::TimePoint now);

 private:
  struct Tokens {
    limits::Bucket bucket;
    base::TimePoint used_at;
  };

  /// Sets the limits of the target's bucket and returns it.
  Tokens& Refill(base::TimePoint now, const base::TargetId& target, const RateLimit& limit);

  std::unordered_map<base::TargetId, Tokens> tokens_;
};

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_TARGET_TOKENS_HPP_
