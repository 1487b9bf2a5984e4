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

/// @brief State and event handlers of a Router. The functions are grouped by file: router.cpp
/// (peers, catalogue, time), router_queue.cpp (admission and the queue), router_schedule.cpp
/// (choice of request and target, dispatch), router_attempts.cpp (events of attempts, retries) and
/// router_health.cpp (suspect targets and probes).
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

  // Admission and the queue (router_queue.cpp).
  Workspace& WorkspaceOf(const base::WorkspaceId& id);
  /// Null if the request belongs to no program.
  ProgramTree* ProgramOf(const Request& request);
  /// Returns the error with which a new request must be refused, or nothing if it can be queued.
  std::optional<base::Error> CheckAdmission(const Request& request);
  /// Refuses the newest queued request of the workspace with the longest queue relative to its
  /// weight, to make room for a request of `incoming`. Returns false if there is no such workspace
  /// with a longer queue than `incoming`.
  bool TryEvictFor(const Workspace& incoming);
  void Enqueue(Request& request);
  void Dequeue(Request& request);
  /// Deletes the request.
  void End(Request& request);
  void RefuseRequest(Request& request, base::ErrorCode code, std::string message,
                     base::Duration retry_after);
  /// Estimated time until the queue of the request's class is served, within fixed limits.
  base::Duration RetryHint(const Request& request) const;
  /// Refuses queued requests whose deadline or queue time has passed, and cancels running
  /// idempotent requests whose deadline has passed.
  void RefuseExpired();

  // Choice of request and target, dispatch (router_schedule.cpp).
  /// Dispatches queued requests until no class has a request that can run now.
  void Schedule();
  /// Makes the next Schedule() check every class.
  void MarkAllClassesChanged();
  /// Dispatches or refuses one request of the class; returns false if none can run now.
  bool ScheduleOne(RequestClass& request_class);
  /// The target with a free slot that has the lowest sum of estimated service time and delay to
  /// other requests, or null. Targets at which the request failed before are used only if there are
  /// no others.
  Target* BestAvailableTarget(const Request& request) const;
  bool MayRun(const Request& request, const Target& target) const;
  /// The engine that has the request's prefix cached, if it is usable but has no free slot;
  /// otherwise null.
  const Target* BusyPrefixHolder(const Request& request) const;
  /// Whether the request should wait for a slot at `holder`, for which `ahead` earlier requests
  /// already wait, instead of running at `free` now.
  bool ShouldWaitForHolder(const Request& request, const Target& free, const Target& holder,
                           int ahead) const;
  void Start(Request& request, Target& target);
  /// Adds engine seconds to the workspace's flow and to the program's attained service.
  void Charge(Request& request, double seconds, bool served);

  // Events of attempts, retries (router_attempts.cpp).
  /// The request of a running attempt, or null.
  Request* RunningAttempt(base::AttemptId attempt);
  /// Frees the slot of the request's attempt and corrects the charged engine time to `measured_s`.
  /// The request is neither queued nor running afterwards.
  void Release(Request& request, double measured_s);
  void RecordCrash(const Request& request);
  void RetryOrRefuse(Request& request, const AttemptFailed& event);
  bool MayRetry(const Request& request, const AttemptFailed& event);

  // Suspect targets and probes (router_health.cpp).
  /// `fresh_connection` states whether the failed attempt used a new connection.
  void HandleConnectionFault(Target& target, FailureKind kind, bool fresh_connection);
  /// Closes the idle connections to the target and stops their reuse after one of them timed out.
  void HandleSilentConnection(Target& target);
  /// Stops dispatches to the target and schedules a probe after `pause`.
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
  std::unordered_map<base::ProgramId, ProgramTree> programs;
  std::unordered_map<base::RequestId, Request> requests;
  std::unordered_map<base::AttemptId, Request*> attempts;
  /// Queued requests by the time at which they are refused, and running ones by deadline.
  std::set<std::pair<base::TimePoint, std::uint64_t>> expiries;
  /// Engine time in microseconds from each peer's last heartbeat, to compute the increase.
  std::map<base::InstanceId, std::map<base::WorkspaceId, std::uint64_t>> peer_attained;

  std::size_t queued = 0;
  std::uint64_t next_attempt = 1;
  std::uint64_t next_sequence = 1;
  /// Number of dispatches so far.
  std::uint64_t dispatches = 0;
  base::TimePoint swept_at;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_ROUTER_STATE_HPP_
