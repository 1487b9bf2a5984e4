#ifndef PERSIMMONSTAIR_SRC_ROUTING_FAIR_QUEUE_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_FAIR_QUEUE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "model.hpp"
#include "persimmonstair/routing/settings.hpp"

namespace persimmonstair::routing {

/// @brief The queued requests of one class in the order of a QueuePolicy.
///
/// Start-time fair queueing: each workspace has a lane with a virtual time = engine seconds
/// received / weight. The lane with the lowest virtual time is served first. A lane that becomes
/// backlogged starts no earlier than the virtual time of the last service, so idle time earns no
/// credit.
class FairQueue {
 public:
  explicit FairQueue(QueuePolicy policy) : policy_(policy) {}

  void Insert(Request& request);
  void Erase(Request& request);
  /// Moves a queued request after its program's attained service changed.
  void Reorder(Request& request);
  /// Adds engine seconds received by a workspace; `served` advances the virtual time first.
  void Charge(const Workspace& workspace, double seconds, bool served);

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /// Estimated engine seconds of a workspace's queued requests.
  double BacklogSeconds(const Workspace& workspace) const;
  /// CapacityShare of the capacity that a workspace may expect beside the lanes backlogged now.
  double CapacityShare(const Workspace& workspace) const;

  /// @brief Visits requests in order until `visit` returns true.
  template <class Visit>
  void VisitInOrder(Visit visit) const {
    for (const auto& [virtual_time, index] : order_) {
      for (const auto& [attained, sequence, request] : flows_.at(index).items) {
        if (visit(*request)) return;
      }
    }
  }

 private:
  using Item = std::tuple<double, std::uint64_t, Request*>;
  struct Flow {
    double virtual_time = 0;
    double weight = 1;
    double backlog_s = 0;
    std::set<Item> items;
  };

  std::uint32_t FlowIndex(const Workspace& workspace) const;
  Item MakeItem(Request& request) const;
  void SetVirtualTime(std::uint32_t index, Flow& flow, double virtual_time);

  QueuePolicy policy_;
  std::size_t size_ = 0;
  double virtual_time_ = 0;
  double backlogged_weight_ = 0;
  std::map<std::uint32_t, Flow> flows_;
  /// Lanes with requests by virtual time.
  std::set<std::pair<double, std::uint32_t>> order_;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_FAIR_QUEUE_HPP_
