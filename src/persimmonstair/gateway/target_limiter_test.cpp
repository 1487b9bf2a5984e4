#include "target_limiter.hpp"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>

#include "clock.hpp"

namespace persimmonstair::gateway {
namespace {

using boost::asio::awaitable;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store that is never reached, so that no coordinator is known.
class NoStore : public RecordStore {
 public:
  awaitable<base::Result<base::Offset>> Append(const Partition& /*partition*/,
                                               const std::vector<KeyedRecord>& /*records*/,
                                               base::Duration /*timeout*/,
                                               std::optional<base::Offset> /*expected*/) override {
    co_return base::Fail(base::ErrorCode::kOverloaded, "no store");
  }
  awaitable<base::Result<RecordBatch>> Read(const Partition& /*partition*/, base::Offset /*from*/,
                                            ReadOptions /*options*/) override {
    co_return base::Fail(base::ErrorCode::kOverloaded, "no store");
  }
  awaitable<base::Result<RecordSnapshot>> ReadNewest(const Partition& /*partition*/,
                                                     base::Duration /*timeout*/) override {
    co_return base::Fail(base::ErrorCode::kOverloaded, "no store");
  }
};

class TargetLimiterTest : public testing::Test {
 protected:
  TargetLimiterTest() {
    targets_.Upsert(Now(), target_);
    targets_.ApplyRateStatement(target_.id, {10.0, Now(), target_.started_ms});
  }

  quota::AdmissionResult Take(base::Duration max_wait) {
    std::optional<quota::AdmissionResult> result;
    boost::asio::co_spawn(
        io_, limiter_.Take(target_, quota::ProgramStage::kUnderWay, max_wait),
        [&result](const std::exception_ptr& error, const quota::AdmissionResult& taken) {
          if (!error) result = taken;
        });
    io_.restart();
    io_.run();
    return result.value();
  }

  boost::asio::io_context io_{1};
  NoStore records_;
  diagnostics::Metrics metrics_;
  store_access::RetryingRecordStore store_{records_, metrics_};
  GatewaySettings settings_;
  PeerSocket socket_{io_.get_executor()};
  store_access::SharedReads reads_{io_.get_executor(), store_, socket_, metrics_,
                                   store_access::SharedReads::kStartTime};
  FleetRegistry fleet_{io_.get_executor(), store_, reads_, socket_, settings_, "process"};
  dispatch::TargetEntry target_{{"t"}, {"s"}, {"127.0.0.1", 1}, {"here"}, 8, false, 1, {"v1"}};
  dispatch::TargetRegistry targets_{{"here"}};
  TargetLimiter limiter_{io_.get_executor(), socket_, fleet_, targets_, metrics_};
};

// Guards against a request that is refused at once although the instance's own part of the rate has
// a token within its maximum wait: it would ask again without a pause and block the instance.
TEST_F(TargetLimiterTest, WaitsForATokenOfItsOwnPart) {
  const quota::AdmissionResult refused = Take(milliseconds{0});
  EXPECT_EQ(refused.admission, quota::Admission::kOverQuota);
  EXPECT_GT(refused.retry_after, milliseconds{0});
  EXPECT_EQ(Take(refused.retry_after + seconds{1}).admission, quota::Admission::kAdmitted);
}

// Guards against a request that waits for longer than it may.
TEST_F(TargetLimiterTest, RefusesAtOnceIfItsOwnPartHasNoTokenInTime) {
  const base::TimePoint from = Now();
  const quota::AdmissionResult refused = Take(milliseconds{250});
  EXPECT_EQ(refused.admission, quota::Admission::kOverQuota);
  EXPECT_GT(refused.retry_after, milliseconds{250});
  EXPECT_LT(Now() - from, refused.retry_after);
}

}  // namespace
}  // namespace persimmonstair::gateway
