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

/// @brief The targets that serve one model or one route, and the requests that wait for them.
struct RequestClass {
  explicit RequestClass(QueuePolicy policy) : queue(policy) {}

  bool engine = true;
  FairQueue queue;
  /// Usable targets with a free slot, the one with the lowest rank first.
  std::set<std::pair<double, Target*>,
           bool (*)(const std::pair<double, Target*>&, const std::pair<double, Target*>&)>
      available{[](const auto& a, const auto& b) {
        return a.first != b.first ? a.first < b.first : a.second->index < b.second->index;
      }};
  /// Targets in the catalogue that have no sign of leaving.
  std::uint32_t serving_targets = 0;
  /// Slots of all listed targets.
  std::uint32_t slots = 0;
  /// Mean time of a request at a slot in seconds.
  double mean_service_s = 0.1;
  /// A request or the state of a target changed since no request could be dispatched.
  bool changed = true;
  /// Value of the dispatch counter when this class was last served.
  std::uint64_t last_served_dispatch = 0;
};

/// @brief All targets, what is known of their load and state, and the index by class.
class TargetTable {
 public:
  explicit TargetTable(const Settings& settings) : settings_(settings) {}

  void ApplyCatalogue(const std::vector<catalogue::Target>& entries);
  void ApplyInstanceList(const std::set<base::TargetId>& leaving);
  void ApplyReachability(const DataCentreReachability& reach);
  void ApplyReport(base::TimePoint now, const TargetReported& report);
  void ApplyPeer(base::TimePoint now, const PeerLoad& load);
  void RemovePeer(const base::InstanceId& instance);
  /// Drops reports and peers' counts that are too old, and unlisted targets without attempts.
  void Expire(base::TimePoint now);

  /// Null for an unknown target.
  Target* Find(const base::TargetId& id);
  const Target* Find(const base::TargetId& id) const;
  RequestClass& ClassOf(const RequestQueued& spec);

  /// The target said at `at` whether it is leaving; older statements change nothing.
  void RecordLeavingReport(Target& target, bool leaving, base::TimePoint at);
  void ChangeOwnInFlight(base::TimePoint now, Target& target, int change);
  /// Brings the target's place in the index up to date after a change.
  void UpdateAvailability(Target& target);

  /// Running requests, as far as known.
  static std::uint32_t Occupied(const Target& target);
  /// May get requests if a slot is free.
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
  void RebuildIndex();
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
