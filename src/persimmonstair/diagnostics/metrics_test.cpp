#include "persimmonstair/diagnostics/metrics.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace persimmonstair::diagnostics {
namespace {

using testing::HasSubstr;
using testing::Not;

constexpr unsigned kOk = 200;
constexpr std::chrono::milliseconds kLatency{1};

// Guards against answers that are counted for another workspace once there are too many pairs of
// workspace and class.
TEST(MetricsTest, PairsBeyondTheLimitAreCountedAsOther) {
  constexpr int kPairs = 2000;
  Metrics metrics;
  for (int n = 0; n < kPairs; ++n) {
    metrics.CountAnswer("w" + std::to_string(n), "quoting", kOk, kLatency);
  }
  const std::string text = metrics.Text();
  EXPECT_THAT(text, HasSubstr(R"(persimmonstair_answers_total{class="quoting",status="200",)"
                              R"(workspace="w0"} 1)"));
  EXPECT_THAT(text, HasSubstr(R"(persimmonstair_answers_total{class="other",status="200",)"
                              R"(workspace="other"} 976)"));
  EXPECT_THAT(text, Not(HasSubstr(R"(workspace="w1999")")));
}

// Guards against calls to the store that can't be told apart by kind and result.
TEST(MetricsTest, StoreCallsAreCountedByKindAndResult) {
  Metrics metrics;
  metrics.CountStoreCall("append", "ok");
  metrics.CountStoreCall("append", "refused");
  metrics.CountStoreCall("append", "refused");
  EXPECT_THAT(metrics.Text(),
              HasSubstr(R"(persimmonstair_store_calls_total{call="append",result="refused"} 2)"));
}

}  // namespace
}  // namespace persimmonstair::diagnostics
