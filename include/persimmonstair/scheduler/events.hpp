#ifndef PERSIMMONSTAIR_SCHEDULER_EVENTS_HPP_
#define PERSIMMONSTAIR_SCHEDULER_EVENTS_HPP_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/base/verdict.hpp"
#include "persimmonstair/schema/peer.hpp"

namespace persimmonstair::scheduler {

/// What a caller or operator asks for.
enum class CallKind : std::uint32_t {
  kOpenProgram,      // POST /v1/programs
  kTurn,             // POST /v1/programs/{id}/chat/completions
  kEndProgram,       // DELETE /v1/programs/{id}
  kReadProgram,      // GET /v1/programs/{id}
  kToolPause,        // POST /v1/programs/{id}/pause: a tool runs outside; prolongs the idle limit
  kServiceCall,      // any method on /v1/services/{route}
  kReadCatalogue,    // GET /v1/catalogue
  kChangeCatalogue,  // POST /v1/catalogue/changes
  kReadHistory,      // GET /v1/catalogue/history
};

/// SHA-256 of a presented key.
using KeyDigest = std::array<std::uint8_t, 32>;

/// @brief A request as the net layer read it.
struct CallerRequest {
  base::RequestId request;
  CallKind kind = CallKind::kTurn;
  /// Empty when no key was presented.
  std::optional<KeyDigest> key;
  base::RouteId route;
  base::ProgramId program;
  /// Parent of a new program; empty for none.
  base::ProgramId parent;
  /// Turn number stated by the caller; 0 means the next one.
  std::uint32_t turn = 0;
  std::string idempotency_key;
  base::ModelId model;
  std::string method;
  std::string body;
  bool stream = false;
  /// Time left until the caller gives up; zero means the default of the call kind.
  base::Duration deadline{0};
  /// Token budget of a new program; 0 means the workspace's default.
  std::int64_t budget_tokens = 0;
};

/// @brief The caller closed its connection.
struct CallerGone {
  base::RequestId request;
};

/// @brief The target's answer began.
struct TargetFirstByte {
  base::AttemptId attempt;
};

/// @brief The target's answer is complete.
struct TargetDone {
  base::AttemptId attempt;
  std::uint32_t status = 0;
  /// Whole body; for a stream, the text assembled from all chunks as a chat completion object.
  std::string body;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
  /// The target said that it is leaving.
  bool leaving = false;
};

enum class FailureKind {
  kConnectRefused,    // nothing was sent
  kConnectTimeout,    // nothing was sent
  kConnectionClosed,  // after the first byte was sent: the target may have crashed
  kFirstByteTimeout,
  kBetweenBytesTimeout,
  kMalformedAnswer,
  kCancelled,
};

/// @brief An attempt ended without a whole answer.
struct TargetFailed {
  base::AttemptId attempt;
  FailureKind kind = FailureKind::kConnectRefused;
  /// kNotRun only if no byte was handed to the socket.
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  /// Bytes of a stream already went to the caller.
  bool partly_relayed = false;
};

/// @brief Load as a target reports it, with a lag.
struct TargetReport {
  base::TargetId target;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t cache_used_tokens = 0;
  std::uint64_t cache_total_tokens = 0;
  bool leaving = false;
  /// Programs whose memory the engine holds; absent if the report doesn't list them.
  std::optional<std::vector<base::ProgramId>> held;
};

struct LogEntry {
  base::Offset offset;
  std::string body;
};

/// @brief Records read from a stream, in offset order, beginning at `from`.
struct LogRead {
  base::StreamName stream;
  base::Offset from;
  std::vector<LogEntry> entries;
  /// Offset to read next. Offsets skip where records are no longer retained.
  base::Offset next;
  /// Oldest retained offset and its append time.
  base::Offset oldest;
  base::WallTime oldest_at;
  /// True when the read reached the end of the stream.
  bool at_end = false;
};

/// @brief A read failed; the log cannot be reached now.
struct LogReadFailed {
  base::StreamName stream;
};

enum class AppendOutcome { kAppended, kNotAppended, kUnknown };

/// @brief Result of an Append action. After kUnknown the records may be in the log.
struct AppendDone {
  base::AppendId append;
  AppendOutcome outcome = AppendOutcome::kUnknown;
  /// Offset of the first record when appended; the others follow it directly.
  base::Offset first;
};

/// @brief Records named by a FetchRecords action; those not retained any more are missing.
struct RecordsFetched {
  base::StreamName stream;
  std::vector<LogEntry> entries;
  bool failed = false;
};

struct ListedInstance {
  base::InstanceId instance;
  base::DataCentreId data_centre;
  bool leaving = false;
};

/// @brief The platform's instance list, which may lag.
struct InstanceListRead {
  std::vector<ListedInstance> instances;
  /// Targets the list says are leaving.
  std::vector<base::TargetId> leaving_targets;
};

/// @brief An authenticated message from another instance.
struct PeerReceived {
  base::InstanceId from;
  base::Incarnation incarnation;
  schema::PeerMessage message;
  /// For ForwardedRequest: the local id under which the reply is given.
  base::RequestId request;
};

/// @brief A reliable message could not be delivered. `sent` is true if any byte may have left.
struct PeerSendFailed {
  base::InstanceId to;
  schema::PeerMessage message;
  bool sent = false;
};

/// @brief Time passed; sent at least every 100 ms.
struct Tick {};

/// @brief The operator or SIGTERM asks for a planned stop.
struct StopRequested {};

using Event = std::variant<CallerRequest, CallerGone, TargetFirstByte, TargetDone, TargetFailed,
                           TargetReport, LogRead, LogReadFailed, AppendDone, RecordsFetched,
                           InstanceListRead, PeerReceived, PeerSendFailed, Tick, StopRequested>;

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_EVENTS_HPP_
