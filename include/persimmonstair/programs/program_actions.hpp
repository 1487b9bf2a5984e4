#ifndef PERSIMMONSTAIR_PROGRAMS_PROGRAM_ACTIONS_HPP_
#define PERSIMMONSTAIR_PROGRAMS_PROGRAM_ACTIONS_HPP_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/peer.hpp"
#include "persimmonstair/schema/records.hpp"

namespace persimmonstair::programs {

/// @brief Append `record` to the `programs` stream and report the result with OnAppendResult().
struct AppendRecord {
  base::RecordId id;
  schema::Record record;
};

/// @brief Read the records at these offsets of the `programs` stream; answered by OnFetched().
struct FetchRecords {
  std::vector<base::Offset> offsets;
};

/// @brief Choose an engine for the turn and call ConfirmDispatch() just before sending `body`.
struct RunTurn {
  base::RequestId request;
  base::ProgramId program;
  base::WorkspaceId workspace;
  base::ModelId model;
  std::uint32_t turn = 0;
  /// Chat completion body with the recorded history and the new messages.
  std::string body;
  /// Tokens reserved from the token budget until the turn is done.
  std::int64_t reserved_tokens = 0;
  /// Limit on completion tokens that `body` contains.
  std::int64_t max_tokens = 0;
  /// Engine whose memory holds the program's earlier messages; empty for none.
  base::TargetId resident;
  bool stream = false;
};

/// @brief Cancel the turn at the engine because the program has another owner or has ended.
struct CancelTurn {
  base::RequestId request;
};

/// @brief Send the result of the turn to the caller.
struct TurnAnswer {
  base::RequestId request;
  base::ProgramId program;
  std::uint32_t turn = 0;
  std::uint32_t status = 0;
  std::string body;
  base::Verdict verdict = base::Verdict::kRan;
  /// Where the result is stored: "log", "peers-<copies>" (on that many other instances) or "memory"
  /// (only on this instance).
  std::string durability;
  /// True if another request for the same turn produced the result.
  bool replayed = false;
};

/// @brief Tell the caller that the program is open; also the answer to a repeated call.
struct ProgramReady {
  base::RequestId request;
  base::ProgramId program;
};

/// @brief Tell the caller that the end or the tool pause of the program is accepted.
struct CallAccepted {
  base::RequestId request;
};

/// @brief Answer the caller with `error`.
struct ProgramRefusal {
  base::RequestId request;
  base::Error error;
};

/// @brief Tell the engine to release the program's memory; answered by OnReleased().
struct ReleaseMemory {
  base::ProgramId program;
  base::TargetId target;
};

/// @brief Copy a turn record to peers, preferably in another data centre; answered by
/// OnReplicated().
struct Replicate {
  schema::ReplicateTurn message;
};

/// @brief Tell the peers that hold the copy that they may delete it.
struct ReplicationDone {
  schema::ReplicateDone message;
};

/// @brief Send a message to one instance, reliably.
struct SendTo {
  base::InstanceId to;
  schema::PeerMessage message;
};

/// @brief Work that a ProgramStore asks its user to perform.
using ProgramAction =
    std::variant<AppendRecord, FetchRecords, RunTurn, CancelTurn, TurnAnswer, ProgramReady,
                 CallAccepted, ProgramRefusal, ReleaseMemory, Replicate, ReplicationDone, SendTo>;
using ProgramActions = std::vector<ProgramAction>;

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_PROGRAM_ACTIONS_HPP_
