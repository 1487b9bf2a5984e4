#include "persimmonstair/routing/order_issuer.hpp"

#include <gtest/gtest.h>

namespace persimmonstair::routing {
namespace {

using base::Duration;

constexpr Duration kSecond{1'000'000};

class OrderIssuerTest : public testing::Test {
 protected:
  std::vector<IssueOrder> Send(const OrderEvent& event) {
    std::vector<IssueOrder> issued;
    for (const auto& it : issuer_.Handle(now_, event)) {
      if (const auto* order = std::get_if<IssueOrder>(&it)) issued.push_back(*order);
      if (const auto* settled = std::get_if<OrderSettled>(&it)) settled_.push_back(*settled);
    }
    return issued;
  }

  OrderRequested Order(std::uint64_t id, const std::string& target, bool checks = true) const {
    return {{id, {target}, OrderKind::kLoadModel, "m", "1"}, checks};
  }
  LeaseGranted Lease(std::uint64_t fencing_number, Duration previous = Duration{0}) const {
    return {{fencing_number}, now_ + 6 * kSecond, now_ + previous};
  }

  OrderIssuer issuer_{OrderSettings{}};
  base::TimePoint now_{Duration{1'000'000'000}};
  std::vector<OrderSettled> settled_;
};

// Guards against two issuers: without a lease that outlasts the send, nothing leaves.
TEST_F(OrderIssuerTest, SendsOnlyUnderALeaseThatOutlastsTheSend) {
  EXPECT_TRUE(Send(Order(1, "a")).empty());
  EXPECT_EQ(Send(Lease(7)).size(), 1U);
  now_ += 5 * kSecond;
  EXPECT_TRUE(Send(Order(2, "b")).empty());
  const auto issued = Send(Lease(7));
  ASSERT_EQ(issued.size(), 1U);
  EXPECT_EQ(issued[0].fencing_number.value, 7U);
}

// Guards against an old issuer's order that reaches an engine without fencing after a newer one.
TEST_F(OrderIssuerTest, EnginesWithoutFencingWaitForThePreviousLease) {
  Send(Order(1, "checks", true));
  Send(Order(2, "ignores", false));
  const auto issued = Send(Lease(7, 2 * kSecond));
  ASSERT_EQ(issued.size(), 1U);
  EXPECT_EQ(issued[0].order.id, 1U);
  now_ += 2 * kSecond;
  EXPECT_EQ(Send(OrderTick{}).size(), 1U);
}

// Guards against orders to one engine that overtake each other, and against a lost response that
// stops the queue.
TEST_F(OrderIssuerTest, OneOutstandingOrderForEachEngine) {
  Send(Lease(7));
  EXPECT_EQ(Send(Order(1, "a")).size(), 1U);
  EXPECT_TRUE(Send(Order(2, "a")).empty());
  EXPECT_TRUE(Send(OrderAnswered{1, {7}, OrderOutcome::kFailed}).empty());
  now_ += kSecond;
  EXPECT_EQ(Send(OrderTick{}).at(0).order.id, 1U);
  EXPECT_EQ(Send(OrderAnswered{1, {7}, OrderOutcome::kDone}).at(0).order.id, 2U);
  EXPECT_TRUE(Send(OrderAnswered{1, {7}, OrderOutcome::kDone}).empty());
  EXPECT_EQ(settled_.size(), 1U);
}

// Guards against a paused issuer that goes on after an engine has seen a newer one.
TEST_F(OrderIssuerTest, StaleFencingNumberStopsIssuing) {
  Send(Lease(7));
  Send(Order(1, "a"));
  Send(OrderAnswered{1, {7}, OrderOutcome::kStaleFencingNumber});
  ASSERT_EQ(settled_.size(), 1U);
  EXPECT_EQ(settled_[0].result.error().code, base::ErrorCode::kConflict);
  Send(Lease(7));
  EXPECT_TRUE(Send(Order(2, "a")).empty());
  EXPECT_EQ(Send(Lease(9)).size(), 1U);
}

}  // namespace
}  // namespace persimmonstair::routing
