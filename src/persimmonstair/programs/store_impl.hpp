#ifndef PERSIMMONSTAIR_PROGRAMS_STORE_IMPL_HPP_
#define PERSIMMONSTAIR_PROGRAMS_STORE_IMPL_HPP_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "conversation.hpp"
#include "machines.hpp"
#include "outbox.hpp"
#include "persimmonstair/programs/program_store.hpp"
#include "state_json.hpp"

namespace persimmonstair::programs {

/// The turn of a program that waits for an engine or runs on one.
struct RunningTurn {
  base::RequestId request;
  std::uint32_t turn = 0;
  std::uint64_t fingerprint = 0;
  std::string new_messages;
  std::int64_t reserved = 0;
  /// Tokens charged in addition for attempts of this turn that former owners may have run.
  std::int64_t lost_tokens = 0;
  TurnMachine machine;
  std::vector<base::RequestId> waiters;
};

/// A turn whose result is not in the log yet.
struct PendingTurn {
  schema::TurnRecord record;
  base::TimePoint since;
  std::optional<base::TimePoint> copied_at;
  std::set<base::InstanceId> copies;
  bool acknowledged = false;
  std::string durability;
  TurnMachine machine;
  std::vector<base::RequestId> waiters;
};

/// @brief State of a store. The member functions are in store_*.cpp, grouped by topic.
struct ProgramStore::Impl {
  using Waiters = std::vector<base::RequestId>;

  struct Program {
    explicit Program(ProgramPhase start) : lifecycle(start) {}

    base::ProgramId id;
    base::WorkspaceId workspace;
    base::ProgramId root;
    base::ModelId model;
    ProgramMachine lifecycle;
    /// Finished turns; the last pending.size() of them are not in the log.
    std::vector<RecordedTurn> turns;
    std::deque<PendingTurn> pending;
    std::optional<RunningTurn> running;
    /// Engine whose memory holds the program's earlier messages; empty for none.
    base::TargetId resident;
    /// Unplanned changes of owner since the newest turn; each may have lost a running turn.
    std::uint32_t lost_turns = 0;
    /// Tokens charged for all finished turns.
    std::int64_t charged = 0;
    base::TimePoint active_at;
    bool tool_pause = false;
    base::TimePoint snapshot_at;
    std::size_t snapshot_turns = 0;
    base::RecordId snapshot_id;
    /// For kOpening: waiting requests, id of the ProgramOpened record, and when it was sent.
    Waiters open_waiters;
    base::RecordId opening_record;
    base::TimePoint opened_at;
    /// For kLoading: offset of the record to read next, and the turns read so far, newest first.
    base::Offset fetch;
    bool fetching = false;
    std::vector<RecordedTurn> loaded_turns;
    base::TimePoint loaded_at;
  };

  /// A transfer of a tree that the receiver has not acknowledged.
  struct Handover {
    base::InstanceId to;
    base::Epoch epoch;
    std::string state;
    base::TimePoint sent_at;
  };

  /// A tree that this instance handed over and whose new OwnerRecord was not read yet.
  struct HandedOverTree {
    base::Epoch epoch;
    base::TimePoint since;
  };

  /// A copy of a turn that its owner could not write to the log yet.
  struct Copy {
    schema::ReplicateTurn message;
    schema::TurnRecord record;
  };

  explicit Impl(ProgramOptions given)
      : options(std::move(given)), index(options.checks), outbox(options) {}

  // store_impl.cpp: state that all parts use.
  /// Requires new reads of the log after a long gap between two calls.
  void DetectPause(const base::Now& now);
  Program* Find(const base::ProgramId& program);
  /// Returns the program if it belongs to the workspace and this instance may use it now, else an
  /// error.
  base::Result<Program*> FindActive(const base::ProgramId& program,
                                    const base::WorkspaceId& workspace);
  Program* FindRunning(base::RequestId request);
  bool OwnsTree(const base::ProgramId& root) const;
  base::Epoch EpochOf(const Program& program) const;
  /// Tokens of the tree's budget that are neither charged nor reserved.
  std::int64_t FreeBudget(const Program& program) const;
  ProgramState StateOf(const Program& program, bool with_pending) const;
  Program& Add(Program program);
  void Remove(const base::ProgramId& program);
  static void Refuse(const Waiters& waiters, const base::Error& error, ProgramActions& out);
  /// Programs of the tree that this instance holds.
  std::vector<Program*> ProgramsInTree(const base::ProgramId& root);

  // store_calls.cpp: opening, ending and expiry of programs.
  void Open(const base::Now& now, const OpenCall& call, ProgramActions& out);
  void OnOpenedRead(const base::Now& now, base::Offset offset, const schema::ProgramOpened& record,
                    bool valid, ProgramActions& out);
  void ExpireOpening(const base::Now& now, ProgramActions& out);
  void End(const base::Now& now, Program& program, const std::string& reason, ProgramActions& out);
  bool HasUnfinishedTurns(const base::ProgramId& root);
  void StartRelease(const base::ProgramId& program, const base::TargetId& resident);
  void DropEnded(const base::ProgramId& program, ProgramActions& out);
  void OnEndedRead(const schema::ProgramEnded& record, ProgramActions& out);
  void RepeatEnd(const base::Now& now, const schema::ProgramEnded& record, bool valid,
                 ProgramActions& out);
  void ExpireIdle(const base::Now& now, ProgramActions& out);

