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
/// Implements start-time fair queueing: each workspace is a flow with a virtual time = engine
/// seconds received / weight. An engine second is one second of a whole engine; a request that uses
/// one of n decoding slots for a second counts as 1/n. The flow with the lowest virtual time is
/// served first. A flow that becomes backlogged starts no earlier than the virtual time of the last
/// service, so that it collects no credit while idle. Policies other than kFairLeastAttained put
/// all workspaces into one flow.
class FairQueue {
 public:
  explicit FairQueue(QueuePolicy policy) : policy_(policy) {}

  void Insert(Request& request);
  void Erase(Request& request);
  /// Updates the position of a queued request after its program's attained service changed.
  void Reorder(Request& request);
  /// Adds engine seconds that a workspace received to its flow; a negative number corrects an
  /// earlier estimate. `served` is true if this instance now dispatches a request of the flow: the
  /// queue's virtual time then first advances to the flow's. It is false for corrections and for
  /// service at other instances.
  void Charge(const Workspace& workspace, double seconds, bool served);

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /// Estimated engine seconds of a workspace's queued requests.
  double BacklogSeconds(const Workspace& workspace) const;
  /// Fraction (0 to 1) of the class's capacity that a workspace with queued requests gets while the
  /// currently backlogged flows compete; 1 if all workspaces are in one flow.
  double CapacityShare(const Workspace& workspace) const;

  /// @brief Calls `visit` for each request in queue order until it returns true.
  template <class Visit>
  void VisitInOrder(Visit visit) const {
    for (const auto& [virtual_time, index] : order_) {
      for (const auto& [attained, sequence, request] : flows_.at(index).items) {
        if (visit(*request)) return;
      }
    }
  }

 private:
  /// Queue key (the program's attained service in engine seconds), arrival number, request.
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
  /// Highest virtual time of a flow at the moment when it was served.
  double virtual_time_ = 0;
  /// Sum of the weights of the flows in `order_`.
  double backlogged_weight_ = 0;
  std::map<std::uint32_t, Flow> flows_;
  /// Flows that have queued requests, ordered by virtual time.
  std::set<std::pair<double, std::uint32_t>> order_;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_FAIR_QUEUE_HPP_
