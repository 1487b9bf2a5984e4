#include "budget_layout.hpp"

#include <gtest/gtest.h>

namespace persimmonstair::gateway {
namespace {

// Guards against reservations that wait longer than their timeout because a store has many
// partitions and accepts few calls.
TEST(BudgetLayoutTest, ManyPartitionsDoNotLengthenTheInterval) {
  for (const std::uint32_t parts : {1U, 8U, 16U, 1024U}) {
    for (const double writes_per_s : {100.0, 800.0, 1500.0, 100'000.0}) {
      const BudgetLayout layout = MakeBudgetLayout(parts, writes_per_s);
      EXPECT_GE(layout.partitions, 1U);
      EXPECT_LE(layout.partitions, parts);
      EXPECT_LE(layout.append_interval, kMaxBudgetAppendInterval);
    }
  }
}

// Guards against reservations that use more than their part of the store's write calls.
TEST(BudgetLayoutTest, AppendsOfAllPartitionsStayWithinTheirShare) {
  constexpr double kRoundingError = 1.001;
  for (const std::uint32_t parts : {1U, 8U, 16U, 1024U}) {
    for (const double writes_per_s : {10.0, 800.0, 1500.0}) {
      const BudgetLayout layout = MakeBudgetLayout(parts, writes_per_s);
      const double appends_per_s = layout.partitions / base::ToSeconds(layout.append_interval);
      EXPECT_LE(appends_per_s, kBudgetWriteShare * writes_per_s * kRoundingError);
    }
  }
}

}  // namespace
}  // namespace persimmonstair::gateway
