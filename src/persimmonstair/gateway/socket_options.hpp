#ifndef PERSIMMONSTAIR_SRC_GATEWAY_SOCKET_OPTIONS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_SOCKET_OPTIONS_HPP_

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "persimmonstair/sockets/send_monitor.hpp"

namespace persimmonstair::gateway {

/// Time after which a connection with unacknowledged bytes is closed. If nothing was acknowledged
/// for longer, the network path is taken as lost; a new connection may work. Watched by a
/// sockets::SendMonitor, as a peer that reads late isn't lost.
inline constexpr std::chrono::milliseconds kUserTimeout{1500};
/// Seconds before the first keep-alive probe of an idle connection, and between probes.
inline constexpr int kKeepAliveSeconds = 1;
inline constexpr int kKeepAliveProbes = 2;

/// @brief Disables Nagle's algorithm and enables detection of unresponsive peers of an open socket.
inline void SetTcpOptions(boost::asio::ip::tcp::socket& socket,
                          sockets::SendMonitor::Watch& watch) {
  // The options only improve latency and the detection of dead peers.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const int fd = socket.native_handle();
  const auto set = [fd](int level, int option, int value) {
    setsockopt(fd, level, option, &value, sizeof value);
  };
  watch.OnOpen();
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

/// @brief What the peer of a connection did since the last read. It closed the connection, reset
/// it, or acknowledged nothing until the connection timed out.
enum class PeerState { kIdle, kClosed, kReset, kTimedOut, kDataAvailable };

/// @brief Checks, without consuming bytes, whether the connection has ended or the peer sent bytes.
inline PeerState PeekPeer(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto n = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return PeerState::kDataAvailable;
  if (n == 0) return PeerState::kClosed;
  if (errno == EAGAIN || errno == EWOULDBLOCK) return PeerState::kIdle;
  return errno == ETIMEDOUT ? PeerState::kTimedOut : PeerState::kReset;
}

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_SOCKET_OPTIONS_HPP_
