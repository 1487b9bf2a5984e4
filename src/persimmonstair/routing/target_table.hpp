#ifndef PERSIMMONSTAIR_SRC_ROUTING_TARGET_TABLE_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_TARGET_TABLE_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fair_queue.hpp"
#include "model.hpp"
#include "persimmonstair/routing/events.hpp"
#include "persimmonstair/routing/settings.hpp"

namespace persimmonstair::routing {

/// @brief The targets that serve one model or one route, and the requests queued for them.
struct RequestClass {
  explicit RequestClass(QueuePolicy policy) : queue(policy) {}

  /// True for a model, false for a route.
  bool engine = true;
  FairQueue queue;
  /// Usable targets with a free slot, in ascending order of rank.
  std::set<std::pair<double, Target*>,
           bool (*)(const std::pair<double, Target*>&, const std::pair<double, Target*>&)>
      available{[](const auto& a, const auto& b) {
        return a.first != b.first ? a.first < b.first : a.second->index < b.second->index;
      }};
  /// Number of targets in the catalogue that are not leaving.
  std::uint32_t serving_targets = 0;
  /// Total number of slots of the targets counted in `serving_targets`.
  std::uint32_t slots = 0;
  /// Moving average of the time in seconds that a request occupies a slot.
  double mean_service_s = 0.1;
  /// False after no request could be dispatched; true again after a request was queued or the state
  /// of a target changed.
  bool changed = true;
  /// Value of State::dispatches when a request of this class was last dispatched.
  std::uint64_t last_served_dispatch = 0;
};

/// @brief All targets with their load and state, and an index of them by class.
class TargetTable {
 public:
  explicit TargetTable(const Settings& settings) : settings_(settings) {}

  void ApplyCatalogue(const std::vector<catalogue::Target>& entries);
  void ApplyInstanceList(const std::set<base::TargetId>& leaving);
  void ApplyReachability(const DataCentreReachability& reach);
  void ApplyReport(base::TimePoint now, const TargetReported& report);
  void ApplyPeer(base::TimePoint now, const PeerLoad& load);
  void RemovePeer(const base::InstanceId& instance);
  /// Drops expired reports and peers' counts, and targets that are no longer in the catalogue and
  /// have no running attempts.
  void Expire(base::TimePoint now);

  /// Null for an unknown target.
  Target* Find(const base::TargetId& id);
  const Target* Find(const base::TargetId& id) const;
  /// The class of a request's model or route; created if it does not exist.
  RequestClass& ClassOf(const RequestQueued& spec);

  /// Records that the target stated at time `at` whether it is leaving. Ignored if a later
  /// statement is known; of two statements for the same time, `leaving` takes precedence.
  void RecordLeavingReport(Target& target, bool leaving, base::TimePoint at);
  void ChangeOwnInFlight(base::TimePoint now, Target& target, int change);
  /// Updates the target's entry in the index after a change of its state or load.
  void UpdateAvailability(Target& target);

  /// Estimated number of requests that run at the target, including those of other instances.
  static std::uint32_t Occupied(const Target& target);
  /// True if the target may get requests when it has a free slot.
  static bool Usable(const Target& target);

  const std::map<base::TargetId, std::unique_ptr<Target>>& All() const { return targets_; }
  std::map<std::string, RequestClass>& Classes() { return classes_; }
  std::size_t PeerCount() const { return peers_.size(); }

 private:
  struct Peer {
    base::TimePoint last_load_at;
    std::map<base::TargetId, std::uint32_t> in_flight;
  };

  RequestClass& ClassByKey(const std::string& key);
  void UpdateEntry(Target& target, const catalogue::Target& entry);
  /// Updates the availability of all targets and recomputes the totals of all classes.
  void RebuildIndex();
  /// Estimated service time in seconds of a typical request at the target's current load, plus a
  /// small value that differs between instances and breaks ties.
  double Rank(const Target& target) const;
  void RemoveFromAvailable(Target& target);

  const Settings& settings_;
  std::map<base::TargetId, std::unique_ptr<Target>> targets_;
  std::map<std::string, RequestClass> classes_;
  std::map<base::InstanceId, Peer> peers_;
  std::set<base::TargetId> list_leaving_;
  std::set<base::DataCentreId> unreachable_;
  std::uint32_t next_index_ = 0;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_TARGET_TABLE_HPP_
