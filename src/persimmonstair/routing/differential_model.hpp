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

/// @brief Naive restatement of the routing rules: plain maps and full scans, no queue order and no
/// estimates. Observe() is called before an event reaches the router, Verify() with its decisions.
class Model {
 public:
  explicit Model(const Settings& settings) : settings_(settings) {}

  void Observe(base::TimePoint now, const Event& event);
  /// Empty, or the rule that the decisions break.
  std::string Verify(const std::vector<Decision>& decisions, const Router& router);

  std::vector<base::AttemptId> Running() const;
  bool Alive(base::RequestId request) const {
    const auto it = calls_.find(request);
    return it != calls_.end() && it->second.phase != Phase::kEnded;
  }
  const base::TargetId& TargetOf(base::AttemptId attempt) const {
    return attempts_.at(attempt).target;
  }

 private:
  enum class Phase { kQueued, kRunning, kEnded };
  struct Call {
    RequestQueued spec;
    Phase phase = Phase::kQueued;
    base::TimePoint queued_at;
    base::TimePoint deadline;
    bool byte_left = false;
    bool cancelled = false;
    /// Must be refused by the decisions of this event.
    bool must_end = false;
    std::uint32_t attempts = 0;
    bool leaving_retry = false;
  };
  struct Place {
    catalogue::Target entry;
    bool listed = false;
    bool answered_leaving = false;
    bool answered = false;
    base::TimePoint answered_at;
    bool suspect = false;
    bool probing = false;
    std::uint32_t others = 0;
    base::TimePoint others_until;
    std::vector<std::pair<base::TimePoint, std::uint32_t>> history;
  };
  struct Attempt {
    base::RequestId request;
    base::TargetId target;
    bool fresh = false;
  };
  struct Peer {
    base::TimePoint heard_at;
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
  void On(const PeerPoison& event);
  void On(const PeerSuspect& event);
  void On(const CatalogueApplied& event);
  void On(const InstanceListApplied& event) { list_leaving_ = event.leaving; }
  void On(const DataCentreReach& event);
  void On(const ProbeFinished& event);
  void On(const Tick& event);

  void Answer(const base::TargetId& id, bool leaving, base::TimePoint at);
  void Detach(base::AttemptId attempt);
  std::uint32_t Own(const base::TargetId& id) const;
  std::uint32_t Occupied(const base::TargetId& id) const;
  /// Empty if the target may get this request now, otherwise the reason.
  std::string Unsuitable(const Call& call, const base::TargetId& id) const;
  bool HasCrashed(const Call& call) const;
  std::string Accept(const Dispatch& it);
  std::string Accept(const Refuse& it);
  std::string CheckState(const Router& router) const;
  std::string CheckWorkConserving() const;

  Settings settings_;
  base::TimePoint now_;
  bool ticked_ = false;
  std::map<base::RequestId, Call> calls_;
  std::map<base::AttemptId, Attempt> attempts_;
  std::map<base::TargetId, Place> places_;
  std::map<base::InstanceId, Peer> peers_;
  std::set<base::TargetId> list_leaving_;
  std::set<base::DataCentreId> cut_off_;
  std::set<std::pair<base::WorkspaceId, std::uint64_t>> crashed_;
  std::uint64_t first_dispatches_ = 0;
  std::uint64_t retries_ = 0;
};

}  // namespace persimmonstair::routing::differential

#endif  // PERSIMMONSTAIR_SRC_ROUTING_DIFFERENTIAL_MODEL_HPP_
