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

/// @brief An admitted request asks for a target. Exactly one of `model` and `route` is set. The id
/// is never reused; a repeat while the request lives is ignored.
struct RequestQueued {
  base::RequestId request;
  base::WorkspaceId workspace;
  /// Program whose turn this is; empty for a call outside programs.
  base::ProgramId program;
  /// Topmost ancestor of `program`; empty if it is the program itself. Attained service is counted
  /// for the whole tree, because only the latency of the whole program matters.
  base::ProgramId root;
  base::ModelId model;
  base::RouteId route;
  std::int64_t prompt_tokens = 0;
  /// Engine that ran the previous turn, and the tokens of this prompt that it holds.
  base::TargetId last_target;
  std::int64_t held_tokens = 0;
  std::int64_t expected_completion_tokens = 0;
  /// Time left until the caller gives up; zero means Settings::default_deadline.
  base::Duration deadline{0};
  bool idempotent = true;
  /// Hash of workspace-visible content; equal for a request that is sent again.
  std::uint64_t fingerprint = 0;
};

/// @brief The caller no longer wants the response.
struct RequestCancelled {
  base::RequestId request;
};

/// @brief A byte of the attempt may have left the process.
struct AttemptStarted {
  base::AttemptId attempt;
};

struct AttemptFirstByte {
  base::AttemptId attempt;
};

/// @brief The complete response arrived. Ends the request.
struct AttemptFinished {
  base::AttemptId attempt;
  std::int64_t prompt_tokens = 0;
  /// Part of the prompt that the engine did not prefill again.
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
  /// The target said that it is leaving.
  bool leaving = false;
};

/// @brief Same meaning and order as scheduler::FailureKind.
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
  /// kNotRun only if no byte was handed to the socket, or the target stated that it did not run.
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  /// Bytes of the response already went to the caller.
  bool partly_relayed = false;
  /// The target refused because it is leaving (503 with `leaving`).
  bool leaving = false;
};

/// @brief Load as the target measured it `age` ago.
struct TargetReported {
  base::TargetId target;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  bool leaving = false;
  base::Duration age{0};
};

/// @brief Content of another instance's heartbeat.
struct PeerLoad {
  base::InstanceId instance;
  std::map<base::TargetId, std::uint32_t> in_flight;
  /// Engine time received since the peer's start, in microseconds.
  std::map<base::WorkspaceId, std::uint64_t> attained_us;
};

/// @brief Membership declared another instance dead; its attempts no longer count.
struct PeerGone {
  base::InstanceId instance;
};

/// @brief Another instance's request crashed a target.
struct PeerPoisonReport {
  base::WorkspaceId workspace;
  std::uint64_t fingerprint = 0;
  base::TargetId target;
};

/// @brief Another instance met a silent connection to a target, or its leaving.
struct PeerTargetSuspect {
  base::TargetId target;
  bool leaving = false;
};

/// @brief Targets and workspaces of the catalogue version now in force.
struct CatalogueApplied {
  std::vector<catalogue::Target> targets;
  std::map<base::WorkspaceId, double> weights;
};

/// @brief Targets that the platform's instance list states as leaving; replaces the previous set.
struct InstanceListApplied {
  std::set<base::TargetId> leaving;
};

/// @brief Whether targets of a data centre can be reached from this one.
struct DataCentreReachability {
  base::DataCentreId data_centre;
  bool reachable = true;
};

/// @brief Result of a Probe decision.
struct ProbeFinished {
  base::TargetId target;
  bool healthy = false;
};

/// @brief Time passed; send at least every 100 ms.
struct Tick {};

using Event = std::variant<RequestQueued, RequestCancelled, AttemptStarted, AttemptFirstByte,
                           AttemptFinished, AttemptFailed, TargetReported, PeerLoad, PeerGone,
                           PeerPoisonReport, PeerTargetSuspect, CatalogueApplied,
                           InstanceListApplied, DataCentreReachability, ProbeFinished, Tick>;

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_ROUTING_EVENTS_HPP_
