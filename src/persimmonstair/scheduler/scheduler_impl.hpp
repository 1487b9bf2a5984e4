#ifndef PERSIMMONSTAIR_SCHEDULER_SCHEDULER_IMPL_HPP_
#define PERSIMMONSTAIR_SCHEDULER_SCHEDULER_IMPL_HPP_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "append_queue.hpp"
#include "persimmonstair/catalogue/catalogue.hpp"
#include "persimmonstair/effects/effect_coordinator.hpp"
#include "persimmonstair/limits/limiter.hpp"
#include "persimmonstair/membership/lease_manager.hpp"
#include "persimmonstair/membership/liveness.hpp"
#include "persimmonstair/membership/named_lease.hpp"
#include "persimmonstair/membership/registry.hpp"
#include "persimmonstair/programs/program_store.hpp"
#include "persimmonstair/routing/router.hpp"
#include "persimmonstair/scheduler/scheduler.hpp"
#include "request.hpp"
#include "stream_reader.hpp"

namespace persimmonstair::scheduler {

inline const base::StreamName kCatalogueStream{"catalogue"};
inline const base::StreamName kControlStream{"control"};
inline const base::StreamName kClaimsStream{"claims"};
inline const base::StreamName kProgramsStream{"programs"};

/// @brief Implements Scheduler by connecting the libraries for catalogue, membership, limits,
/// effects, programs and routing. OnEvent() and OnMessage() pass input to them; Perform() and
/// ExecuteAction() turn their output into actions of the scheduler or input of another library.
/// The methods are grouped by the source file that defines them.
class Scheduler::Impl {
 public:
  explicit Impl(Options options);

  std::vector<Action> Handle(const base::Now& now, Event event);
  Status GetStatus(const base::Now& now) const;

 private:
  // callers.cpp: arrival, authentication, admission and end of requests.
  void OnEvent(CallerRequest& event);
  void OnEvent(const CallerGone& event);
  /// Stores and authenticates a request, then continues with the step that its kind requires.
  void Accept(Request request);
  base::Result<void> Authenticate(Request& request);
  /// Fails if this instance or its data centre has been isolated for so long that a withdrawn key
  /// could still be accepted.
  base::Result<void> CheckIsolation() const;
  bool IsKeyValid(const Request& request) const;
  /// Applies the workspace's rate limit.
  void Admit(Request& request);
  /// Continues a request that the rate limit admitted or does not apply to.
  void StartRequest(base::RequestId id);
  void Perform(limits::LimiterOutput output);
  /// Removes the request and replies to its caller unless the caller has disconnected.
  void Finish(base::RequestId id, std::uint32_t status, std::map<std::string, std::string> headers,
              std::string body);
  void FinishError(base::RequestId id, const base::Error& error);
  /// Ends a request at any stage. A non-idempotent call that is running at a target continues
  /// without a caller.
  void Abort(base::RequestId id, const base::Error& error);
  /// Replies with an error to a request that still runs, and keeps it without a caller.
  void ReplyBeforeOutcome(base::RequestId id, const base::Error& error);
  void CancelRouting(base::RequestId id);
  void ExpireRequests();
  void EndRequestsOfInvalidKeys();
  /// Null if the request is unknown or has ended.
  Request* Find(base::RequestId id);

  // turns.cpp: program calls and ownership of programs.
  /// Handles a program call here or forwards it to the owner of the program.
  void StartProgramCall(base::RequestId id);
  void HandleLocalProgramCall(base::RequestId id);
  void OpenProgram(base::RequestId id);
  void StartTurn(base::RequestId id);
  void ReadProgram(base::RequestId id);
  /// Instance that handles calls of the program; empty if the program is unknown.
  std::optional<base::InstanceId> OwnerOf(const base::ProgramId& program) const;
  /// Live instance that takes over the program from an owner that stops or failed, preferably in
  /// the data centre where the program was opened. All instances with the same view choose the same
  /// one.
  base::InstanceId SuccessorOf(const base::ProgramId& program) const;
  /// Whether the process that owned the tree of programs no longer exists in its incarnation.
  bool OwnerEnded(const programs::ProgramTree& tree) const;
  /// Takes over the programs of a former owner whose successor is this instance.
  void TakeOverFrom(const base::InstanceId& former_owner);
  void Perform(programs::ProgramActions actions);
  void ExecuteAction(const programs::AppendRecord& action);
  void ExecuteAction(const programs::FetchRecords& action);
  void ExecuteAction(const programs::RunTurn& action);
  void ExecuteAction(const programs::CancelTurn& action);
  void ExecuteAction(const programs::TurnAnswer& action);
  void ExecuteAction(const programs::ProgramReady& action);
  void ExecuteAction(const programs::CallAccepted& action);
  void ExecuteAction(const programs::ProgramRefusal& action);
  void ExecuteAction(const programs::ReleaseMemory& action);
  void ExecuteAction(const programs::Replicate& action);
  void ExecuteAction(const programs::ReplicationDone& action);
  void ExecuteAction(const programs::SendTo& action);

