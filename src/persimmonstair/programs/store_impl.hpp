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

/// The turn that an engine works on.
struct RunningTurn {
  base::RequestId request;
  std::uint32_t turn = 0;
  std::uint64_t fingerprint = 0;
  std::string new_messages;
  std::int64_t reserved = 0;
  /// Reservations of earlier attempts that a former owner may have run.
  std::int64_t lost_tokens = 0;
  TurnMachine machine;
  std::vector<base::RequestId> waiters;
};

/// A turn with a result that is not in the log yet.
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

/// @brief State of a store. The functions are in store_*.cpp, grouped by duty.
struct ProgramStore::Impl {
  using Waiters = std::vector<base::RequestId>;

  struct Program {
    explicit Program(ProgramPhase start) : lifecycle(start) {}

    base::ProgramId id;
    base::WorkspaceId workspace;
    base::ProgramId root;
    base::ModelId model;
    ProgramMachine lifecycle;
    /// Done turns; the last pending.size() of them are not in the log.
    std::vector<RecordedTurn> turns;
    std::deque<PendingTurn> pending;
    std::optional<RunningTurn> running;
    base::TargetId resident;
    std::uint32_t lost_turns = 0;
    /// Tokens of all done turns.
    std::int64_t charged = 0;
    base::TimePoint active_at;
    bool tool_pause = false;
    base::TimePoint snapshot_at;
    std::size_t snapshot_turns = 0;
    base::RecordId snapshot_id;
    /// Opening: callers that wait and the record.
    Waiters open_waiters;
    base::RecordId opening_record;
    base::TimePoint opened_at;
    /// Loading: the record to read next, and turns found so far, newest first.
    base::Offset fetch;
    bool fetching = false;
    std::vector<RecordedTurn> loaded_turns;
    base::TimePoint loaded_at;
  };

  struct Handover {
    base::InstanceId to;
    base::Epoch epoch;
    std::string state;
    base::TimePoint sent_at;
  };

  struct HandedOverTree {
    base::Epoch epoch;
    base::TimePoint since;
  };

  struct Copy {
    schema::ReplicateTurn message;
    schema::TurnRecord record;
  };

  explicit Impl(ProgramOptions given)
      : options(std::move(given)), index(options.checks), outbox(options) {}

  // store_impl.cpp: state shared by all duties.
  void DetectPause(const base::Now& now);
  Program* Find(const base::ProgramId& program);
  /// The program if it belongs to the workspace and may be used now, else a refusal.
  base::Result<Program*> FindActive(const base::ProgramId& program,
                                    const base::WorkspaceId& workspace);
  Program* FindRunning(base::RequestId request);
  bool OwnsTree(const base::ProgramId& root) const;
  base::Epoch EpochOf(const Program& program) const;
  std::int64_t FreeBudget(const Program& program) const;
  ProgramState StateOf(const Program& program, bool with_pending) const;
  Program& Add(Program program);
  void Remove(const base::ProgramId& program);
  static void Refuse(const Waiters& waiters, const base::Error& error, ProgramActions& out);
  std::vector<Program*> ProgramsInTree(const base::ProgramId& root);

  // store_calls.cpp: opening, ending, pausing.
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

  // store_turns.cpp: turns from the call to the result.
  void Turn(const base::Now& now, const TurnCall& call, ProgramActions& out);
  bool JoinOrReplay(Program& program, const TurnCall& call, std::uint64_t fingerprint,
                    ProgramActions& out);
  void Replay(Program& program, std::uint32_t turn, base::RequestId request, ProgramActions& out);
  void Start(const base::Now& now, Program& program, const TurnCall& call,
             std::uint64_t fingerprint, ProgramActions& out);
  void FailNotRun(Program& program, base::Error error, ProgramActions& out);
  void Finish(const base::Now& now, Program& program, const TurnResult& result,
              base::Verdict verdict, ProgramActions& out);

  // store_pending.cpp: results until they are durable.
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

  // store_takeover.cpp: change of owner.
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
  /// Programs with turns that are not in the log; may name others that have none any more.
  std::set<base::ProgramId> unlogged;
  /// Programs in kLoading or kCollecting; may name others.
  std::set<base::ProgramId> loading;
  std::map<base::RequestId, base::ProgramId> running;
  /// Owner records that were sent, by root.
  std::map<base::ProgramId, base::RecordId> claims;
  std::map<base::ProgramId, Handover> handovers;
  /// Families given away, with the epoch under which this instance must not act again.
  std::map<base::ProgramId, HandedOverTree> handed_over;
  /// Families received whose OwnerRecord is not in the log yet, with the sender's epoch.
  std::map<base::ProgramId, base::Epoch> received;
  std::map<std::pair<base::ProgramId, base::RecordId>, Copy> copies;
  using Residency = std::pair<base::ProgramId, base::TargetId>;
  /// Releases that the engine did not confirm, with the time of the last order.
  std::map<Residency, std::optional<base::TimePoint>> releases;
  /// Reported memory of unknown programs, with the time of the first report.
  std::map<Residency, base::TimePoint> unknown_memory;
  std::optional<base::TimePoint> last_call;
  std::optional<base::TimePoint> last_scan;
  /// Reads to the end of the stream that are still needed after a pause.
  int reads_needed = 0;
  bool log_up = false;
  /// A FetchRecords action was not answered yet.
  bool fetch_in_flight = false;
  base::TimePoint log_up_since;
  bool lease_held = true;
};

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_STORE_IMPL_HPP_
