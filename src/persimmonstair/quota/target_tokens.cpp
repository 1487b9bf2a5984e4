#include "persimmonstair/quota/target_tokens.hpp"

#include <algorithm>

namespace persimmonstair::quota {
namespace {

/// Requests per second that a target gets at least.
constexpr double kMinRatePerS = 0.2;
/// Higher limits have no effect on a single target; the bound keeps the arithmetic exact.
constexpr double kMaxRatePerS = 1e6;
/// Time in which the tokens of a full bucket collect, in seconds.
constexpr double kBurstSeconds = 0.5;
/// A bucket that is dropped starts empty again, so it is kept for longer than the pauses between
/// two requests of a busy service.
constexpr std::chrono::seconds kMaxUnused{60};

}  // namespace

RateLimit TargetRate(double limit_per_s) {
  const double rate = std::clamp(limit_per_s, kMinRatePerS, kMaxRatePerS);
  return {rate, std::max(1.0, kBurstSeconds * rate)};
}

TargetTokens::Tokens& TargetTokens::Refill(base::TimePoint now, const base::TargetId& target,
                                           const RateLimit& limit) {
  Tokens& tokens = tokens_[target];
  tokens.used_at = now;
  if (tokens.bucket.Rate() != limit.rate_per_s || tokens.bucket.Capacity() != limit.burst) {
    tokens.bucket.SetLimits(now, limit.rate_per_s, limit.burst);
  }
  return tokens;
}

bool TargetTokens::TakeOwn(base::TimePoint now, const base::TargetId& target,
                           const RateLimit& limit, double min_remaining) {
  limits::Bucket& bucket = Refill(now, target, limit).bucket;
  if (bucket.Level(now) < 1 + min_remaining) return false;
  bucket.Take(1);
  return true;
}

base::Duration TargetTokens::TimeUntilAvailable(base::TimePoint now, const base::TargetId& target,
                                                const RateLimit& limit, double tokens) {
  const double missing = tokens - Refill(now, target, limit).bucket.Level(now);
  if (missing <= 0) return {};
  return std::chrono::ceil<base::Duration>(
      std::chrono::duration<double>(missing / limit.rate_per_s));
}

void TargetTokens::DropUnused(base::TimePoint now) {
  std::erase_if(tokens_, [now](const auto& one) { return now - one.second.used_at > kMaxUnused; });
}

}  // namespace persimmonstair::quota
