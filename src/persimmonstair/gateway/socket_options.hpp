#ifndef PERSIMMONSTAIR_SRC_GATEWAY_SOCKET_OPTIONS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_SOCKET_OPTIONS_HPP_

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>

namespace persimmonstair::gateway {

/// Milliseconds after which a connection with unacknowledged bytes is closed. If nothing was
/// acknowledged for longer, the network path is taken as lost; a new connection may work.
inline constexpr int kUserTimeoutMs = 1500;
/// Seconds before the first keep-alive probe of an idle connection, and between probes.
inline constexpr int kKeepAliveSeconds = 1;
inline constexpr int kKeepAliveProbes = 2;

/// @brief Disables Nagle's algorithm and enables detection of unresponsive peers.
inline void SetTcpOptions(boost::asio::ip::tcp::socket& socket) {
  // The options only improve latency and the detection of dead peers.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const int fd = socket.native_handle();
  const auto set = [fd](int level, int option, int value) {
    setsockopt(fd, level, option, &value, sizeof value);
  };
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

/// @brief What the peer of a connection did since the last read.
enum class PeerState { kIdle, kClosed, kDataAvailable };

/// @brief Checks, without consuming bytes, whether the peer closed the connection or sent bytes.
inline PeerState PeekPeer(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto n = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return PeerState::kDataAvailable;
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return PeerState::kIdle;
  return PeerState::kClosed;
}

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_SOCKET_OPTIONS_HPP_
