#ifndef PERSIMMONSTAIR_SRC_ROUTING_RETRY_BUDGET_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_RETRY_BUDGET_HPP_

#include <algorithm>

namespace persimmonstair::routing {

/// @brief Token bucket that limits retries to a fraction of first dispatches, so that the failure
/// of many targets does not multiply the load.
class RetryBudget {
 public:
  /// `ratio` is the number of retries allowed per first dispatch. `burst` is the largest number of
  /// retries that can be saved up, and the number at the start.
  RetryBudget(double ratio, double burst) : ratio_(ratio), burst_(burst), level_(burst) {}

  /// Adds the fraction of a retry that each first dispatch allows.
  void OnFirstDispatch() { level_ = std::min(burst_, level_ + ratio_); }
  /// Takes one retry from the budget; returns false if there is none.
  bool TryTake() {
    // The tolerance compensates for rounding errors from repeatedly adding the ratio.
    if (level_ < 1 - 1e-9) return false;
    level_ -= 1;
    return true;
  }

 private:
  double ratio_;
  double burst_;
  double level_;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_RETRY_BUDGET_HPP_
