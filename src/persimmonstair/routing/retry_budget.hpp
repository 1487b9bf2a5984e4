#ifndef PERSIMMONSTAIR_SRC_ROUTING_RETRY_BUDGET_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_RETRY_BUDGET_HPP_

#include <algorithm>

namespace persimmonstair::routing {

/// @brief Limits retries to a fraction of first dispatches, so that a fault of many targets does
/// not multiply the load.
class RetryBudget {
 public:
  RetryBudget(double ratio, double reserve) : ratio_(ratio), reserve_(reserve), level_(reserve) {}

  void OnFirstDispatch() { level_ = std::min(reserve_, level_ + ratio_); }
  bool TryTake() {
    // The tolerance absorbs the rounding of repeated additions of the ratio.
    if (level_ < 1 - 1e-9) return false;
    level_ -= 1;
    return true;
  }

 private:
  double ratio_;
  double reserve_;
  double level_;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_RETRY_BUDGET_HPP_
