#ifndef REVIEW_SUPPORT_3_NET_HPP_
#define REVIEW_SUPPORT_3_NET_HPP_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// @brief Address and port of a listener on the loopback network.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// @brief A parsed HTTP/1.1 request or response.
struct Message {
  /// First line without its line end.
  std::string start;
  /// Names are in lower case; of several headers with one name, the last one counts.
  std::map<std::string, std::string> headers;
  std::string body;
  /// The message ended as its framing says.
  bool whole = false;

  /// Value of a header, given in lower case; empty if it is missing.
  std::string Header(const std::string& name) const;
  /// Status of a response; 0 if there is none.
  int Status() const;
  /// Method, or target, of a request.
  std::string Method() const;
  std::string Target() const;
  std::string Path() const;
  /// Value of a parameter in the query, decoded.
  std::optional<std::string> Query(const std::string& name) const;
};

/// @brief A TCP connection with blocking reads and writes.
class Connection {
 public:
  /// Takes over an open descriptor.
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects within `timeout`; null if that fails.
  static std::unique_ptr<Connection> Open(const Address& address, milliseconds timeout);

  bool Send(std::string_view bytes);
  /// Reads one message. `on_body` is called with each piece of the body as it arrives. Returns a
  /// message with an empty start if the connection ended before one began.
  Message Read(milliseconds timeout,
               const std::function<void(std::string_view)>& on_body = nullptr);
  /// True if the peer has closed or reset the connection.
  bool PeerHasClosed() const;
  /// Ends reads and writes of other threads.
  void Shutdown();
  /// Closes with a reset.
  void Reset();
  void Close();
  int fd() const { return fd_; }

 private:
  /// Reads more bytes into the buffer; false at the end, an error or the deadline.
  bool Fill(Clock::time_point deadline);
  bool FillTo(std::size_t bytes, Clock::time_point deadline);
  std::optional<std::string> Line(Clock::time_point deadline);

  int fd_ = -1;
  std::string buffer_;
};

/// @brief Listens on a loopback address and serves each connection on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;

  /// `port` 0 takes a free one.
  Listener(const std::string& ip, std::uint16_t port, Handler handler);
  ~Listener() { Stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const Address& At() const { return at_; }
  /// Stops listening, cuts the open connections and waits for their threads.
  void Stop();

 private:
  void Accept();

  Handler handler_;
  Address at_;
  int fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread accepting_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::set<Connection*> open_;
};

/// @brief Returns `count` ports that are free on all of the addresses, for TCP and UDP.
std::vector<std::uint16_t> FreePorts(const std::vector<std::string>& ips, std::size_t count);

/// @brief Text of an HTTP head with a body of known length.
std::string HttpText(const std::string& start, const std::map<std::string, std::string>& headers,
                     std::string_view body);

}  // namespace review

#endif  // REVIEW_SUPPORT_3_NET_HPP_
