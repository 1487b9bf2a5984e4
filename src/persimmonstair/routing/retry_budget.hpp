#ifndef PERSIMMONSTAIR_SRC_ROUTING_RETRY_BUDGET_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_RETRY_BUDGET_HPP_

#include <algorithm>

namespace persimmonstair::routing {

/// @brief Limits retries to a fraction of first dispatches, so that a fault of many targets does
/// not multiply the load.
class RetryBudget {
 public:
  RetryBudget(double ratio, double burst) : ratio_(ratio), burst_(burst), level_(burst) {}

  void OnFirstDispatch() { level_ = std::min(burst_, level_ + ratio_); }
  bool TryTake() {
    // The tolerance absorbs the rounding of repeated additions of the ratio.
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
