#ifndef PERSIMMONSTAIR_SRC_NET_PEER_RECEIVER_HPP_
#define PERSIMMONSTAIR_SRC_NET_PEER_RECEIVER_HPP_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "deadline.hpp"
#include "peer_transport_state.hpp"

namespace persimmonstair::net {

/// @brief Incoming connection from a peer. It first sends a random nonce, which each received frame
/// must contain. Sequence numbers must start at 1 and have no gaps; the connection is closed at the
/// first invalid frame.
class PeerReceiver : public std::enable_shared_from_this<PeerReceiver> {
 public:
  PeerReceiver(std::shared_ptr<PeerTransportState> shared_state,
               boost::asio::ip::tcp::socket socket, std::shared_ptr<int> unauthenticated_slot);

  void Start();
  void Close();
  /// Peer that opened the connection; empty until its first valid frame arrived.
  const base::InstanceId& From() const { return from_; }

 private:
  void ReadLength();
  void ReadFrame();
  void OnFrame();

  std::shared_ptr<PeerTransportState> shared_state_;
  boost::asio::ip::tcp::socket socket_;
  /// Its use count limits the number of unauthenticated connections. Released once the peer is
  /// authenticated.
  std::shared_ptr<int> unauthenticated_slot_;
  Deadline deadline_;
  std::string connection_nonce_;
  base::InstanceId from_;
  base::Incarnation incarnation_;
  std::uint64_t sequence_ = 0;
  std::array<char, kLengthBytes> length_{};
  std::string frame_;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_PEER_RECEIVER_HPP_
