#ifndef PERSIMMONSTAIR_SRC_ROUTING_DIFFERENTIAL_MODEL_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_DIFFERENTIAL_MODEL_HPP_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/routing/router.hpp"

namespace persimmonstair::routing::differential {

/// @brief Simple implementation of the routing rules, against which the Router's decisions are
/// checked.
///
/// Uses plain maps and full scans, and models neither the queue order nor the estimates. Observe()
/// is called before the router handles an event, and Verify() with the resulting decisions.
class ReferenceModel {
 public:
  explicit ReferenceModel(const Settings& settings) : settings_(settings) {}

  void Observe(base::TimePoint now, const Event& event);
  /// Returns the first rule that the decisions break, or an empty string.
  std::string Verify(const std::vector<Decision>& decisions, const Router& router);

  std::vector<base::AttemptId> Running() const;
  bool IsActive(base::RequestId request) const {
    const auto it = all_requests_.find(request);
    return it != all_requests_.end() && it->second.phase != Phase::kEnded;
  }
  const base::TargetId& TargetOf(base::AttemptId attempt) const {
    return attempts_.at(attempt).target;
  }

 private:
  enum class Phase { kQueued, kRunning, kEnded };
  struct KnownRequest {
    RequestQueued spec;
    Phase phase = Phase::kQueued;
    base::TimePoint queued_at;
    base::TimePoint deadline;
    /// The request may have run in one of its attempts.
    bool may_have_run = false;
    bool cancelled = false;
    /// The request must be refused by the decisions for the current event.
    bool must_refuse = false;
    std::uint32_t attempts = 0;
    /// The last attempt failed because its target is leaving; the retry doesn't use the budget.
    bool retry_exempt_from_budget = false;
  };
  struct KnownTarget {
    catalogue::Target entry;
    bool listed = false;
    bool reported_leaving = false;
    bool reported = false;
    base::TimePoint reported_at;
    bool suspect = false;
    bool probing = false;
    std::uint32_t others_in_flight = 0;
    base::TimePoint others_expire_at;
    std::vector<std::pair<base::TimePoint, std::uint32_t>> history;
  };
  struct Attempt {
    base::RequestId request;
    base::TargetId target;
    bool fresh_connection = false;
  };
  struct Peer {
    base::TimePoint last_load_at;
    std::map<base::TargetId, std::uint32_t> in_flight;
  };

  void On(const RequestQueued& event);
  void On(const RequestCancelled& event);
  void On(const AttemptStarted& event);
  void On(const AttemptFirstByte& event);
  void On(const AttemptFinished& event);
  void On(const AttemptFailed& event);
  void On(const TargetReported& event);
  void On(const PeerLoad& event) { peers_[event.instance] = {now_, event.in_flight}; }
  void On(const PeerGone& event) { peers_.erase(event.instance); }
  void On(const PeerPoisonReport& event);
  void On(const PeerTargetSuspect& event);
  void On(const CatalogueApplied& event);
  void On(const InstanceListApplied& event) { list_leaving_ = event.leaving; }
  void On(const DataCentreReachability& event);
  void On(const ProbeFinished& event);
  void On(const Tick& event);

  void ApplyLeavingReport(const base::TargetId& id, bool leaving, base::TimePoint at);
  void RemoveAttempt(base::AttemptId attempt);
  std::uint32_t OwnInFlight(const base::TargetId& id) const;
  std::uint32_t Occupied(const base::TargetId& id) const;
  /// The reason why the target can't get this request now; empty if it can.
  std::string ReasonUnsuitable(const KnownRequest& request, const base::TargetId& id) const;
  bool HasCrashed(const KnownRequest& request) const;
  std::string CheckDecision(const Dispatch& it);
  std::string CheckDecision(const Refuse& it);
  std::string CheckState(const Router& router) const;
  std::string CheckWorkConserving() const;

  Settings settings_;
  base::TimePoint now_;
  /// The current event is a Tick.
  bool ticked_ = false;
  std::map<base::RequestId, KnownRequest> all_requests_;
  std::map<base::AttemptId, Attempt> attempts_;
  std::map<base::TargetId, KnownTarget> all_targets_;
  std::map<base::InstanceId, Peer> peers_;
  std::set<base::TargetId> list_leaving_;
  std::set<base::DataCentreId> unreachable_;
  std::set<std::pair<base::WorkspaceId, std::uint64_t>> crashed_requests_;
  std::uint64_t first_dispatches_ = 0;
  std::uint64_t retries_ = 0;
};

}  // namespace persimmonstair::routing::differential

#endif  // PERSIMMONSTAIR_SRC_ROUTING_DIFFERENTIAL_MODEL_HPP_
