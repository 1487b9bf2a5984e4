#ifndef PERSIMMONSTAIR_ROUTING_DECISIONS_HPP_
#define PERSIMMONSTAIR_ROUTING_DECISIONS_HPP_

#include <cstdint>
#include <string>
#include <variant>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::routing {

/// @brief Sends a request to a target. The attempt must be answered with exactly one
/// AttemptFinished or AttemptFailed event.
struct Dispatch {
  base::RequestId request;
  base::AttemptId attempt;
  base::TargetId target;
  /// Number of earlier attempts of this request.
  std::uint32_t retries = 0;
  base::Duration connect_timeout{0};
  base::Duration first_byte_timeout{0};
  base::Duration between_bytes_timeout{0};
  /// Time left until the request's deadline.
  base::Duration deadline{0};
  /// Opens a new connection instead of using a pooled one.
  bool fresh_connection = false;
};

/// @brief Returns an error to the caller and ends the request.
struct Refuse {
  base::RequestId request;
  base::Error error;
};

/// @brief Closes the connection of a running attempt, which then ends with AttemptFailed and
/// kCancelled.
struct CancelAttempt {
  base::AttemptId attempt;
};

/// @brief Closes the idle pooled connections to a target's address.
struct CloseIdle {
  base::TargetId target;
  std::string address;
  std::uint32_t port = 0;
};

/// @brief Checks the health of a target on a new connection. The result comes back as
/// ProbeFinished.
struct Probe {
  base::TargetId target;
};

/// @brief Tells the other instances that a request crashed a target (schema::PoisonReport).
struct BroadcastPoisonReport {
  base::WorkspaceId workspace;
  std::uint64_t fingerprint = 0;
  base::TargetId target;
};

/// @brief Tells the other instances that a connection to a target timed out, or that the target is
/// leaving (schema::TargetSuspect).
struct BroadcastTargetSuspect {
  base::TargetId target;
  bool leaving = false;
};

using Decision = std::variant<Dispatch, Refuse, CancelAttempt, CloseIdle, Probe,
                              BroadcastPoisonReport, BroadcastTargetSuspect>;

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_ROUTING_DECISIONS_HPP_
