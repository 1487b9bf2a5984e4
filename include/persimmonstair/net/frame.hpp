#ifndef PERSIMMONSTAIR_NET_FRAME_HPP_
#define PERSIMMONSTAIR_NET_FRAME_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"

namespace persimmonstair::net {

/// Largest UDP datagram in bytes, including the frame header and the MAC (design section 5).
inline constexpr std::size_t kMaxDatagramBytes = 1'400;
/// Largest frame on a TCP connection in bytes (design section 5).
inline constexpr std::size_t kMaxFrameBytes = 16U << 20U;

/// @brief Sender, receiver and sequence number of a frame. The MAC of the frame covers the header.
struct FrameHeader {
  base::InstanceId from;
  base::InstanceId to;
  base::Incarnation incarnation;
  /// Starts at 1. Datagrams are numbered separately for each receiver, other frames separately for
  /// each connection.
  std::uint64_t sequence = 0;
  /// Wall time of the sender in Unix milliseconds.
  std::int64_t sent_at_ms = 0;
  /// Random bytes that the receiver sends when a connection opens; empty in datagrams. Prevents
  /// frames recorded on one connection from being replayed on another.
  std::string connection_nonce;
};

/// @brief A decoded message between two instances.
struct Frame {
  FrameHeader header;
  /// A peer message as encoded by schema::EncodePeer().
  std::string payload;
};

/// @brief Encodes a frame and prefixes it with its HMAC-SHA-256 under the fleet key. The frame is
/// not encrypted.
std::string SealFrame(const FrameHeader& header, std::string_view payload,
                      std::string_view fleet_key);

/// @brief Decodes a frame after checking its HMAC in constant time. Returns kUnauthorized for a
/// missing or wrong HMAC and kInvalidRequest for a malformed frame.
base::Result<Frame> OpenFrame(std::string_view bytes, std::string_view fleet_key);

/// @brief Rejects replayed datagrams. Sequence numbers may arrive out of order within kWindow. Once
/// an incarnation was seen, lower incarnations of the same instance are rejected. The first
/// datagram of an incarnation must be recent, because a restarted receiver cannot otherwise
/// recognize a replay.
class ReplayFilter {
 public:
  /// Sequence numbers remembered for each sender.
  static constexpr std::uint64_t kWindow = 1'024;
  /// Datagrams of further senders are rejected, which bounds the memory.
  static constexpr std::size_t kMaxSenders = 4'096;
  /// Largest difference in milliseconds between the wall clocks of sender and receiver for the
  /// first datagram of an incarnation; the same bound applies to idempotency keys.
  static constexpr std::int64_t kMaxAgeMs = 60'000;

  /// Records the frame and returns true, or returns false if it is a replay or too old. `now_ms` is
  /// the receiver's wall time in Unix milliseconds.
  bool Accept(const FrameHeader& header, std::int64_t now_ms);

 private:
  /// Replay state of one sender; `seen` is a bit set indexed by sequence number modulo kWindow.
  struct Sender {
    base::Incarnation incarnation;
    std::uint64_t highest = 0;
    std::uint64_t seen[kWindow / 64] = {};
  };
  std::map<base::InstanceId, Sender> senders_;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_FRAME_HPP_
