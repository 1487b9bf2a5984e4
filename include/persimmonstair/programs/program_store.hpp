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

/// Largest turn number of a program; ends an endless loop.
inline constexpr std::uint32_t kMaxTurns = 470;
/// A gap between two calls above this counts as a pause of the process.
inline constexpr std::chrono::seconds kPauseGap{2};

enum class AppendResult { kAppended, kNotAppended, kUnknown };

/// @brief Identity and times of a store.
struct ProgramOptions {
  base::InstanceId instance;
  base::Incarnation incarnation;
  /// A program without a turn for this long expires.
  base::Duration idle_limit = std::chrono::minutes{15};
  /// The same after a tool pause was announced.
  base::Duration tool_pause_limit = std::chrono::hours{1};
  /// Retention time of the log; snapshots are written before half of it has passed.
  base::Duration retention = std::chrono::hours{24};
  /// Turns after which a snapshot shortens the chain that a new owner reads.
  std::uint32_t snapshot_turns = 64;
  /// Time between repetitions of records, releases and handovers that were not confirmed.
  base::Duration repeat_interval = std::chrono::milliseconds{500};
  /// Wait for the log before a finished turn is copied to peers instead.
  base::Duration log_wait = std::chrono::seconds{1};
  /// Wait for copies on peers before the caller is answered with fewer.
  base::Duration copy_wait = std::chrono::milliseconds{300};
  /// Copies on peers that are enough to answer at once.
  std::uint32_t copies_wanted = 2;
  /// Wait for peers' copies of unlogged turns after a takeover.
  base::Duration copy_grace = std::chrono::seconds{2};
  /// Wait before memory that an engine reports for an unknown program is released.
  base::Duration release_grace = std::chrono::seconds{30};
  /// Wait for the record that opens a program.
  base::Duration open_limit = std::chrono::seconds{5};
  /// Wait, with the log readable, for the record that confirms a handover.
  base::Duration confirm_limit = std::chrono::seconds{30};
  /// Copies of other owners' turns held for peers.
  std::size_t max_copies = 4096;
  IndexChecks checks{};
};

/// @brief A caller opens a program. A repeated call with the same id is answered alike.
struct OpenCall {
  base::RequestId request;
  base::ProgramId program;
  base::WorkspaceId workspace;
  /// Parent whose budget is shared; empty for none.
  base::ProgramId parent;
  base::ModelId model;
  std::int64_t budget_tokens = 0;
};

/// @brief A caller sends a turn.
struct TurnCall {
  base::RequestId request;
  base::ProgramId program;
  base::WorkspaceId workspace;
  /// Number of the turn; 0 means the next one.
  std::uint32_t turn = 0;
  /// Chat completion body: the new messages, or the whole conversation if it contains a message
  /// with the role "assistant".
  std::string body;
  /// Completion bound when the body states none.
  std::int64_t default_max_tokens = 0;
};

/// @brief What an engine answered.
struct TurnResult {
  base::TargetId target;
  std::uint32_t status = 0;
  /// Chat completion object.
  std::string body;
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
};

/// @brief The programs one instance owns: history, turn order, budget and engine memory.
///
/// Records of the `programs` stream are passed in offset order, followed by OnReadEnd().
///
///     for (auto& action : store.Turn(now, call)) Perform(action);
class ProgramStore {
 public:
  /// Defined in the library's sources.
  struct Impl;

  explicit ProgramStore(ProgramOptions options);
  ProgramStore(ProgramStore&&) noexcept;
  ProgramStore& operator=(ProgramStore&&) noexcept;
  ~ProgramStore();

  ProgramActions Open(const base::Now& now, const OpenCall& call);
  ProgramActions Turn(const base::Now& now, const TurnCall& call);
  ProgramActions End(const base::Now& now, base::RequestId request, const base::ProgramId& program,
                     const base::WorkspaceId& workspace);
  /// A tool runs outside: the longer idle limit applies until the next turn.
  ProgramActions Pause(const base::Now& now, base::RequestId request,
                       const base::ProgramId& program, const base::WorkspaceId& workspace);
  /// Turns, budget and history of an owned program as JSON text.
  base::Result<std::string> Read(const base::ProgramId& program,
                                 const base::WorkspaceId& workspace) const;
  /// The caller of `request` is gone: the turn runs on, and only the answer is dropped.
  void Forget(base::RequestId request);

  ProgramActions OnRecord(const base::Now& now, base::Offset offset, const schema::Record& record);
  ProgramActions OnReadEnd(const base::Now& now, base::Offset oldest, bool at_end);
  ProgramActions OnReadFailed(const base::Now& now);
  ProgramActions OnAppendResult(const base::Now& now, const base::RecordId& id,
                                AppendResult result);
  /// Fetched records; those that are missing are no longer retained.
  ProgramActions OnFetched(const base::Now& now, bool failed,
                           const std::vector<std::pair<base::Offset, schema::Record>>& records);

  /// Permission to send the turn to an engine now. After false the caller got a refusal.
  bool ConfirmDispatch(const base::Now& now, base::RequestId request, ProgramActions& actions);
  /// The turn will not be dispatched; the verdict of `error` must be kNotRun.
  ProgramActions Withdraw(const base::Now& now, base::RequestId request, base::Error error);
  ProgramActions OnTurnDone(const base::Now& now, base::RequestId request,
                            const TurnResult& result);
  /// kNotRun frees the turn number; other verdicts are recorded and charged in full.
  ProgramActions OnTurnFailed(const base::Now& now, base::RequestId request,
                              const base::Error& error);

  /// The engine confirmed that it holds nothing of the program.
  void OnReleased(const base::ProgramId& program, const base::TargetId& target);
  /// Programs whose memory an engine holds; called by the holder of the data centre's order lease.
  ProgramActions OnEngineReport(const base::Now& now, const base::TargetId& target,
                                const std::vector<base::ProgramId>& held);

  /// False while this instance's lease has lapsed: no turn is dispatched or acknowledged.
  ProgramActions SetLeaseHeld(const base::Now& now, bool held);
  /// Takes over the program's whole family; its owner's lease must have ended.
  ProgramActions TakeOver(const base::Now& now, const base::ProgramId& program);
  /// Gives an idle program's family to another instance; repeated until acknowledged.
  ProgramActions HandOver(const base::Now& now, const base::ProgramId& program,
                          const base::InstanceId& to);
  ProgramActions OnPeer(const base::Now& now, const base::InstanceId& from,
                        const schema::PeerMessage& message);
  /// A peer holds a copy of the record.
  ProgramActions OnReplicated(const base::Now& now, const base::RecordId& id,
                              const base::InstanceId& peer);

  ProgramActions OnTick(const base::Now& now);

  const ProgramIndex& Index() const;
  /// Replaces the index by a peer's, for a start during a log outage.
  base::Result<void> RestoreIndex(std::string_view snapshot);
  /// True if this instance may answer turns of the program now.
  bool Owns(const base::ProgramId& program) const;
  /// Owned programs, releases and copies that are not settled; zero lets a planned stop end.
  std::size_t Unsettled() const;
  /// Estimated heap bytes of owned programs, their history included.
  std::size_t Bytes() const;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_PROGRAM_STORE_HPP_
