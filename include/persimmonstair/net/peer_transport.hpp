#ifndef PERSIMMONSTAIR_NET_PEER_TRANSPORT_HPP_
#define PERSIMMONSTAIR_NET_PEER_TRANSPORT_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/peer.hpp"
#include "persimmonstair/schema/settings.hpp"

namespace persimmonstair::net {

/// @brief Faults for tests; all zero in production.
struct LinkFaults {
  std::uint64_t seed = 1;
  /// Probability of each fault for an outgoing datagram, 0 to 1.
  double loss = 0;
  double duplication = 0;
  /// A reordered datagram is sent after the next one.
  double reordering = 0;
};

struct PeerTransportOptions {
  base::InstanceId instance;
  /// Different for each process lifetime and growing, for example Unix microseconds at start.
  base::Incarnation incarnation;
  std::string bind_address = "127.0.0.1";
  /// Zero takes a free port.
  std::uint16_t udp_port = 0;
  std::uint16_t tcp_port = 0;
  std::string fleet_key;
  std::vector<schema::PeerSettings> peers;
  std::chrono::milliseconds connect_timeout{500};
  /// Reconnect delays double from the first to the second value.
  std::chrono::milliseconds backoff_min{50};
  std::chrono::milliseconds backoff_max{2'000};
  /// Unsent bytes for one peer beyond which a reliable message fails at once.
  std::size_t max_unsent_bytes = 32U << 20U;
  std::chrono::milliseconds tcp_user_timeout{5'000};
};

/// @brief Called on the transport's thread; must not block for long.
struct PeerTransportHandlers {
  std::function<void(base::InstanceId from, base::Incarnation, schema::PeerMessage)> on_message;
  /// A reliable message was not delivered; `sent` is true if any byte may have left.
  std::function<void(base::InstanceId to, schema::PeerMessage, bool sent)> on_send_failed;
};

/// @brief Counters of the transport.
struct PeerTransportStats {
  std::uint64_t received = 0;
  std::uint64_t forged = 0;
  std::uint64_t replayed = 0;
  std::uint64_t malformed = 0;
  std::uint64_t oversized = 0;
  std::uint64_t sent_bytes = 0;
};

/// @brief Datagrams and connections between instances, on one thread of its own. Functions may be
/// called from any thread and never block, except Stop().
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  /// One datagram; dropped and counted if it exceeds kMaxDatagramBytes or the peer is unknown.
  virtual void SendDatagram(const base::InstanceId& to, const schema::PeerMessage& message) = 0;
  virtual void Broadcast(const schema::PeerMessage& message) = 0;
  /// Over the persistent connection to the peer, in order. Messages on a connection that breaks
  /// before all their bytes were accepted by the kernel are reported as failed.
  virtual void SendReliable(const base::InstanceId& to, schema::PeerMessage message) = 0;
  /// Adds a peer or changes its address.
  virtual void SetPeer(const schema::PeerSettings& peer) = 0;

  /// For tests: faults of outgoing datagrams, and a link that carries nothing in either direction.
  virtual void SetFaults(const LinkFaults& faults) = 0;
  virtual void SetLinkDown(const base::InstanceId& peer, bool down) = 0;

  virtual PeerTransportStats Stats() const = 0;
  virtual std::uint16_t UdpPort() const = 0;
  virtual std::uint16_t TcpPort() const = 0;
  virtual void Stop() = 0;
};

/// @brief Opens the sockets and starts the thread. kInvalidRequest for an unusable address or an
/// empty fleet key.
base::Result<std::unique_ptr<PeerTransport>> StartPeerTransport(PeerTransportOptions options,
                                                                PeerTransportHandlers handlers);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_PEER_TRANSPORT_HPP_