  // effects.cpp: service calls, idempotent or not.
  void StartServiceCall(base::RequestId id);
  void EnqueueServiceCall(base::RequestId id);
  void Perform(effects::EffectActions actions);
  void ExecuteAction(const effects::AppendRecord& action);
  void ExecuteAction(const effects::ReadyToDispatch& action);
  void ExecuteAction(const effects::EffectAnswer& action);
  void ExecuteAction(const effects::EffectRefusal& action);

  // attempts.cpp: routing decisions and responses of targets.
  void OnEvent(const TargetFirstByte& event);
  void OnEvent(TargetDone& event);
  void OnEvent(const TargetFailed& event);
  void OnEvent(const TargetReport& event);
  /// Passes an event to the router and executes its decisions.
  void Route(const routing::Event& event);
  void ExecuteAction(const routing::Dispatch& decision);
  void ExecuteAction(const routing::Refuse& decision);
  void ExecuteAction(const routing::CancelAttempt& decision);
  void ExecuteAction(const routing::CloseIdle& decision);
  void ExecuteAction(const routing::Probe& decision);
  void ExecuteAction(const routing::BroadcastPoisonReport& decision);
  void ExecuteAction(const routing::BroadcastTargetSuspect& decision);
  /// Checks the key and the claim or program lease just before an attempt. If it returns false, the
  /// request has been refused.
  bool AuthorizeDispatch(base::RequestId id, Request& request);
  Dispatch MakeDispatch(const routing::Dispatch& decision, const Request& request,
                        const catalogue::Target& target) const;
  void CompleteRequest(base::RequestId id, const TargetDone& event, const base::TargetId& target);
  /// Reports a failed or refused request to the library that handles it, or else to the caller.
  void FailRequest(base::RequestId id, const base::Error& error);

  // log.cpp: reads, appends and snapshots of log streams.
  void OnEvent(const LogRead& event);
  void OnEvent(const LogReadFailed& event);
  void OnEvent(const AppendDone& event);
  void OnEvent(const RecordsFetched& event);
  void ApplyCatalogueRecord(base::Offset offset, const schema::Record& record);
  void ApplyControlRecord(base::Offset offset, const schema::Record& record);
  void AppendRecord(const base::StreamName& stream, const schema::Record& record);
  /// Passes the outcome of an append to the library that wrote the record.
  void OnRecordOutcome(const AppendQueue::RecordOutcome& record_outcome);
  void WriteSnapshots();
  bool RestoreStream(const base::StreamName& stream, const std::string& state);
  /// State of the catalogue or control stream as snapshot text.
  std::string StreamState(const base::StreamName& stream) const;
  bool LogReachable() const;
  /// All streams have been read to their end or restored from a peer.
  bool Ready() const;
  base::RecordId NextRecordId();
  StreamReader& Reader(const base::StreamName& stream) { return readers_.at(stream); }

  // peers.cpp: messages from and to other instances.
  void OnEvent(PeerReceived& event);
  void OnEvent(const PeerSendFailed& event);
  void OnMessage(const PeerReceived& event, const schema::Heartbeat& message);
  void OnMessage(const PeerReceived& event, const schema::KeyWithdrawn& message);
  void OnMessage(const PeerReceived& event, const schema::PoisonReport& message);
  void OnMessage(const PeerReceived& event, const schema::TargetSuspect& message);
  void OnMessage(const PeerReceived& event, const schema::ForwardedRequest& message);
  void OnMessage(const PeerReceived& event, const schema::ForwardedReply& message);
  void OnMessage(const PeerReceived& event, const schema::ForwardedCancel& message);
  void OnMessage(const PeerReceived& event, const schema::TokenLoanRequest& message);
  void OnMessage(const PeerReceived& event, const schema::TokenLoan& message);
  void OnMessage(const PeerReceived& event, const schema::LeaseConsentRequest& message);
  void OnMessage(const PeerReceived& event, const schema::LeaseConsent& message);
  void OnMessage(const PeerReceived& event, const schema::ReplicateTurnAck& message);
  void OnMessage(const PeerReceived& event, const schema::SnapshotRequest& message);
  void OnMessage(const PeerReceived& event, const schema::Snapshot& message);
  template <class Message>
  void OnMessage(const PeerReceived& event, const Message& message) {
    Perform(store_.OnPeer(now_, event.from, message));
  }
  void Forward(base::RequestId id, const base::InstanceId& to);
  void SendReliable(const base::InstanceId& to, schema::PeerMessage message);
  void SendHeartbeat();
  void RequestSnapshot();
  /// Registered incarnation of the sender of a message; 0 if the message came from another process
  /// of that instance than its last heartbeat.
  base::Incarnation RegisteredIncarnation(const PeerReceived& event) const;

