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

/// @brief What datagrams, outgoing and incoming connections share. Used on the transport's thread
/// only, but for the counters.
struct PeerTransportState {
  PeerTransportState(PeerTransportOptions transport_options,
                     PeerTransportHandlers transport_handlers)
      : options(std::move(transport_options)), handlers(std::move(transport_handlers)) {}

  const PeerTransportOptions options;
  const PeerTransportHandlers handlers;
  boost::asio::io_context context{1};
  std::set<base::InstanceId> down_links;

  std::atomic<std::uint64_t> received{0};
  std::atomic<std::uint64_t> forged{0};
  std::atomic<std::uint64_t> replayed{0};
  std::atomic<std::uint64_t> malformed{0};
  std::atomic<std::uint64_t> oversized{0};
  std::atomic<std::uint64_t> sent_bytes{0};

  FrameHeader MakeHeader(const base::InstanceId& to, std::uint64_t sequence) const {
    return {options.instance, to, options.incarnation, sequence, WallMs(), {}};
  }

  /// Checks everything but the sequence number; counts what is wrong.
  base::Result<Frame> Open(std::string_view bytes);
  /// Decodes the payload and passes it on.
  void Deliver(const Frame& frame);

  static std::int64_t WallMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
};

/// Bytes of the length before each frame on a connection, most significant first.
inline constexpr std::size_t kLengthBytes = 4;
/// Bytes of the random text that the receiver sends when a connection begins.
inline constexpr std::size_t kConnectionNonceBytes = 16;

std::string EncodeLength(std::size_t length);
std::size_t DecodeLength(std::string_view bytes);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_PEER_TRANSPORT_STATE_HPP_
