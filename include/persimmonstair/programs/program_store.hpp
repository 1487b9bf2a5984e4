#ifndef PERSIMMONSTAIR_PROGRAMS_PROGRAM_STORE_HPP_
#define PERSIMMONSTAIR_PROGRAMS_PROGRAM_STORE_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/programs/program_actions.hpp"
#include "persimmonstair/programs/program_index.hpp"

namespace persimmonstair::programs {

/// Largest turn number of a program, as given in the design page. It stops a caller that loops
/// endlessly: further turns are refused with kBudgetExhausted.
inline constexpr std::uint32_t kMaxTurns = 470;
/// If more time than this passes between two calls, the store assumes that the process was paused.
inline constexpr std::chrono::seconds kPauseGap{2};

enum class AppendResult { kAppended, kNotAppended, kUnknown };

/// @brief Identity, time limits and size limits of a store.
struct ProgramOptions {
  base::InstanceId instance;
  base::Incarnation incarnation;
  /// A program without a turn for this long expires.
  base::Duration idle_limit = std::chrono::minutes{15};
  /// Same limit while a tool pause is announced.
  base::Duration tool_pause_limit = std::chrono::hours{1};
  /// Retention time of the log. A snapshot of each program is written before half of it has passed.
  base::Duration retention = std::chrono::hours{24};
  /// Number of turns after which a snapshot is written, so that a new owner reads fewer records.
  std::uint32_t snapshot_turns = 64;
  /// Minimum time between repetitions of appends and handovers that were not confirmed.
  base::Duration repeat_interval = std::chrono::milliseconds{500};
  /// Time that a finished turn may wait for the log before it is copied to peers.
  base::Duration log_wait = std::chrono::seconds{1};
  /// Time after which the caller is answered with fewer than `copies_wanted` copies.
  base::Duration copy_wait = std::chrono::milliseconds{300};
  /// Number of copies on peers with which the caller is answered at once.
  std::uint32_t copies_wanted = 2;
  /// Time that a new owner waits after a takeover for peers to send copies of unlogged turns.
  base::Duration copy_grace = std::chrono::seconds{2};
  /// Time for which an engine must report memory of an unknown program before it is released.
  base::Duration release_grace = std::chrono::seconds{30};
  /// Time within which the record that opens a program must be read back from the log.
  base::Duration open_limit = std::chrono::seconds{5};
  /// Time, with the log readable, that this instance waits for the record that confirms a handover
  /// before it claims the programs back.
  base::Duration confirm_limit = std::chrono::seconds{30};
  /// Maximum number of copies of turns held for other instances.
  std::size_t max_copies = 4096;
  /// Tests switch off single checks; all are on otherwise.
  IndexChecks checks{};
};

/// @brief A call that opens a program. A repeated call with the same program id gets the same
/// answer.
struct OpenCall {
  base::RequestId request;
  base::ProgramId program;
  base::WorkspaceId workspace;
  /// Parent whose budget is shared; empty for none.
  base::ProgramId parent;
  base::ModelId model;
  std::int64_t budget_tokens = 0;
};

/// @brief A call that sends a turn.
struct TurnCall {
  base::RequestId request;
  base::ProgramId program;
  base::WorkspaceId workspace;
  /// Number of the turn; 0 means the next one.
  std::uint32_t turn = 0;
  /// Chat completion body: the new messages, or the whole conversation if it contains a message
  /// with the role "assistant".
  std::string body;
  /// Limit on completion tokens if the body contains none.
  std::int64_t default_max_tokens = 0;
};

/// @brief An engine's response to a turn.
struct TurnResult {
  base::TargetId target;
  std::uint32_t status = 0;
  /// Chat completion object.
  std::string body;
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
};

/// @brief Manages the programs that one instance owns: history, turn order, token budget and the
/// memory that engines hold for them.
///
/// The store does no input or output itself: each call returns the actions to perform. Records of
/// the `programs` stream are passed to OnRecord() in offset order, and OnReadEnd() follows each
/// read.
///
///     for (auto& action : store.Turn(now, call)) Perform(action);
class ProgramStore {
 public:
  /// Public because the library's source files refer to it by an alias.
  struct Impl;

  explicit ProgramStore(ProgramOptions options);
  ProgramStore(ProgramStore&&) noexcept;
  ProgramStore& operator=(ProgramStore&&) noexcept;
  ~ProgramStore();

