#ifndef PERSIMMONSTAIR_SRC_NET_PEER_TRANSPORT_STATE_HPP_
#define PERSIMMONSTAIR_SRC_NET_PEER_TRANSPORT_STATE_HPP_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <set>
#include <string>
#include <string_view>

#include "persimmonstair/net/frame.hpp"
#include "persimmonstair/net/peer_transport.hpp"

namespace persimmonstair::net {

/// @brief State of a PeerTransport that its datagram socket and its connections share. Used on the
/// transport's thread only, except the counters.
struct PeerTransportState {
  PeerTransportState(PeerTransportOptions transport_options,
                     PeerTransportHandlers transport_handlers)
      : options(std::move(transport_options)), handlers(std::move(transport_handlers)) {}

  const PeerTransportOptions options;
  const PeerTransportHandlers handlers;
  boost::asio::io_context context{1};
  /// Peers whose link a test has taken down.
  std::set<base::InstanceId> down_links;

  std::atomic<std::uint64_t> received{0};
  std::atomic<std::uint64_t> forged{0};
  std::atomic<std::uint64_t> replayed{0};
  std::atomic<std::uint64_t> malformed{0};
  std::atomic<std::uint64_t> oversized{0};
  std::atomic<std::uint64_t> sent_bytes{0};

  /// Makes the header of a frame that is sent now, without a connection nonce.
  FrameHeader MakeHeader(const base::InstanceId& to, std::uint64_t sequence) const {
    return {options.instance, to, options.incarnation, sequence, WallMs(), {}};
  }

  /// Decodes a received frame. Fails if it is forged, malformed, not meant for this instance or
  /// from a peer whose link is down, and counts all but the last. The caller checks the sequence
  /// number and the connection nonce.
  base::Result<Frame> Open(std::string_view bytes);
  /// Decodes the payload and passes it to on_message; counts malformed payloads.
  void Deliver(const Frame& frame);

  /// Wall time in Unix milliseconds.
  static std::int64_t WallMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
};

/// Size of the length field before each frame on a connection; the most significant byte is first.
inline constexpr std::size_t kLengthBytes = 4;
/// Size of the nonce that the receiver sends when a connection opens.
inline constexpr std::size_t kConnectionNonceBytes = 16;

std::string EncodeLength(std::size_t length);
std::size_t DecodeLength(std::string_view bytes);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_PEER_TRANSPORT_STATE_HPP_
