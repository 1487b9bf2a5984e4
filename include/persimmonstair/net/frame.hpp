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
  /// Counted by the sender from 1, over all its peers.
  std::uint64_t sequence = 0;
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

/// @brief Accepts each (sender, incarnation, sequence) once. Sequence numbers may arrive out of
/// order by less than the window; a lower incarnation is refused once a higher one was seen.
class ReplayFilter {
 public:
  static constexpr std::uint64_t kWindow = 1'024;
  /// Senders beyond this number are refused, so that the state stays bounded.
  static constexpr std::size_t kMaxSenders = 4'096;

  /// False for a replayed or too old frame.
  bool Accept(const FrameHeader& header);

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
