#ifndef PERSIMMONSTAIR_SRC_NET_TEST_SOCKET_HPP_
#define PERSIMMONSTAIR_SRC_NET_TEST_SOCKET_HPP_

#include <gtest/gtest.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace persimmonstair::net {

/// @brief Parsed HTTP request or response. Status zero means that the connection ended before the
/// message was complete.
struct TestMessage {
  /// Status of a response; 1 for a request.
  unsigned status = 0;
  /// Method and target of a request, separated by a blank.
  std::string method_and_target;
  /// Names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// @brief Blocking socket for tests. A read that receives nothing for 30 s counts as the end of the
/// connection. The limit only keeps a failing test from hanging; no result depends on its length.
class TestSocket {
 public:
  using Tcp = boost::asio::ip::tcp;

  explicit TestSocket(std::uint16_t port) : socket_(context_) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    SetTimeout();
  }
  /// Connects with a small receive buffer, so that the peer can send no more than about so many
  /// bytes before they are read.
  TestSocket(std::uint16_t port, int receive_buffer_bytes) : socket_(context_) {
    socket_.open(Tcp::v4());
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    SetTimeout();
  }
  /// Takes over an accepted descriptor. `on_close` runs before the descriptor is closed, so before
  /// the system can reuse its number for another connection.
  TestSocket(int accepted, std::function<void()> on_close)
      : socket_(context_), on_close_(std::move(on_close)) {
    socket_.assign(Tcp::v4(), accepted);
    SetTimeout();
  }
  ~TestSocket() { Close(); }
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  bool Send(const std::string& bytes) {
    boost::system::error_code ec;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ec);
    return !ec;
  }

  /// Reads until `marker` is received and returns the unread bytes up to and including it. Returns
  /// the remaining bytes if the connection ends first.
  std::string ReadUntil(const std::string& marker) {
    for (;;) {
      const auto data = BufferedBytes();
      if (const auto at = data.find(marker); at != std::string::npos) {
        buffer_.consume(at + marker.size());
        return data.substr(0, at + marker.size());
      }
      if (!ReadSome()) {
        buffer_.consume(buffer_.size());
        return data;
      }
    }
  }

  /// Reads until the end of the connection.
  std::string ReadAll() {
    while (ReadSome()) {
    }
    auto out = BufferedBytes();
    buffer_.consume(buffer_.size());
    return out;
  }

  TestMessage ReadResponse() { return ParseMessage<false>(); }
  TestMessage ReadRequest() { return ParseMessage<true>(); }

  void ShutdownSend() {
    boost::system::error_code ec;
    socket_.shutdown(Tcp::socket::shutdown_send, ec);
  }
  /// Closes the connection with a TCP reset.
  void Reset() {
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    Close();
  }
  void Close() {
    if (on_close_) std::exchange(on_close_, nullptr)();
    boost::system::error_code ec;
    socket_.close(ec);
  }
  /// Drops all packets that arrive from now on, as if the peer's network path were cut.
  void FallSilent() {
    sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &drop_all};
    const int result = ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                                    sizeof program);
    if (result != 0) throw std::runtime_error("can't attach a filter to a socket");
  }
  Tcp::socket& socket() { return socket_; }

 private:
  void SetTimeout() {
    const timeval limit{30, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }

  std::string BufferedBytes() const {
    return {static_cast<const char*>(buffer_.cdata().data()), buffer_.size()};
  }

  bool ReadSome() {
    const auto space = buffer_.prepare(16384);
    const auto n = ::recv(socket_.native_handle(), space.data(), space.size(), 0);
    if (n > 0) buffer_.commit(static_cast<std::size_t>(n));
    return n > 0;
  }

  template <bool kIsRequest>
  TestMessage ParseMessage() {
    namespace http = boost::beast::http;
    http::parser<kIsRequest, http::string_body> parser;
    parser.body_limit(64U << 20U);
    parser.eager(true);
    TestMessage out;
    while (!parser.is_done()) {
      if (buffer_.size() == 0 && !ReadSome()) {
        boost::system::error_code ec;
        if (!parser.is_header_done()) return out;
        parser.put_eof(ec);
        if (ec) return out;
        break;
      }
      boost::system::error_code ec;
      const auto used = parser.put(buffer_.data(), ec);
      buffer_.consume(used);
      if (ec && ec != http::error::need_more) return out;
      if (ec == http::error::need_more && !ReadSome()) return out;
    }
    return Convert<kIsRequest>(parser.get());
  }

  template <bool kIsRequest, class Message>
  static TestMessage Convert(const Message& message) {
    TestMessage out;
    if constexpr (kIsRequest) {
      out.status = 1;
      out.method_and_target =
          std::string(message.method_string()) + " " + std::string(message.target());
    } else {
      out.status = message.result_int();
    }
    for (const auto& field : message) {
      std::string name(field.name_string());
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      out.headers[name] = std::string(field.value());
    }
    out.body = message.body();
    return out;
  }

  boost::asio::io_context context_;
  Tcp::socket socket_;
  std::function<void()> on_close_;
  boost::beast::flat_buffer buffer_;
};

/// @brief Port that refuses connections. It stays bound, so no other process can listen on it.
class ClosedPort {
 public:
  ClosedPort() : acceptor_(context_) {
    acceptor_.open(boost::asio::ip::tcp::v4());
    acceptor_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  }
  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

/// @brief Server on a free port that calls a handler for each connection, each on its own thread.
class TestServer {
 public:
  using Handler = std::function<void(TestSocket&)>;

  /// `receive_buffer_bytes` is the size of the receive buffers of its connections; 0 for the
  /// system's.
  explicit TestServer(Handler handler, int receive_buffer_bytes = 0)
      : handler_(std::move(handler)), acceptor_(context_) {
    acceptor_.open(boost::asio::ip::tcp::v4());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    if (receive_buffer_bytes > 0) {
      acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    }
    acceptor_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
    accepting_ = std::thread([this] { Run(); });
  }
  ~TestServer() {
    StopListening();
    accepting_.join();
    {
      // Makes pending reads of the handlers return.
      const std::lock_guard lock(mutex_);
      for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (auto& thread : threads_) thread.join();
  }

  /// Refuses further connections, as a process that has crashed. Open ones stay.
  void StopListening() {
    stopping_ = true;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  }

  std::uint16_t Port() const { return port_; }
  /// Number of connections accepted so far.
  int Connections() const { return connections_; }

 private:
  void Run() {
    while (!stopping_) {
      const int fd = ::accept(acceptor_.native_handle(), nullptr, nullptr);
      if (fd < 0) return;
      ++connections_;
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      threads_.emplace_back([this, fd] {
        TestSocket socket(fd, [this, fd] {
          const std::lock_guard lock(mutex_);
          open_.erase(fd);
        });
        handler_(socket);
      });
    }
  }

  Handler handler_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::thread accepting_;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::set<int> open_;
};

/// @brief Queue on which one thread waits for values that others add.
template <class T>
class TestQueue {
 public:
  void Push(T value) {
    {
      const std::lock_guard lock(mutex_);
      values_.push_back(std::move(value));
    }
    changed_.notify_all();
  }

  /// Waits for the next value. After 30 s without one, records a test failure and returns a default
  /// value.
  T Pop() {
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, std::chrono::seconds(30),
                           [this] { return next_ < values_.size(); })) {
      ADD_FAILURE() << "no value was added within the time limit";
      return T{};
    }
    return values_[next_++];
  }

  /// Number of values added so far, including those that were popped.
  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return values_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<T> values_;
  std::size_t next_ = 0;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_TEST_SOCKET_HPP_
