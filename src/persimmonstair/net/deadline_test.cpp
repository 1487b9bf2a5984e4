#include "deadline.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>

namespace persimmonstair::net {
namespace {

using std::chrono::milliseconds;

// Guards against a timeout that never fires because the deadline was stopped before it was set
// again, as on each reconnection to a peer.
TEST(DeadlineTest, FiresIfItIsSetToALaterTimeAfterAStop) {
  boost::asio::io_context context;
  Deadline deadline(context);
  const auto owner = std::make_shared<int>(0);
  bool fired = false;
  deadline.Bind(owner, [&fired] { fired = true; });
  deadline.Set(milliseconds{1});
  deadline.Stop();
  deadline.Set(milliseconds{5});
  context.run();
  EXPECT_TRUE(fired);
}

// Guards against a stopped deadline that fires.
TEST(DeadlineTest, DoesNotFireAfterAStop) {
  boost::asio::io_context context;
  Deadline deadline(context);
  const auto owner = std::make_shared<int>(0);
  bool fired = false;
  deadline.Bind(owner, [&fired] { fired = true; });
  deadline.Set(milliseconds{1});
  deadline.Stop();
  context.run();
  EXPECT_FALSE(fired);
}

}  // namespace
}  // namespace persimmonstair::net
