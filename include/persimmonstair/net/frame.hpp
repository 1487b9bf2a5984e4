#ifndef PERSIMMONSTAIR_NET_FRAME_HPP_
#define PERSIMMONSTAIR_NET_FRAME_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"

namespace persimmonstair::net {

/// Largest UDP datagram, header and authentication included (design section 5).
inline constexpr std::size_t kMaxDatagramBytes = 1'400;
/// Largest TCP frame (design section 5).
inline constexpr std::size_t kMaxFrameBytes = 16U << 20U;

/// @brief Sender, receiver and position of a frame; covered by its authentication.
struct FrameHeader {
  base::InstanceId from;
  base::InstanceId to;
  base::Incarnation incarnation;
  /// Counted from 1 for each receiver of datagrams and for each connection.
  std::uint64_t sequence = 0;
  /// Sender's wall time in Unix milliseconds.
  std::int64_t sent_at_ms = 0;
  /// Random text that the receiver of a connection chose for it; empty in datagrams. Frames of an
  /// earlier connection are of no use on another one.
  std::string connection_nonce;
};

struct Frame {
  FrameHeader header;
  /// schema::EncodePeer() text.
  std::string payload;
};

/// @brief Header, payload and HMAC-SHA-256 under the fleet key.
std::string SealFrame(const FrameHeader& header, std::string_view payload,
                      std::string_view fleet_key);

/// @brief Checks the HMAC in constant time before it reads anything else; kUnauthorized for a
/// forged frame, kInvalidRequest for a malformed one.
base::Result<Frame> OpenFrame(std::string_view bytes, std::string_view fleet_key);

/// @brief Accepts each datagram once. Sequence numbers may arrive out of order by less than the
/// window; a lower incarnation is refused once a higher one was seen. The first datagram of a
/// process must be recent: a receiver that restarted has no other way to tell it from a replay.
class ReplayFilter {
 public:
  static constexpr std::uint64_t kWindow = 1'024;
  /// Senders beyond this number are refused, so that the state stays bounded.
  static constexpr std::size_t kMaxSenders = 4'096;
  /// Largest difference of the clocks for the first datagram, as for idempotency keys.
  static constexpr std::int64_t kMaxAgeMs = 60'000;

  /// False for a replayed or too old frame. `now_ms` is the receiver's wall time.
  bool Accept(const FrameHeader& header, std::int64_t now_ms);

 private:
  struct Sender {
    base::Incarnation incarnation;
    std::uint64_t highest = 0;
    std::uint64_t seen[kWindow / 64] = {};
  };
  std::map<base::InstanceId, Sender> senders_;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_FRAME_HPP_
