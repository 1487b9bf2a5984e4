#ifndef PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_LAYOUT_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_LAYOUT_HPP_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::gateway {

/// Part of the store's write calls that reservations of budgets may use.
inline constexpr double kBudgetWriteShare = 1.0 / 3;
/// Longest interval between two appends to a partition of reservations, unless the store accepts
/// too few calls even for a single partition.
inline constexpr std::chrono::milliseconds kMaxBudgetAppendInterval{50};

/// @brief Partitions of one stream that hold reservations, and the interval between two appends to
/// each.
struct BudgetLayout {
  std::uint32_t partitions = 1;
  base::Duration append_interval{0};
};

/// @brief Returns the layout in which the appends to all partitions use kBudgetWriteShare of the
/// store's write calls. All instances must compute it from the same settings.
///
///     const BudgetLayout layout = MakeBudgetLayout(settings.parts_of_stream, 800);
inline BudgetLayout MakeBudgetLayout(std::uint32_t max_partitions, double store_writes_per_s) {
  const double appends_per_s = kBudgetWriteShare * store_writes_per_s;
  const auto affordable =
      static_cast<std::uint32_t>(appends_per_s * base::ToSeconds(kMaxBudgetAppendInterval));
  BudgetLayout layout;
  layout.partitions = std::max(1U, std::min(max_partitions, affordable));
  const std::chrono::duration<double> interval{layout.partitions / appends_per_s};
  layout.append_interval = std::chrono::duration_cast<base::Duration>(interval);
  return layout;
}

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_LAYOUT_HPP_
