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

/// @brief Faults that tests inject into outgoing datagrams; all zero in production.
struct LinkFaults {
  std::uint64_t seed = 1;
  /// Probability of each fault for one datagram, from 0 to 1.
  double loss = 0;
  double duplication = 0;
  /// Probability that a datagram is delayed until the next one was sent.
  double reordering = 0;
};

/// @brief Addresses, peers and timeouts of a PeerTransport.
struct PeerTransportOptions {
  base::InstanceId instance;
  /// Identifies this run of the process and increases with every restart, for example the Unix time
  /// in microseconds at start.
  base::Incarnation incarnation;
  std::string bind_address = "127.0.0.1";
  /// Zero selects a free port.
  std::uint16_t udp_port = 0;
  std::uint16_t tcp_port = 0;
  /// Secret shared by all instances; authenticates frames.
  std::string fleet_key;
  std::vector<schema::PeerSettings> peers;
  std::chrono::milliseconds connect_timeout{500};
  /// The delay before a reconnect doubles from backoff_min to backoff_max.
  std::chrono::milliseconds backoff_min{50};
  std::chrono::milliseconds backoff_max{2'000};
  /// Queued bytes for one peer beyond which a further reliable message fails immediately.
  std::size_t max_unsent_bytes = 32U << 20U;
  /// Longest time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
  std::chrono::milliseconds tcp_user_timeout{5'000};
};

/// @brief Callbacks of a PeerTransport. They run on its thread and must not block for long.
struct PeerTransportHandlers {
  std::function<void(base::InstanceId from, base::Incarnation, schema::PeerMessage)> on_message;
  /// A reliable message could not be sent completely. `sent` is true if some of its bytes may have
  /// left the process.
  std::function<void(base::InstanceId to, schema::PeerMessage, bool sent)> on_send_failed;
};

/// @brief Counters of frames and bytes since the transport started.
struct PeerTransportStats {
  std::uint64_t received = 0;
  /// Frames without a valid MAC.
  std::uint64_t forged = 0;
  /// Authentic frames that were replayed, out of sequence, too old or meant for another receiver.
  std::uint64_t replayed = 0;
  std::uint64_t malformed = 0;
  /// Received and outgoing frames beyond the size limits.
  std::uint64_t oversized = 0;
  std::uint64_t sent_bytes = 0;
};

/// @brief Sends authenticated messages between instances over UDP datagrams and TCP connections.
/// Runs on a thread of its own. All functions may be called from any thread; only Stop() blocks.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  /// Sends one datagram. A message to an unknown peer is dropped; one that exceeds
  /// kMaxDatagramBytes is dropped and counted as oversized.
  virtual void SendDatagram(const base::InstanceId& to, const schema::PeerMessage& message) = 0;
  /// Sends one datagram to every known peer.
  virtual void Broadcast(const schema::PeerMessage& message) = 0;
  /// Sends the message over the persistent connection to the peer; messages keep their order. If
  /// the connection breaks before the kernel accepted all bytes of a message, on_send_failed
  /// reports it.
  virtual void SendReliable(const base::InstanceId& to, schema::PeerMessage message) = 0;
  /// Adds a peer, or replaces its addresses if it is known.
  virtual void SetPeer(const schema::PeerSettings& peer) = 0;

  /// For tests: injects faults into outgoing datagrams.
  virtual void SetFaults(const LinkFaults& faults) = 0;
  /// For tests: while a link is down, nothing is sent to or accepted from the peer.
  virtual void SetLinkDown(const base::InstanceId& peer, bool down) = 0;

  virtual PeerTransportStats Stats() const = 0;
  virtual std::uint16_t UdpPort() const = 0;
  virtual std::uint16_t TcpPort() const = 0;
  /// Closes all sockets and waits for the thread to end.
  virtual void Stop() = 0;
};

/// @brief Opens the sockets and starts the thread. Returns kInvalidRequest if an address or port
/// cannot be used or the fleet key is empty.
base::Result<std::unique_ptr<PeerTransport>> StartPeerTransport(PeerTransportOptions options,
                                                                PeerTransportHandlers handlers);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_PEER_TRANSPORT_HPP_
