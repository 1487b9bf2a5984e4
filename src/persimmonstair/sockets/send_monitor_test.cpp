// Tests of what is kept of peers that read late and of peers that have fallen silent.
#include "persimmonstair/sockets/send_monitor.hpp"

#include <gtest/gtest.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <thread>

#include "persimmonstair/sockets/send_state.hpp"

namespace persimmonstair::sockets {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kUserTimeout{1500};
/// Longer than a connection with a closed window lives under the option alone.
constexpr milliseconds kReadsLateFor{2500};
/// Bound in which a silent peer must be found.
constexpr milliseconds kContactTime{3000};
/// Keeps a failing test from hanging.
constexpr milliseconds kMaxWait{20'000};
constexpr int kReceiveBufferBytes = 2304;
constexpr std::size_t kBytes = 20'000;

class SendMonitorTest : public testing::Test {
 protected:
  SendMonitorTest() {
    tcp::acceptor acceptor(io_, {asio::ip::make_address("127.0.0.1"), 0});
    peer_.open(tcp::v4());
    peer_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    peer_.connect(acceptor.local_endpoint());
    acceptor.accept(socket_);
    watch_.emplace(socket_, kUserTimeout);
    watch_->OnOpen();
    WaitForEnd();
  }

  void Write() {
    watch_->OnWrite();
    asio::async_write(socket_, asio::buffer(bytes_), [](error_code /*ec*/, std::size_t /*n*/) {});
  }

  /// Runs until the connection has ended, for at most `time`.
  void RunFor(milliseconds time) {
    const auto end = Clock::now() + time;
    while (!end_ && Clock::now() < end) {
      io_.restart();
      io_.run_one_until(end);
    }
  }

  /// Reads the peer's bytes until all have come or the connection ends.
  std::size_t ReadAll() {
    std::string buf(kBytes, '\0');
    std::size_t n = 0;
    peer_.non_blocking(true);
    const auto end = Clock::now() + kMaxWait;
    while (n < kBytes && Clock::now() < end) {
      error_code ec;
      n += peer_.read_some(asio::buffer(buf), ec);
      if (ec && ec != asio::error::would_block) break;
      RunFor(milliseconds{1});
    }
    return n;
  }

  /// Drops all packets that reach the peer from now on.
  void Silence() {
    sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &drop_all};
    ASSERT_EQ(
        setsockopt(peer_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program),
        0);
  }

  asio::io_context io_{1};
  tcp::socket socket_{io_};
  tcp::socket peer_{io_};
  std::optional<SendMonitor::Watch> watch_;
  std::string bytes_ = std::string(kBytes, 'x');
  /// How the connection ended; empty as long as it is open.
  std::optional<error_code> end_;

 private:
  void WaitForEnd() {
    socket_.async_read_some(asio::buffer(&byte_, 1),
                            [this](error_code ec, std::size_t /*n*/) { end_ = ec; });
  }

  char byte_ = 0;
};

// Guards against the loss of what a peer has not read yet, because it reads late.
TEST_F(SendMonitorTest, PeerThatReadsLateGetsAllBytes) {
  Write();
  RunFor(kReadsLateFor);
  EXPECT_FALSE(end_);
  EXPECT_EQ(SendMonitor::Of(io_.get_executor()).LateReaders(), 1U);
  EXPECT_EQ(ReadAll(), kBytes);
  RunFor(2 * SendMonitor::kInterval);
  EXPECT_EQ(SendMonitor::Of(io_.get_executor()).LateReaders(), 0U);
}

// Guards against a silent peer that is found only when its connection's last bound passes.
TEST_F(SendMonitorTest, SilentPeerIsFoundInItsBound) {
  Silence();
  const auto begin = Clock::now();
  Write();
  RunFor(kMaxWait);
  ASSERT_TRUE(end_);
  EXPECT_EQ(*end_, asio::error::timed_out);
  EXPECT_LT(Clock::now() - begin, kContactTime);
}

// The same for a peer that stopped reading first.
TEST_F(SendMonitorTest, PeerThatFallsSilentWithAClosedWindowIsFound) {
  Write();
  RunFor(2 * SendMonitor::kInterval);
  Silence();
  RunFor(kMaxWait);
  ASSERT_TRUE(end_);
  EXPECT_EQ(*end_, asio::error::timed_out);
}

// Guards against the loss of an answer whose connection is closed before a late reader has read it.
TEST_F(SendMonitorTest, PeerReadsLateWhatWasWrittenBeforeTheClose) {
  Write();
  RunFor(milliseconds{10});
  watch_->BeforeClose(std::chrono::seconds{10});
  socket_.close();
  std::this_thread::sleep_for(kReadsLateFor);
  EXPECT_EQ(ReadAll(), kBytes);
}

// Guards against a late reader that is taken for a silent peer, and the other way round.
TEST(SendStateTest, TellsLateReadersFromSilentPeers) {
  EXPECT_FALSE(PeerReadsLate({}));
  EXPECT_TRUE(PeerReadsLate({100, 0, 0}));
  EXPECT_TRUE(PeerReadsLate({100, 0, 1}));
  EXPECT_FALSE(PeerReadsLate({100, 0, 2}));
  EXPECT_FALSE(PeerReadsLate({100, 1, 0}));
}

}  // namespace
}  // namespace persimmonstair::sockets
