#include "store_access/store_call_counts.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace persimmonstair::gateway::store_access {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;

// Guards against reads that fill the store without any sign of what they read.
TEST(StoreCallCountsTest, LargeReadsAreReportedByStream) {
  diagnostics::Metrics metrics;
  StoreCallCounts counts(metrics);
  const std::size_t large = 2 * StoreCallCounts::kLittleRead;
  const std::string turns = StreamKind({"turns-12"});
  counts.Add({StoreCall::kReadNewest, StoreCallResult::kOk, milliseconds{9}, large, "op"});
  counts.Add({StoreCall::kReadNewest, StoreCallResult::kOk, milliseconds{9}, 70, turns});
  counts.Add({StoreCall::kReadNewest, StoreCallResult::kOk, milliseconds{9}, 30, turns});
  const auto summary = counts.TakeSummary();
  ASSERT_TRUE(summary);
  const auto& by_stream = summary->at("read_newest").at("bytes_by_stream");
  EXPECT_EQ(by_stream.at("op"), large);
  EXPECT_EQ(by_stream.at("turns"), 100U);
  EXPECT_THAT(metrics.Text(), HasSubstr(R"({call="read_newest",stream="turns"} 100)"));
}

// Guards against a line in each second of a calm day.
TEST(StoreCallCountsTest, SuccessfulSmallCallsAreNotReported) {
  diagnostics::Metrics metrics;
  StoreCallCounts counts(metrics);
  counts.Add({StoreCall::kRead, StoreCallResult::kOk, milliseconds{5}, 100, "servers"});
  EXPECT_FALSE(counts.TakeSummary());
}

}  // namespace
}  // namespace persimmonstair::gateway::store_access