  // members.cpp: leases, rate limits and the instance list.
  void OnEvent(const InstanceListRead& event);
  void Perform(const membership::Output& output);
  void TickMembership();
  /// Informs the limiter and the program store of the state of this instance's lease.
  void PropagateLease();
  void ApplyLimits();

  // engines.cpp: load reports, probes, and programs whose memory an engine holds.
  void PollLoads();
  void PollHeldPrograms();
  void StartInternalCall(const catalogue::Target& target, int kind, const base::ProgramId& program);
  /// Processes the result of an internal call; `done` is null if it failed. Returns false if the
  /// attempt belongs to a request.
  bool EndInternalCall(base::AttemptId attempt, const TargetDone* done);
  void OnLoadReport(const base::TargetId& target, const TargetDone& done);
  void OnHeldPrograms(const base::TargetId& target, const TargetDone& done);

  // operators.cpp: catalogue requests of operators.
  void HandleOperatorCall(base::RequestId id);
  void StartCatalogueChange(base::RequestId id);
  void EndCatalogueChange(const base::RecordId& record, const base::Result<void>& result);
  /// Applies a new catalogue version to limits, router and open requests.
  void PropagateCatalogue();

  // stop.cpp: planned stop.
  void OnEvent(const StopRequested& event);
  void ContinueStop();
  /// A planned stop is in progress and stop_grace has passed.
  bool RejectsNewRequests() const;
  /// Counts of unfinished work as text; empty if there is none.
  std::string DescribeUnfinished() const;
  void HandOverPrograms();

  void OnEvent(const Tick& event);
  void FlushAppends();
  template <class T>
  void Emit(T action) {
    actions_.emplace_back(std::move(action));
  }
  /// Current contents of the catalogue.
  const catalogue::Document& document() const { return catalogue_.document(); }

  /// Call that the scheduler itself makes to a target.
  struct InternalAttempt {
    int kind = 0;
    base::TargetId target;
    base::ProgramId program;
  };
  /// Contents of the last heartbeat of a peer.
  struct PeerState {
    /// Incarnation of the process that sent it.
    base::Incarnation process;
    /// Incarnation under which that process is registered in the control stream.
    base::Incarnation registered;
    base::DataCentreId data_centre;
  };
  /// Catalogue change that was appended and not yet read back.
  struct PendingChange {
    base::RequestId request;
    /// Keys that the change removes.
    std::vector<base::KeyId> withdrawn_keys;
  };

  Options options_;
  std::mt19937_64 random_;
  base::Now now_{};
  std::vector<Action> actions_;

  catalogue::Catalogue catalogue_;
  membership::Registry registry_;
  membership::LeaseManager lease_manager_;
  /// Lease of one instance per data centre, which alone asks engines for the programs they hold.
  membership::NamedLease order_lease_;
  membership::Liveness liveness_;
  limits::Limiter limiter_;
  effects::EffectCoordinator effects_;
  programs::ProgramStore store_;
  routing::Router router_;
  AppendQueue appends_;
  std::map<base::StreamName, StreamReader> readers_;

  std::map<base::RequestId, Request> requests_;
  std::map<base::AttemptId, base::RequestId> attempts_;
  std::map<base::AttemptId, base::TargetId> attempt_targets_;
  std::map<base::AttemptId, InternalAttempt> internal_attempts_;
  std::map<base::InstanceId, PeerState> peers_;
  std::map<base::RecordId, PendingChange> pending_changes_;
  /// Local request by the forwarding instance and its id of the request.
  std::map<std::pair<base::InstanceId, base::RequestId>, base::RequestId> peer_requests_;

  std::uint64_t last_record_ = 0;
  std::uint64_t last_program_ = 0;
  /// Number of internal attempts so far. Their ids lie in a range that the router does not use.
  std::uint64_t internal_attempt_count_ = 0;
  std::optional<base::TimePoint> started_at_;
  std::optional<base::TimePoint> log_read_at_;
  bool log_failed_ = false;
  base::WallTime oldest_at_;
  base::TimePoint last_heartbeat_;
  base::TimePoint last_load_poll_;
  base::TimePoint last_held_poll_;
  base::TimePoint last_snapshot_request_;
  base::TimePoint last_snapshot_write_;
  base::TimePoint last_maintenance_;
  std::optional<base::TimePoint> stopping_since_;
  bool leaving_ = false;
  bool stopped_ = false;
  std::uint64_t forwarded_count_ = 0;
  std::uint64_t rate_refusals_ = 0;
  std::uint64_t heartbeat_number_ = 0;
};

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_SCHEDULER_IMPL_HPP_
