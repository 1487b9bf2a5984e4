#ifndef PERSIMMONSTAIR_LIMITS_BUCKET_HPP_
#define PERSIMMONSTAIR_LIMITS_BUCKET_HPP_

#include <deque>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::limits {

/// @brief A token bucket that can lend tokens. Lent tokens occupy capacity until the loan expires,
/// so they are not refilled while the borrower may still use them. The bucket starts empty.
///
///     Bucket bucket;
///     bucket.SetLimits(now, 5.0, 10.0);
///     if (bucket.Level(now) >= 1) bucket.Take(1);
class Bucket {
 public:
  /// @brief Sets the refill rate (tokens per second) and the capacity. Tokens above the capacity
  /// are discarded.
  void SetLimits(base::TimePoint now, double rate_per_s, double capacity);

  /// @brief Refills up to `now` and returns the number of tokens that may be taken.
  double Level(base::TimePoint now);

  /// @brief Removes tokens: at most what Level() returned for the same time.
  void Take(double tokens) { level_ -= tokens; }

  /// @brief Removes tokens for a loan, which occupies capacity until `until`.
  void Lend(double tokens, base::TimePoint until);

  /// @brief Ends a loan of `tokens` until `until` early, because the tokens have been used. Does
  /// nothing if there is no such loan.
  void EndLoan(base::TimePoint now, double tokens, base::TimePoint until);

  /// @brief Adds tokens up to the free capacity and discards the rest.
  void Put(base::TimePoint now, double tokens);

  /// @brief Removes all tokens and loans.
  void Clear();

  /// Tokens in loans that had not expired at the time of the last call.
  double Lent() const { return lent_; }
  double Capacity() const { return capacity_; }
  double Rate() const { return rate_; }

 private:
  struct Loan {
    base::TimePoint until;
    double tokens = 0;
  };

  void Refill(base::TimePoint now);
  void Clamp();

  double rate_ = 0;
  double capacity_ = 0;
  double level_ = 0;
  double lent_ = 0;
  base::TimePoint at_;
  /// In the order of expiry.
  std::deque<Loan> loans_;
};

}  // namespace persimmonstair::limits

#endif  // PERSIMMONSTAIR_LIMITS_BUCKET_HPP_
