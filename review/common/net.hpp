#ifndef PERSIMMONSTAIR_REVIEW_COMMON_NET_HPP_
#define PERSIMMONSTAIR_REVIEW_COMMON_NET_HPP_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;

inline void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// @brief A message in HTTP/1.1. Header names are in lower case.
struct Message {
  /// Request line or status line.
  std::string start;
  std::map<std::string, std::string> headers;
  std::string body;
  /// False if the connection ended before the end of the body.
  bool complete = false;

  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const auto from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  /// Status of a response; 0 without a response.
  int Status() const { return start.size() < 12 ? 0 : std::atoi(start.substr(9, 3).c_str()); }
};

/// @brief A blocking TCP connection over loopback.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int fd) : fd_(fd) {
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  Connection(Connection&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), rest_(std::move(other.rest_)) {}
  Connection& operator=(Connection&& other) noexcept {
    std::swap(fd_, other.fd_);
    std::swap(rest_, other.rest_);
    return *this;
  }
  ~Connection() { Close(); }

  static Connection To(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      close(fd);
      return {};
    }
    return Connection(fd);
  }

  bool IsOpen() const { return fd_ >= 0; }
  int Fd() const { return fd_; }

  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

  /// Closes with a reset.
  void Reset() {
    const linger now{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }

  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const auto n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }

  /// Reads a message; `start` is empty if the connection ended before its head.
  Message Read(int timeout_ms) {
    const auto end = Clock::now() + std::chrono::milliseconds(timeout_ms);
    Message message;
    std::size_t head = std::string::npos;
    while ((head = rest_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end)) return message;
    }
    ParseHead(rest_.substr(0, head), message);
    rest_.erase(0, head + 4);
    ReadBody(message, end);
    return message;
  }

 private:
  static void ParseHead(const std::string& head, Message& message) {
    std::size_t at = head.find("\r\n");
    message.start = head.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t begin = at + 2;
      at = head.find("\r\n", begin);
      const std::string line = head.substr(begin, at == std::string::npos ? at : at - begin);
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
  }

  void ReadBody(Message& message, Clock::time_point end) {
    if (message.Header("transfer-encoding") == "chunked") {
      for (;;) {
        std::size_t line = std::string::npos;
        while ((line = rest_.find("\r\n")) == std::string::npos) {
          if (!Fill(end)) return;
        }
        const std::size_t size = std::stoul(rest_.substr(0, line), nullptr, 16);
        while (rest_.size() < line + 2 + size + 2) {
          if (!Fill(end)) return;
        }
        message.body += rest_.substr(line + 2, size);
        rest_.erase(0, line + 2 + size + 2);
        if (size == 0) break;
      }
      message.complete = true;
      return;
    }
    const std::string length = message.Header("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (rest_.size() < size) {
      if (!Fill(end)) return;
    }
    message.body = rest_.substr(0, size);
    rest_.erase(0, size);
    message.complete = true;
  }

  bool Fill(Clock::time_point end) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
    pollfd poll_fd{fd_, POLLIN, 0};
    if (left <= 0 || poll(&poll_fd, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[16384];
    const auto n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    rest_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  int fd_ = -1;
  std::string rest_;
};

/// @brief Returns a socket that is bound to a loopback port (0: a free one) and doesn't listen.
inline int BindPort(std::uint16_t port, int type = SOCK_STREAM) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int one = 1;
  if (type == SOCK_STREAM) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

inline std::uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// @brief Returns a socket that is bound to a free loopback port below those that the system gives
/// to outgoing connections, so that the port can be used again later.
inline int BindFree() {
  constexpr int kFirst = 12'000;
  constexpr int kLast = 30'000;
  std::random_device random;
  std::uniform_int_distribution<int> pick(kFirst, kLast);
  for (int n = 0; n < 1000; ++n) {
    const int fd = BindPort(static_cast<std::uint16_t>(pick(random)));
    if (fd >= 0) return fd;
  }
  throw std::runtime_error("no free port");
}

/// @brief Returns a loopback port that is free now for TCP and UDP, and that it never returned.
inline std::uint16_t FreePort() {
  static std::set<std::uint16_t> returned;
  for (;;) {
    const int tcp = BindFree();
    const std::uint16_t port = PortOf(tcp);
    if (!returned.insert(port).second) {
      close(tcp);
      continue;
    }
    const int udp = BindPort(port, SOCK_DGRAM);
    close(tcp);
    if (udp < 0) continue;
    close(udp);
    return port;
  }
}

inline std::string Response(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review

#endif  // PERSIMMONSTAIR_REVIEW_COMMON_NET_HPP_
