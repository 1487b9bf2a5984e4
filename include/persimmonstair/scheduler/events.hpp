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

/// Operation that a caller or operator requests.
enum class CallKind : std::uint32_t {
  kOpenProgram,      // POST /v1/programs
  kTurn,             // POST /v1/programs/{id}/chat/completions
  kEndProgram,       // DELETE /v1/programs/{id}
  kReadProgram,      // GET /v1/programs/{id}
  kToolPause,        // POST /v1/programs/{id}/pause: a tool runs outside; extends the idle limit
  kServiceCall,      // any method on /v1/services/{route}
  kReadCatalogue,    // GET /v1/catalogue
  kChangeCatalogue,  // POST /v1/catalogue/changes
  kReadHistory,      // GET /v1/catalogue/history
};

/// SHA-256 of the key that a caller presented.
using KeyDigest = std::array<std::uint8_t, 32>;

/// @brief A request that the network layer received and parsed.
struct CallerRequest {
  base::RequestId request;
  CallKind kind = CallKind::kTurn;
  /// Empty if the caller presented no key.
  std::optional<KeyDigest> key;
  base::RouteId route;
  base::ProgramId program;
  /// Parent of a new program; empty for none.
  base::ProgramId parent;
  /// Turn number given by the caller; 0 means the next one.
  std::uint32_t turn = 0;
  std::string idempotency_key;
  base::ModelId model;
  std::string method;
  std::string body;
  bool stream = false;
  /// Time left until the caller stops waiting; zero means the default of the call kind.
  base::Duration deadline{0};
  /// Token budget of a new program; 0 means the workspace's default.
  std::int64_t budget_tokens = 0;
};

/// @brief The caller closed its connection.
struct CallerGone {
  base::RequestId request;
};

/// @brief The first byte of a target's response arrived.
struct TargetFirstByte {
  base::AttemptId attempt;
};

/// @brief A target's response is complete.
struct TargetDone {
  base::AttemptId attempt;
  /// HTTP status.
  std::uint32_t status = 0;
  /// Complete body. For a stream, a chat completion object assembled from all chunks.
  std::string body;
  std::int64_t prompt_tokens = 0;
  /// Prompt tokens that the engine had in its prefix cache.
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
  /// The target reported that it is leaving.
  bool leaving = false;
};

/// Reason why an attempt ended without a complete response.
enum class FailureKind {
  kConnectRefused,    // no byte of the request was sent
  kConnectTimeout,    // no byte of the request was sent
  kConnectionClosed,  // after the first byte was sent: the target may have crashed
  kFirstByteTimeout,
  kBetweenBytesTimeout,
  kMalformedAnswer,
  kCancelled,  // by a CancelAttempt action of this instance
};

/// @brief An attempt ended without a complete response.
struct TargetFailed {
  base::AttemptId attempt;
  FailureKind kind = FailureKind::kConnectRefused;
  /// kNotRun only if no byte of the request was written to the socket.
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  /// Part of the stream was already sent to the caller.
  bool partly_relayed = false;
};

/// @brief Load reported by a target. It may be out of date when it is used.
struct TargetReport {
  base::TargetId target;
  /// Requests that the target is running, and requests in its own queue.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t cache_used_tokens = 0;
  std::uint64_t cache_total_tokens = 0;
  bool leaving = false;
  /// Programs whose memory the engine holds; absent if the report does not list them.
  std::optional<std::vector<base::ProgramId>> held;
};

/// @brief One record of a stream, not yet decoded.
struct LogEntry {
  base::Offset offset;
  std::string body;
};

/// @brief Records read from a stream, in offset order, starting at `from`.
struct LogRead {
  base::StreamName stream;
  base::Offset from;
  std::vector<LogEntry> entries;
  /// Offset of the next read. It skips offsets whose records are no longer retained.
  base::Offset next;
  /// Oldest retained offset and its append time.
  base::Offset oldest;
  base::WallTime oldest_at;
  /// True when the read reached the end of the stream.
  bool at_end = false;
};

/// @brief A read of a stream failed because the log cannot be reached.
struct LogReadFailed {
  base::StreamName stream;
};

enum class AppendOutcome { kAppended, kNotAppended, kUnknown };

/// @brief Result of an Append action. After kUnknown the records may or may not be in the log.
struct AppendDone {
  base::AppendId append;
  AppendOutcome outcome = AppendOutcome::kUnknown;
  /// Offset of the first record if the records were appended; the others follow without gaps.
  base::Offset first;
};

/// @brief Result of a FetchRecords action. Records that are no longer retained are missing.
struct RecordsFetched {
  base::StreamName stream;
  std::vector<LogEntry> entries;
  /// The log could not be read.
  bool failed = false;
};

/// @brief An entry of the platform's instance list.
struct ListedInstance {
  base::InstanceId instance;
  base::DataCentreId data_centre;
  bool leaving = false;
};

/// @brief Contents of the platform's instance list, which may be out of date.
struct InstanceListRead {
  std::vector<ListedInstance> instances;
  /// Targets that are leaving according to the list.
  std::vector<base::TargetId> leaving_targets;
};

/// @brief An authenticated message from another instance.
struct PeerReceived {
  base::InstanceId from;
  base::Incarnation incarnation;
  schema::PeerMessage message;
  /// For a ForwardedRequest: id that this instance uses for the request and its Reply.
  base::RequestId request;
};

/// @brief A reliable message could not be delivered. `sent` is true if any byte may have been sent.
struct PeerSendFailed {
  base::InstanceId to;
  schema::PeerMessage message;
  bool sent = false;
};

/// @brief Periodic timer event, sent at least every 100 ms.
struct Tick {};

/// @brief An operator or SIGTERM requested a planned stop.
struct StopRequested {};

using Event = std::variant<CallerRequest, CallerGone, TargetFirstByte, TargetDone, TargetFailed,
                           TargetReport, LogRead, LogReadFailed, AppendDone, RecordsFetched,
                           InstanceListRead, PeerReceived, PeerSendFailed, Tick, StopRequested>;

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_EVENTS_HPP_
