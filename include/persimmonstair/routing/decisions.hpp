#ifndef PERSIMMONSTAIR_ROUTING_DECISIONS_HPP_
#define PERSIMMONSTAIR_ROUTING_DECISIONS_HPP_

#include <cstdint>
#include <string>
#include <variant>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::routing {

/// @brief Send a request to a target. Each attempt ends with AttemptFinished or AttemptFailed.
struct Dispatch {
  base::RequestId request;
  base::AttemptId attempt;
  base::TargetId target;
  /// Number of earlier attempts of this request.
  std::uint32_t retries = 0;
  base::Duration connect_timeout{0};
  base::Duration first_byte_timeout{0};
  base::Duration between_bytes_timeout{0};
  /// Time left to the request.
  base::Duration deadline{0};
  /// Do not use a pooled connection.
  bool fresh_connection = false;
};

/// @brief Answer the caller with an error; the request is over.
struct Refuse {
  base::RequestId request;
  base::Error error;
};

/// @brief Close the connection of a running attempt; AttemptFailed with kCancelled follows.
struct CancelAttempt {
  base::AttemptId attempt;
};

/// @brief Close idle pooled connections of a target's address.
struct CloseIdle {
  base::TargetId target;
  std::string address;
  std::uint32_t port = 0;
};

/// @brief Ask a suspect target for its health on a fresh connection; answer with ProbeFinished.
struct Probe {
  base::TargetId target;
};

/// @brief Tell the other instances that a request crashed a target (schema::PoisonReport).
struct BroadcastPoisonReport {
  base::WorkspaceId workspace;
  std::uint64_t fingerprint = 0;
  base::TargetId target;
};

/// @brief Tell the other instances of a silent connection or a leaving target
/// (schema::TargetSuspect).
struct BroadcastTargetSuspect {
  base::TargetId target;
  bool leaving = false;
};

using Decision = std::variant<Dispatch, Refuse, CancelAttempt, CloseIdle, Probe,
                              BroadcastPoisonReport, BroadcastTargetSuspect>;

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_ROUTING_DECISIONS_HPP_
