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

/// @brief Append this record to the `programs` stream and report by OnAppendResult().
struct AppendRecord {
  base::RecordId id;
  schema::Record record;
};

/// @brief Read these single records of the `programs` stream; answered by OnFetched().
struct FetchRecords {
  std::vector<base::Offset> offsets;
};

/// @brief Choose an engine and call ConfirmDispatch() just before sending `body`.
struct RunTurn {
  base::RequestId request;
  base::ProgramId program;
  base::WorkspaceId workspace;
  base::ModelId model;
  std::uint32_t turn = 0;
  /// Chat completion body with the recorded history and the new messages.
  std::string body;
  /// Tokens reserved from the budget.
  std::int64_t reserved_tokens = 0;
  /// Bound on the completion that `body` states.
  std::int64_t max_tokens = 0;
  /// Engine that holds the program's prefix; empty for none.
  base::TargetId resident;
  bool stream = false;
};

/// @brief Cancel the running attempt: the program has another owner or has ended.
struct CancelTurn {
  base::RequestId request;
};

/// @brief Give the caller the result of its turn.
struct TurnAnswer {
  base::RequestId request;
  base::ProgramId program;
  std::uint32_t turn = 0;
  std::uint32_t status = 0;
  std::string body;
  base::Verdict verdict = base::Verdict::kRan;
  /// "log", "peers-<copies>" or "memory".
  std::string durability;
  /// True if the result is the recorded one of an earlier request.
  bool replayed = false;
};

/// @brief The program is open (also the answer to a repeated call).
struct ProgramReady {
  base::RequestId request;
  base::ProgramId program;
};

/// @brief The end of the program, or its tool pause, is accepted.
struct CallAccepted {
  base::RequestId request;
};

/// @brief Give the caller this error.
struct ProgramRefusal {
  base::RequestId request;
  base::Error error;
};

/// @brief Order the engine to drop the program's memory; answered by OnReleased().
struct ReleaseMemory {
  base::ProgramId program;
  base::TargetId target;
};

/// @brief Copy a record to peers, best in another data centre; answered by OnReplicated().
struct Replicate {
  schema::ReplicateTurn message;
};

/// @brief Tell the peers that hold the copy that it may be dropped.
struct ReplicationDone {
  schema::ReplicateDone message;
};

/// @brief Send a message to one instance, reliably.
struct SendTo {
  base::InstanceId to;
  schema::PeerMessage message;
};

using ProgramAction =
    std::variant<AppendRecord, FetchRecords, RunTurn, CancelTurn, TurnAnswer, ProgramReady,
                 CallAccepted, ProgramRefusal, ReleaseMemory, Replicate, ReplicationDone, SendTo>;
using ProgramActions = std::vector<ProgramAction>;

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_PROGRAM_ACTIONS_HPP_
