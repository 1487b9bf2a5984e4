#include "net.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <random>
#include <stdexcept>
#include <vector>

namespace review {
namespace {

sockaddr_in ToSockaddr(const std::string& ip, std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  if (::inet_pton(AF_INET, ip.c_str(), &out.sin_addr) != 1) throw std::runtime_error("bad " + ip);
  return out;
}

int MillisUntil(Clock::time_point deadline) {
  const auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, 1'000'000));
}

bool CanBind(const std::string& ip, std::uint16_t port, int type) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in at = ToSockaddr(ip, port);
  const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
  ::close(fd);
  return free;
}

std::string LowerCase(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

}  // namespace

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

int Message::Status() const {
  const auto at = start.find(' ');
  if (!start.starts_with("HTTP/") || at == std::string::npos) return 0;
  return std::atoi(start.c_str() + at + 1);
}

std::string Message::Method() const { return start.substr(0, start.find(' ')); }

std::string Message::Target() const {
  const auto begin = start.find(' ');
  if (begin == std::string::npos) return {};
  return start.substr(begin + 1, start.find(' ', begin + 1) - begin - 1);
}

std::string Message::Path() const {
  const std::string target = Target();
  return target.substr(0, target.find('?'));
}

std::optional<std::string> Message::Query(const std::string& name) const {
  const std::string target = Target();
  for (const char* before : {"?", "&"}) {
    const auto at = target.find(before + name + "=");
    if (at == std::string::npos) continue;
    const auto begin = at + name.size() + 2;
    const std::string raw = target.substr(begin, target.find('&', begin) - begin);
    std::string out;
    for (std::size_t n = 0; n < raw.size(); ++n) {
      if (raw[n] == '%' && n + 2 < raw.size()) {
        out += static_cast<char>(std::stoi(raw.substr(n + 1, 2), nullptr, 16));
        n += 2;
      } else {
        out += raw[n];
      }
    }
    return out;
  }
  return std::nullopt;
}

std::unique_ptr<Connection> Connection::Open(const Address& address, milliseconds timeout) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return nullptr;
  auto connection = std::make_unique<Connection>(fd);
  const sockaddr_in at = ToSockaddr(address.ip, address.port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    if (errno != EINPROGRESS) return nullptr;
    pollfd one{fd, POLLOUT, 0};
    if (::poll(&one, 1, static_cast<int>(timeout.count())) != 1) return nullptr;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return nullptr;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

bool Connection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool Connection::Fill(Clock::time_point deadline) {
  if (fd_ < 0) return false;
  pollfd one{fd_, POLLIN, 0};
  if (::poll(&one, 1, MillisUntil(deadline)) != 1) return false;
  char piece[65536];
  const auto n = ::recv(fd_, piece, sizeof piece, 0);
  if (n <= 0) return false;
  buffer_.append(piece, static_cast<std::size_t>(n));
  return true;
}

bool Connection::FillTo(std::size_t bytes, Clock::time_point deadline) {
  while (buffer_.size() < bytes) {
    if (!Fill(deadline)) return false;
  }
  return true;
}

std::optional<std::string> Connection::Line(Clock::time_point deadline) {
  for (;;) {
    const auto at = buffer_.find("\r\n");
    if (at != std::string::npos) {
      std::string line = buffer_.substr(0, at);
      buffer_.erase(0, at + 2);
      return line;
    }
    if (!Fill(deadline)) return std::nullopt;
  }
}

Message Connection::Read(milliseconds timeout,
                         const std::function<void(std::string_view)>& on_body) {
  const auto deadline = Clock::now() + timeout;
  Message message;
  const auto start = Line(deadline);
  if (!start) return message;
  message.start = *start;
  for (;;) {
    const auto line = Line(deadline);
    if (!line) return message;
    if (line->empty()) break;
    const auto colon = line->find(':');
    if (colon == std::string::npos) return message;
    const auto value = line->find_first_not_of(' ', colon + 1);
    message.headers[LowerCase(line->substr(0, colon))] =
        value == std::string::npos ? std::string() : line->substr(value);
  }
  const auto take = [&](std::size_t bytes) {
    const std::string piece = buffer_.substr(0, bytes);
    buffer_.erase(0, piece.size());
    if (on_body && !piece.empty()) on_body(piece);
    message.body += piece;
    return piece.size();
  };
  if (message.Header("transfer-encoding") == "chunked") {
    for (;;) {
      const auto line = Line(deadline);
      if (!line) return message;
      const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
      if (!FillTo(size + 2, deadline)) return message;
      take(size);
      buffer_.erase(0, 2);
      if (size == 0) break;
    }
    message.whole = true;
    return message;
  }
  const bool has_length = message.headers.contains("content-length");
  std::size_t left = has_length ? std::stoul(message.Header("content-length")) : 0;
  const bool until_end = !has_length && message.Status() >= 200 && message.Status() != 204;
  while (left > 0 || until_end) {
    if (buffer_.empty() && !Fill(deadline)) {
      message.whole = until_end;
      return message;
    }
    const std::size_t taken = take(until_end ? buffer_.size() : left);
    left -= until_end ? 0 : taken;
  }
  message.whole = true;
  return message;
}

bool Connection::PeerHasClosed() const {
  char byte = 0;
  const auto n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Shutdown() { ::shutdown(fd_, SHUT_RDWR); }

void Connection::Reset() {
  const linger at_once{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  Close();
}

void Connection::Close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

Listener::Listener(const std::string& ip, std::uint16_t port, Handler handler)
    : handler_(std::move(handler)) {
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = ToSockaddr(ip, port);
  socklen_t size = sizeof at;
  if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(fd_, 1024) != 0 ||
      ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    throw std::runtime_error("can't listen on " + ip);
  }
  at_ = {ip, ntohs(at.sin_port)};
  accepting_ = std::thread([this] { Accept(); });
}

void Listener::Accept() {
  while (!stopping_) {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto* connection = new Connection(fd);
    {
      const std::lock_guard lock(mutex_);
      open_.insert(connection);
    }
    std::thread([this, connection] {
      handler_(*connection);
      const std::lock_guard lock(mutex_);
      open_.erase(connection);
      delete connection;
      ended_.notify_all();
    }).detach();
  }
}

void Listener::Stop() {
  if (stopping_.exchange(true)) return;
  ::shutdown(fd_, SHUT_RDWR);
  accepting_.join();
  ::close(fd_);
  std::unique_lock lock(mutex_);
  for (Connection* one : open_) one->Shutdown();
  ended_.wait(lock, [this] { return open_.empty(); });
}

std::vector<std::uint16_t> FreePorts(const std::vector<std::string>& ips, std::size_t count) {
  std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<int> pick(21'000, 31'000);
  std::vector<std::uint16_t> ports;
  while (ports.size() < count) {
    const auto port = static_cast<std::uint16_t>(pick(random));
    const bool free = std::all_of(ips.begin(), ips.end(), [port](const std::string& ip) {
      return CanBind(ip, port, SOCK_STREAM) && CanBind(ip, port, SOCK_DGRAM);
    });
    if (free && std::find(ports.begin(), ports.end(), port) == ports.end()) ports.push_back(port);
  }
  return ports;
}

std::string HttpText(const std::string& start, const std::map<std::string, std::string>& headers,
                     std::string_view body) {
  std::string out = start + "\r\n";
  for (const auto& [name, value] : headers) out += name + ": " + value + "\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  out += body;
  return out;
}

}  // namespace review
