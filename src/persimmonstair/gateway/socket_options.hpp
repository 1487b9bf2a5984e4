#ifndef PERSIMMONSTAIR_SRC_GATEWAY_SOCKET_OPTIONS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_SOCKET_OPTIONS_HPP_

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>

namespace persimmonstair::gateway {

/// Time after which unacknowledged bytes end a connection, in milliseconds. A path that is silent
/// for longer is taken as lost; new connections may work.
inline constexpr int kUserTimeoutMs = 1500;
/// Keep-alive probes of an idle connection: seconds before the first one and between them.
inline constexpr int kKeepAliveSeconds = 1;
inline constexpr int kKeepAliveProbes = 2;

/// @brief Sends small writes at once and detects silent peers.
inline void SetTcpOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;  // Options only improve the detection of dead peers.
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

enum class PeerState { kIdle, kClosed, kDataAvailable };

/// @brief Looks, without reading, whether the peer closed the connection or sent bytes.
inline PeerState PeekPeer(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto n = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return PeerState::kDataAvailable;
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return PeerState::kIdle;
  return PeerState::kClosed;
}

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_SOCKET_OPTIONS_HPP_