  // store_turns.cpp: turns, from the call to the result.
  void Turn(const base::Now& now, const TurnCall& call, ProgramActions& out);
  bool JoinOrReplay(Program& program, const TurnCall& call, std::uint64_t fingerprint,
                    ProgramActions& out);
  void Replay(Program& program, std::uint32_t turn, base::RequestId request, ProgramActions& out);
  void Start(const base::Now& now, Program& program, const TurnCall& call,
             std::uint64_t fingerprint, ProgramActions& out);
  /// Refuses the waiting callers of a turn that was not run; its number can be used again.
  void FailNotRun(Program& program, base::Error error, ProgramActions& out);
  void Finish(const base::Now& now, Program& program, const TurnResult& result,
              base::Verdict verdict, ProgramActions& out);

  // store_pending.cpp: results of turns until they are in the log, and copies of them.
  void AddPending(const base::Now& now, Program& program, schema::TurnRecord record,
                  Waiters waiters, ProgramActions& out);
  void SendFirstPending(const base::Now& now, Program& program, ProgramActions& out);
  void OnTurnRead(const base::Now& now, const schema::TurnRecord& record, bool valid,
                  ProgramActions& out);
  void Acknowledge(Program& program, PendingTurn& turn, const std::string& durability,
                   ProgramActions& out);
  void Replicate(const base::Now& now, ProgramActions& out);
  void OnReplicated(const base::Now& now, const base::RecordId& id, const base::InstanceId& peer,
                    ProgramActions& out);
  void StoreCopy(const base::Now& now, const base::InstanceId& from,
                 const schema::ReplicateTurn& message, ProgramActions& out);
  void DropCopies(const base::ProgramId& program, std::uint32_t up_to_turn);
  void RecoverCopiedTurns(const base::Now& now, Program& program, ProgramActions& out);
  void SendCopiesToOwner(const base::ProgramId& root, ProgramActions& out);

  // store_takeover.cpp: unplanned change of owner.
  void TakeOver(const base::Now& now, const base::ProgramId& program, ProgramActions& out);
  void ClaimTree(const base::Now& now, const base::ProgramId& root, bool planned,
                 ProgramActions& out);
  void OnOwnerRead(const base::Now& now, const schema::OwnerRecord& record, bool valid,
                   ProgramActions& out);
  void DropLostProgram(Program& program, ProgramActions& out);
  void FetchChains(ProgramActions& out);
  void OnFetched(const base::Now& now, bool failed,
                 const std::vector<std::pair<base::Offset, schema::Record>>& records,
                 ProgramActions& out);
  bool ApplyChainRecord(Program& program, const schema::Record& record);
  void FinishLoading(const base::Now& now, Program& program);
  void FinishCollecting(const base::Now& now, ProgramActions& out);
  void ConfirmReceived(const base::Now& now, ProgramActions& out);

  // store_handover.cpp: planned change of owner.
  void HandOver(const base::Now& now, const base::ProgramId& program, const base::InstanceId& to,
                ProgramActions& out);
  void SendHandover(const base::Now& now, const base::ProgramId& root, ProgramActions& out);
  void RepeatHandovers(const base::Now& now, ProgramActions& out);
  void OnHandover(const base::Now& now, const base::InstanceId& from,
                  const schema::ProgramHandover& message, ProgramActions& out);
  void AddReceivedProgram(const base::Now& now, ProgramState state, const base::ProgramId& id,
                          ProgramActions& out);
  void ReclaimUnconfirmed(const base::Now& now, ProgramActions& out);
  void OnHandoverAck(const base::ProgramId& root, ProgramActions& out);

  // store_memory.cpp: engine memory and snapshots.
  void RepeatReleases(const base::Now& now, ProgramActions& out);
  void OnEngineReport(const base::Now& now, const base::TargetId& target,
                      const std::vector<base::ProgramId>& held);
  bool MayHoldMemory(const base::ProgramId& program, const base::TargetId& target);
  void WriteSnapshots(const base::Now& now, ProgramActions& out);

  ProgramOptions options;
  ProgramIndex index;
  Outbox outbox;
  std::map<base::ProgramId, Program> programs;
  /// Programs of `programs` by root.
  std::map<base::ProgramId, std::set<base::ProgramId>> by_root;
  /// Programs with turns that are not in the log; may contain programs that have none any more.
  std::set<base::ProgramId> unlogged;
  /// Programs in kLoading or kCollecting; may contain programs in other phases.
  std::set<base::ProgramId> loading;
  /// Programs with a running turn, by the request that started it.
  std::map<base::RequestId, base::ProgramId> running;
  /// Ids of the OwnerRecords that this instance sent, by root.
  std::map<base::ProgramId, base::RecordId> claims;
  /// Unacknowledged handovers, by root.
  std::map<base::ProgramId, Handover> handovers;
  /// Trees handed over, by root. This instance must not act for a tree while its epoch is the
  /// stored one.
  std::map<base::ProgramId, HandedOverTree> handed_over;
  /// Trees received in a handover whose OwnerRecord was not read yet: the sender's epoch, by root.
  std::map<base::ProgramId, base::Epoch> received;
  /// Copies of turns of other owners, by program and record id.
  std::map<std::pair<base::ProgramId, base::RecordId>, Copy> copies;
  using Residency = std::pair<base::ProgramId, base::TargetId>;
  /// Releases that the engine has not confirmed, with the time of the last request to it.
  std::map<Residency, std::optional<base::TimePoint>> releases;
  /// Memory that engines report for unknown programs, with the time of the first report.
  std::map<Residency, base::TimePoint> unknown_memory;
  std::optional<base::TimePoint> last_call;
  std::optional<base::TimePoint> last_scan;
  /// Number of reads to the end of the stream that are still required after a pause.
  int reads_needed = 0;
  bool log_up = false;
  /// True while a FetchRecords action is unanswered.
  bool fetch_in_flight = false;
  base::TimePoint log_up_since;
  bool lease_held = true;
};

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_STORE_IMPL_HPP_
