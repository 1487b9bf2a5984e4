#ifndef PERSIMMONSTAIR_SRC_GATEWAY_PEER_SOCKET_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_PEER_SOCKET_HPP_

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/schema/entry_peer.hpp"

namespace persimmonstair::gateway {

/// Address of another instance's peer socket.
using PeerEndpoint = boost::asio::ip::udp::endpoint;

/// @brief Returns the endpoint as a UDP address; nothing if its address is no IP address.
std::optional<PeerEndpoint> ToPeerEndpoint(const dispatch::Endpoint& endpoint);

/// @brief Exchanges datagrams with other instances. Datagrams may be lost, and nothing reports it.
///
///     socket.OnMessage([](const auto& message, const PeerEndpoint& sender) { ... });
///     if (auto opened = socket.Listen(settings.peer_listen); !opened) return opened;
class PeerSocket {
 public:
  /// Size of the largest datagram that is sent, in bytes. It fits into one Ethernet frame.
  static constexpr std::size_t kMaxDatagramBytes = 1400;

  using Handler = std::function<void(const schema::EntryPeerMessage&, const PeerEndpoint& sender)>;

  explicit PeerSocket(const boost::asio::any_io_executor& executor) : socket_(executor) {}

  base::Result<void> Listen(const dispatch::Endpoint& endpoint);

  /// Adds a handler. Each handler is called with each message and ignores those of other types.
  void OnMessage(Handler handler) { handlers_.push_back(std::move(handler)); }

  /// Receives datagrams; never returns.
  boost::asio::awaitable<void> Run();

  /// Sends a message. Returns false without sending it if it exceeds kMaxDatagramBytes.
  bool Send(const schema::EntryPeerMessage& message, const PeerEndpoint& peer);

 private:
  void Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender);

  boost::asio::ip::udp::socket socket_;
  std::vector<Handler> handlers_;
  std::array<char, kMaxDatagramBytes> buffer_{};
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_PEER_SOCKET_HPP_
