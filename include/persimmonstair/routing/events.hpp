#ifndef PERSIMMONSTAIR_ROUTING_EVENTS_HPP_
#define PERSIMMONSTAIR_ROUTING_EVENTS_HPP_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/base/verdict.hpp"
#include "persimmonstair/catalogue/entries.hpp"

namespace persimmonstair::routing {

/// @brief An admitted request needs a target. Exactly one of `model` and `route` is set. Ids are
/// never reused; a second event with the id of a request that has not ended is ignored.
struct RequestQueued {
  base::RequestId request;
  base::WorkspaceId workspace;
  /// Program that the request belongs to; empty if it belongs to none.
  base::ProgramId program;
  /// Topmost ancestor of `program`; empty if `program` has no parent. Attained service is summed
  /// over the whole tree of programs, because only the latency of the whole tree matters.
  base::ProgramId root;
  base::ModelId model;
  base::RouteId route;
  std::int64_t prompt_tokens = 0;
  /// Engine that ran the previous turn, and the number of tokens of this prompt in its cache.
  base::TargetId last_target;
  std::int64_t held_tokens = 0;
  std::int64_t expected_completion_tokens = 0;
  /// Time left until the deadline; zero means Settings::default_deadline.
  base::Duration deadline{0};
  bool idempotent = true;
  /// Hash of the content that the workspace sees. A request that is sent again has the same value.
  std::uint64_t fingerprint = 0;
};

/// @brief The caller no longer needs the response.
struct RequestCancelled {
  base::RequestId request;
};

/// @brief Bytes of the attempt may have been sent.
struct AttemptStarted {
  base::AttemptId attempt;
};

struct AttemptFirstByte {
  base::AttemptId attempt;
};

/// @brief The complete response arrived, which ends the request.
struct AttemptFinished {
  base::AttemptId attempt;
  std::int64_t prompt_tokens = 0;
  /// Prompt tokens that the engine took from its cache instead of prefilling them.
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
  /// The target stated that it is leaving.
  bool leaving = false;
};

/// @brief Has the same values in the same order as scheduler::FailureKind, because the scheduler
/// casts one to the other.
enum class FailureKind {
  kConnectRefused,
  kConnectTimeout,
  kConnectionClosed,
  kFirstByteTimeout,
  kBetweenBytesTimeout,
  kMalformedAnswer,
  kCancelled,
};

/// @brief An attempt ended without a complete response.
struct AttemptFailed {
  base::AttemptId attempt;
  FailureKind kind = FailureKind::kConnectRefused;
  /// kNotRun only if no byte was written to the socket, or if the target stated that it did not run
  /// the request.
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  /// Part of the response was already sent to the caller.
  bool partly_relayed = false;
  /// The target refused the request because it is leaving (503 with `leaving`).
  bool leaving = false;
};

/// @brief Load that the target measured `age` ago.
struct TargetReported {
  base::TargetId target;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  bool leaving = false;
  base::Duration age{0};
};

/// @brief Load from another instance's heartbeat.
struct PeerLoad {
  base::InstanceId instance;
  std::map<base::TargetId, std::uint32_t> in_flight;
  /// Engine time that each workspace has received from the peer since the peer's start, in
  /// microseconds.
  std::map<base::WorkspaceId, std::uint64_t> attained_us;
};

/// @brief Membership declared another instance dead. Its attempts are no longer counted.
struct PeerGone {
  base::InstanceId instance;
};

/// @brief Another instance reports that one of its requests crashed a target.
struct PeerPoisonReport {
  base::WorkspaceId workspace;
  std::uint64_t fingerprint = 0;
  base::TargetId target;
};

/// @brief Another instance reports that a connection to a target timed out, or that the target is
/// leaving.
struct PeerTargetSuspect {
  base::TargetId target;
  bool leaving = false;
};

/// @brief All targets, and the weights of workspaces, in the current catalogue version.
struct CatalogueApplied {
  std::vector<catalogue::Target> targets;
  std::map<base::WorkspaceId, double> weights;
};

/// @brief Targets that are leaving according to the platform's instance list. Replaces the previous
/// set.
struct InstanceListApplied {
  std::set<base::TargetId> leaving;
};

/// @brief States whether the targets of a data centre can be reached from this instance's data
/// centre.
struct DataCentreReachability {
  base::DataCentreId data_centre;
  bool reachable = true;
};

/// @brief Result of a Probe decision.
struct ProbeFinished {
  base::TargetId target;
  bool healthy = false;
};

/// @brief Advances the time. Must be sent at least every 100 ms.
struct Tick {};

using Event = std::variant<RequestQueued, RequestCancelled, AttemptStarted, AttemptFirstByte,
                           AttemptFinished, AttemptFailed, TargetReported, PeerLoad, PeerGone,
                           PeerPoisonReport, PeerTargetSuspect, CatalogueApplied,
                           InstanceListApplied, DataCentreReachability, ProbeFinished, Tick>;

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_ROUTING_EVENTS_HPP_
