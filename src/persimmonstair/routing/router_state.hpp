#ifndef PERSIMMONSTAIR_SRC_ROUTING_ROUTER_STATE_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_ROUTER_STATE_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "crash_history.hpp"
#include "estimate.hpp"
#include "model.hpp"
#include "persimmonstair/routing/router.hpp"
#include "retry_budget.hpp"
#include "target_table.hpp"

namespace persimmonstair::routing {

/// @brief State and event handlers of a Router. The handlers are grouped by file: router.cpp
/// (other instances, catalogue, time), router_queue.cpp (entry and refusal), router_schedule.cpp
/// (choice and dispatch), router_attempts.cpp (ends of attempts), router_health.cpp (suspicion).
struct Router::State {
  explicit State(Settings given)
      : settings(std::move(given)),
        targets(settings),
        crashes(settings),
        retry_budget(settings.retry_ratio, settings.retry_burst) {}

  // One handler for each event.
  void On(const RequestQueued& event);
  void On(const RequestCancelled& event);
  void On(const AttemptStarted& event);
  void On(const AttemptFirstByte& event);
  void On(const AttemptFinished& event);
  void On(const AttemptFailed& event);
  void On(const TargetReported& event);
  void On(const PeerLoad& event);
  void On(const PeerGone& event);
  void On(const PeerPoisonReport& event);
  void On(const PeerTargetSuspect& event);
  void On(const CatalogueApplied& event);
  void On(const InstanceListApplied& event);
  void On(const DataCentreReachability& event);
  void On(const ProbeFinished& event);
  void On(const Tick& event);

  // Entry and refusal.
  Workspace& WorkspaceOf(const base::WorkspaceId& id);
  Program* ProgramOf(const Request& request);
  /// Why a new request cannot be served, or nothing.
  std::optional<base::Error> CheckAdmission(const Request& request);
  bool TryEvictFor(const Workspace& incoming);
  void Enqueue(Request& request);
  void Dequeue(Request& request);
  void End(Request& request);
  void RefuseRequest(Request& request, base::ErrorCode code, std::string message,
                     base::Duration retry_after);
  base::Duration RetryHint(const Request& request) const;
  void RefuseExpired();

  // Choice and dispatch.
  void Schedule();
  /// Makes the next Schedule() look at every class.
  void MarkAllClassesChanged();
  bool ScheduleOne(RequestClass& request_class);
  Target* BestAvailableTarget(const Request& request) const;
  bool MayRun(const Request& request, const Target& target) const;
  /// The full engine that holds the request's prefix, or null.
  const Target* BusyPrefixHolder(const Request& request) const;
  /// Whether to wait for `holder`, for which `ahead` requests wait already, instead of `free`.
  bool ShouldWaitForHolder(const Request& request, const Target& free, const Target& holder,
                           int ahead) const;
  void Start(Request& request, Target& target);
  void Charge(Request& request, double seconds, bool served);

  // Ends of attempts.
  Request* RunningAttempt(base::AttemptId attempt);
  /// Frees the slot; the request is neither queued nor running afterwards.
  void Release(Request& request, double measured_s);
  void RecordCrash(const Request& request);
  void RetryOrRefuse(Request& request, const AttemptFailed& event);
  bool MayRetry(const Request& request, const AttemptFailed& event);

  // Suspicion.
  void HandleConnectionFault(Target& target, FailureKind kind, bool fresh);
  void HandleSilentConnection(Target& target);
  void MakeSuspect(Target& target, base::Duration pause);
  void SendProbes();

  Settings settings;
  base::TimePoint now;
  std::vector<Decision> out;

  TargetTable targets;
  CrashHistory crashes;
  RetryBudget retry_budget;
  std::map<base::WorkspaceId, Workspace> workspaces;
  std::map<base::WorkspaceId, double> weights;
  std::unordered_map<base::ProgramId, Program> programs;
  std::unordered_map<base::RequestId, Request> requests;
  std::unordered_map<base::AttemptId, Request*> attempts;
  /// Requests by the time at which they leave the queue unserved, and running ones by deadline.
  std::set<std::pair<base::TimePoint, std::uint64_t>> expiries;
  std::map<base::InstanceId, std::map<base::WorkspaceId, std::uint64_t>> peer_attained;

  std::size_t queued = 0;
  std::uint64_t next_attempt = 1;
  std::uint64_t next_sequence = 1;
  std::uint64_t dispatches = 0;
  base::TimePoint swept_at;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_ROUTER_STATE_HPP_
