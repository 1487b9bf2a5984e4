#ifndef PERSIMMONSTAIR_SOCKETS_SEND_STATE_HPP_
#define PERSIMMONSTAIR_SOCKETS_SEND_STATE_HPP_

#include <chrono>
#include <cstdint>
#include <optional>

namespace persimmonstair::sockets {

/// @brief What the system knows of the bytes that were written to a TCP connection.
struct SendState {
  /// Bytes that the peer has not acknowledged, sent or not.
  std::uint32_t unacknowledged_bytes = 0;
  /// Segments that were sent and that the peer has not acknowledged.
  std::uint32_t segments_in_flight = 0;
  /// Probes of the peer's closed receive window, in a row, that it did not answer.
  std::uint32_t unanswered_probes = 0;
};

/// @brief Returns the state of an open TCP socket; nothing if the system doesn't tell it.
std::optional<SendState> ReadSendState(int descriptor);

/// @brief True if the peer is there and its receive window is closed: it has acknowledged all that
/// was sent, the rest can't be sent, and it answers the probes of its window.
bool PeerReadsLate(const SendState& state);

/// @brief Sets TCP_USER_TIMEOUT: the time after which the system ends a connection with bytes that
/// the peer has not acknowledged. Zero leaves that to the number of retransmissions.
void SetUserTimeout(int descriptor, std::chrono::milliseconds timeout);

}  // namespace persimmonstair::sockets

#endif  // PERSIMMONSTAIR_SOCKETS_SEND_STATE_HPP_
