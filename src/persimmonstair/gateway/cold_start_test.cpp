#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "busy_store_test.hpp"
#include "followers.hpp"

namespace persimmonstair::gateway {
namespace {

using std::chrono::milliseconds;

/// Reads every configuration record as version 1; there are no requests and no targets.
class OneConfigurationCodec : public PlatformCodec {
 public:
  RequestMetadata DecodeRequest(const HttpRequest& /*request*/) const override { return {}; }
  HttpRequest EncodeTargetRequest(const HttpRequest& request, const RequestMetadata& /*metadata*/,
                                  const ForwardingContext& /*forwarding*/) const override {
    return request;
  }
  ResponseMetadata DecodeResponse(HttpHead head) const override {
    ResponseMetadata response;
    response.head = std::move(head);
    return response;
  }
  base::Result<Configuration> DecodeConfiguration(std::string_view /*bytes*/) const override {
    return Configuration{1, {}, {}, {}, {}};
  }
  base::Result<dispatch::TargetEntry> DecodeTarget(const std::string& /*id*/,
                                                   std::string_view /*bytes*/) const override {
    return base::Fail(base::ErrorCode::kInvalidRequest, "there are no targets");
  }
  std::string_view ConfigurationKey() const override { return "config"; }
  const base::StreamName& ConfigurationStream() const override { return stream_; }
  const base::StreamName& TargetStream() const override { return stream_; }

 private:
  base::StreamName stream_{"op"};
};

/// The part of an instance that reads the configuration.
struct StartingInstance {
  StartingInstance(RecordStore& records, const PlatformCodec& codec)
      : store(records, metrics), configuration(store, codec) {}

  diagnostics::Metrics metrics;
  RetryingRecordStore store;
  ConfigurationFollower configuration;
};

bool AllHaveConfiguration(const std::vector<std::unique_ptr<StartingInstance>>& instances) {
  return std::all_of(instances.begin(), instances.end(),
                     [](const auto& one) { return one->configuration.Current() != nullptr; });
}

// Guards against instances that start together and keep the store overloaded by sending reads again
// that it is still working on, so that none of them ever gets the configuration.
TEST(ColdStartTest, ReadsThatTheStoreIsWorkingOnAreNotSentAgain) {
  constexpr std::size_t kInstances = 40;
  // One read for each instance, and one more for half of them.
  constexpr std::size_t kMaxReads = kInstances * 3 / 2;
  constexpr std::size_t kHopelessReads = 10 * kInstances;
  BusyStore store(milliseconds{40}, {{{{0}, {"config", "document"}}}, {1}});
  const OneConfigurationCodec codec;
  boost::asio::io_context io{1};
  std::vector<std::unique_ptr<StartingInstance>> instances;
  for (std::size_t n = 0; n < kInstances; ++n) {
    instances.push_back(std::make_unique<StartingInstance>(store, codec));
    boost::asio::co_spawn(io, instances.back()->configuration.Run(), boost::asio::detached);
  }
  while (!AllHaveConfiguration(instances) && store.Reads() < kHopelessReads) {
    io.run_one();
  }
  EXPECT_TRUE(AllHaveConfiguration(instances));
  EXPECT_LE(store.Reads(), kMaxReads);
}

}  // namespace
}  // namespace persimmonstair::gateway
