// Tests of records that instances hand on over connections.
#include "store_access/record_transfers.hpp"

#include <gtest/gtest.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "clock.hpp"
#include "persimmonstair/fleet/long_read_plan.hpp"
#include "persimmonstair/fleet/packed_record.hpp"

namespace persimmonstair::gateway::store_access {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Limit that only keeps a failing test from hanging.
constexpr std::chrono::seconds kLimit{30};
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
const RecordRequest kRequest{{{"op"}, 0}, {7}};

TEST(RecordProtocolTest, RequestsArriveAsSent) {
  const std::string text = SerializeRecordRequest(kRequest);
  const auto begin = text.find(' ') + 1;
  EXPECT_EQ(ParseRecordPath(text.substr(begin, text.find(' ', begin) - begin)), kRequest);
}

// Guards against a process that ends because of an odd request.
TEST(RecordProtocolTest, OtherPathsAreNoRequests) {
  for (const char* path :
       {"", "/", "/records/", "/records/op", "/records/op/0", "/records/op/0/", "/records//0/1",
        "/records/op/x/1", "/records/op/0/1x", "/records/op/0/-1",
        "/records/op/0/99999999999999999999", "/records/op/4294967296/1", "/records/op/0/1/2"}) {
    EXPECT_FALSE(ParseRecordPath(path)) << path;
  }
}

class RecordTransfersTest : public testing::Test {
 protected:
  RecordTransfersTest() {
    server_.SetRecords([this](const RecordRequest& request) {
      return request == kRequest ? held_ : std::nullopt;
    });
    asio::co_spawn(io_, Accept(), asio::detached);
  }

  dispatch::Endpoint Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

  TransferResult Fetch(const RecordRequest& request = kRequest) {
    std::optional<TransferResult> result;
    asio::co_spawn(io_, client_.Fetch(Address(), request),
                   [&](const std::exception_ptr& /*error*/, TransferResult got) { result = got; });
    const base::TimePoint end = Now() + kLimit;
    while (!result && Now() < end) io_.run_one_for(std::chrono::milliseconds{100});
    return result.value_or(TransferResult{});
  }

  asio::awaitable<void> Accept() {
    for (;;) {
      auto [ec, socket] = co_await acceptor_.async_accept(kTuple);
      if (ec) co_return;
      asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    std::string head;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", kTuple);
    if (!answer_) {
      boost::beast::tcp_stream stream(std::move(socket));
      co_await server_.Serve(stream, ToRequest(head));
    } else if (!answer_->empty()) {
      co_await asio::async_write(socket, asio::buffer(*answer_), kTuple);
    }
  }

  static RecordRequest ToRequest(const std::string& head) {
    const auto begin = head.find(' ') + 1;
    const auto request = ParseRecordPath(head.substr(begin, head.find(' ', begin) - begin));
    return request.value_or(RecordRequest{});
  }

  static schema::RecordTransfer Holding(std::size_t bytes) {
    // Not compressible, so that the answer is longer than what sockets buffer.
    std::string value;
    std::minstd_rand random(1);
    while (value.size() < bytes) value += static_cast<char>(random());
    return {{fleet::Pack({"config", false, value})}, {8}, 5};
  }

  asio::io_context io_{1};
  tcp::acceptor acceptor_{io_, {asio::ip::make_address("127.0.0.1"), 0}};
  RecordTransfers server_{io_.get_executor()};
  RecordTransfers client_{io_.get_executor()};
  std::optional<schema::RecordTransfer> held_ = Holding(100'000);
  /// What is answered in place of the server's answer; closes the connection if it is empty.
  std::optional<std::string> answer_;
};

TEST_F(RecordTransfersTest, HandsOnWhatIsHeld) {
  const TransferResult result = Fetch();
  EXPECT_EQ(result.end, TransferEnd::kDone);
  EXPECT_EQ(result.transfer, *held_);
}

TEST_F(RecordTransfersTest, SaysThatRecordsAreNotHeld) {
  EXPECT_EQ(Fetch({{{"op"}, 0}, {6}}).end, TransferEnd::kNotHeld);
}

// Guards against an instance whose link all its neighbours share at a time.
TEST_F(RecordTransfersTest, ServesFewAtATime) {
  held_ = Holding(std::size_t{12} << 20U);
  std::vector<tcp::socket> slow;
  for (std::size_t n = 0; n < fleet::kMaxTransfersServed; ++n) {
    slow.emplace_back(io_).connect(acceptor_.local_endpoint());
    asio::write(slow.back(), asio::buffer(SerializeRecordRequest(kRequest)));
  }
  TransferEnd end = TransferEnd::kDone;
  const base::TimePoint limit = Now() + kLimit;
  while (end == TransferEnd::kDone && Now() < limit) end = Fetch().end;
  EXPECT_EQ(end, TransferEnd::kBusy);
}

// Guards against an instance that waits for neighbours of an older build, which close the
// connection.
TEST_F(RecordTransfersTest, OlderBuildsAreKnownByTheirSilence) {
  answer_.emplace();
  EXPECT_EQ(Fetch().end, TransferEnd::kUnsupported);
}

// Guards against bytes that are taken for records although they broke off, or are none.
TEST_F(RecordTransfersTest, OddAnswersAreNoRecords) {
  answer_ = "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nabc";
  EXPECT_EQ(Fetch().end, TransferEnd::kFailed);
  answer_ = "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nabc";
  EXPECT_EQ(Fetch().end, TransferEnd::kFailed);
  answer_ = "HTTP/1.1 200 X\r\nContent-Length: 99999999999\r\n\r\nabc";
  EXPECT_EQ(Fetch().end, TransferEnd::kFailed);
}

}  // namespace
}  // namespace persimmonstair::gateway::store_access
