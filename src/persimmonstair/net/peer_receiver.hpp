#ifndef PERSIMMONSTAIR_SRC_NET_PEER_RECEIVER_HPP_
#define PERSIMMONSTAIR_SRC_NET_PEER_RECEIVER_HPP_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "deadline.hpp"
#include "peer_transport_state.hpp"

namespace persimmonstair::net {

/// @brief An incoming connection of a peer. It gets a random text at its begin, which each of its
/// frames must carry; frame numbers follow each other without gap.
class PeerReceiver : public std::enable_shared_from_this<PeerReceiver> {
 public:
  PeerReceiver(std::shared_ptr<PeerTransportState> shared_state,
               boost::asio::ip::tcp::socket socket, std::shared_ptr<int> unauthenticated_slot);

  void Start();
  void Close();
  /// Empty until the first authentic frame.
  const base::InstanceId& From() const { return from_; }

 private:
  void ReadLength();
  void ReadFrame();
  void OnFrame();

  std::shared_ptr<PeerTransportState> shared_state_;
  boost::asio::ip::tcp::socket socket_;
  /// Share of the number of connections that have not proved their identity.
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
