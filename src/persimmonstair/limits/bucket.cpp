#include "persimmonstair/limits/bucket.hpp"

#include <algorithm>

namespace persimmonstair::limits {

void Bucket::SetLimits(base::TimePoint now, double rate_per_s, double capacity) {
  Level(now);
  rate_ = rate_per_s;
  capacity_ = capacity;
  Clamp();
}

double Bucket::Level(base::TimePoint now) {
  // Refills from expiry to expiry, because capacity that a loan occupies refills only afterwards.
  while (!loans_.empty() && loans_.front().until <= now) {
    Refill(loans_.front().until);
    lent_ = loans_.size() == 1 ? 0 : lent_ - loans_.front().tokens;
    loans_.pop_front();
  }
  Refill(now);
  return level_;
}

void Bucket::Refill(base::TimePoint now) {
  if (now <= at_) return;
  level_ += rate_ * base::ToSeconds(now - at_);
  at_ = now;
  Clamp();
}

void Bucket::Lend(double tokens, base::TimePoint until) {
  level_ -= tokens;
  lent_ += tokens;
  const auto at = std::upper_bound(loans_.begin(), loans_.end(), until,
                                   [](base::TimePoint a, const Loan& b) { return a < b.until; });
  loans_.insert(at, {until, tokens});
}

void Bucket::EndLoan(base::TimePoint now, double tokens, base::TimePoint until) {
  Level(now);
  const auto it = std::find_if(loans_.begin(), loans_.end(), [&](const Loan& one) {
    return one.until == until && one.tokens == tokens;
  });
  if (it == loans_.end()) return;
  loans_.erase(it);
  lent_ = loans_.empty() ? 0 : lent_ - tokens;
}

void Bucket::Put(base::TimePoint now, double tokens) {
  Level(now);
  level_ += tokens;
  Clamp();
}

void Bucket::Clear() {
  level_ = 0;
  lent_ = 0;
  loans_.clear();
}

void Bucket::Clamp() { level_ = std::min(level_, std::max(0.0, capacity_ - lent_)); }

}  // namespace persimmonstair::limits