  ProgramActions Open(const base::Now& now, const OpenCall& call);
  ProgramActions Turn(const base::Now& now, const TurnCall& call);
  ProgramActions End(const base::Now& now, base::RequestId request, const base::ProgramId& program,
                     const base::WorkspaceId& workspace);
  /// Announces that the caller runs a tool: `tool_pause_limit` applies until the next turn.
  ProgramActions Pause(const base::Now& now, base::RequestId request,
                       const base::ProgramId& program, const base::WorkspaceId& workspace);
  /// JSON text with the number of turns, the token budget and the messages of an owned program.
  /// Returns kNotFound if the workspace has no such program, and kOwnerUnavailable if this instance
  /// can't act as its owner now.
  base::Result<std::string> Read(const base::ProgramId& program,
                                 const base::WorkspaceId& workspace) const;
  /// Drops the answer to `request`, whose caller has disconnected. Its turn continues.
  void Forget(base::RequestId request);

  ProgramActions OnRecord(const base::Now& now, base::Offset offset, const schema::Record& record);
  /// A read has ended. `oldest` is the oldest retained offset; `at_end` tells whether the read
  /// reached the end of the stream.
  ProgramActions OnReadEnd(const base::Now& now, base::Offset oldest, bool at_end);
  ProgramActions OnReadFailed(const base::Now& now);
  ProgramActions OnAppendResult(const base::Now& now, const base::RecordId& id,
                                AppendResult result);
  /// Result of FetchRecords. Records that are no longer retained are missing from `records`; the
  /// store requests them again at the next tick.
  ProgramActions OnFetched(const base::Now& now, bool failed,
                           const std::vector<std::pair<base::Offset, schema::Record>>& records);

  /// Returns true if the turn of `request` may be sent to an engine now. If this instance may not
  /// run it, adds the refusals for its callers to `actions` and returns false.
  bool ConfirmDispatch(const base::Now& now, base::RequestId request, ProgramActions& actions);
  /// Refuses, with `error`, a turn that was not dispatched. The verdict of `error` must be kNotRun.
  ProgramActions Withdraw(const base::Now& now, base::RequestId request, base::Error error);
  ProgramActions OnTurnDone(const base::Now& now, base::RequestId request,
                            const TurnResult& result);
  /// After kNotRun the turn number can be used again. With any other verdict the failure is
  /// recorded and the full reservation is charged.
  ProgramActions OnTurnFailed(const base::Now& now, base::RequestId request,
                              const base::Error& error);

  /// The engine confirmed that it holds no memory of the program.
  void OnReleased(const base::ProgramId& program, const base::TargetId& target);
  /// Reports the programs whose memory an engine holds. Only the instance with the data centre's
  /// order lease calls this.
  ProgramActions OnEngineReport(const base::Now& now, const base::TargetId& target,
                                const std::vector<base::ProgramId>& held);

  /// Sets whether this instance holds a valid lease. Without one, turns are refused and not
  /// dispatched, and a result is acknowledged only when it is in the log.
  ProgramActions SetLeaseHeld(const base::Now& now, bool held);
  /// Claims the program's whole tree. The lease of its owner must have ended.
  ProgramActions TakeOver(const base::Now& now, const base::ProgramId& program);
  /// Transfers the program's tree, if it is idle, to another instance. The message is repeated
  /// until it is acknowledged.
  ProgramActions HandOver(const base::Now& now, const base::ProgramId& program,
                          const base::InstanceId& to);
  ProgramActions OnPeer(const base::Now& now, const base::InstanceId& from,
                        const schema::PeerMessage& message);
  /// A peer confirmed that it holds a copy of the record.
  ProgramActions OnReplicated(const base::Now& now, const base::RecordId& id,
                              const base::InstanceId& peer);

  ProgramActions OnTick(const base::Now& now);

  const ProgramIndex& Index() const;
  /// Replaces the index with a snapshot from a peer, for a start during a log outage. Returns
  /// kInvalidRequest for a malformed snapshot.
  base::Result<void> RestoreIndex(std::string_view snapshot);
  /// True if the program is active on this instance and this instance owns it.
  bool Owns(const base::ProgramId& program) const;
  /// Number of programs held here, of unconfirmed releases of engine memory and of records that
  /// were not read back from the log. A planned stop can finish when it is zero.
  std::size_t Unsettled() const;
  /// Estimated heap bytes of owned programs and their histories.
  std::size_t Bytes() const;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_PROGRAM_STORE_HPP_
