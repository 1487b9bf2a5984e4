#include "fair_queue.hpp"

#include <algorithm>

namespace persimmonstair::routing {
namespace {

// Most engine seconds per unit of weight by which a lane may be ahead of the lane being served.
// Service received elsewhere while nobody waited here would otherwise be repaid by starvation.
constexpr double kMaxLeadSeconds = 20;

}  // namespace

std::uint32_t FairQueue::LaneIndex(const Workspace& workspace) const {
  return policy_ == QueuePolicy::kFairLeastAttained ? workspace.index : 0;
}

FairQueue::Item FairQueue::MakeItem(Request& request) const {
  const bool by_program = policy_ != QueuePolicy::kFirstInFirstOut && request.program != nullptr;
  request.queue_attained = by_program ? request.program->attained : 0;
  return {request.queue_attained, request.sequence, &request};
}

void FairQueue::Insert(Request& request) {
  const std::uint32_t index = LaneIndex(*request.workspace);
  Lane& lane = lanes_[index];
  if (lane.items.empty()) {
    lane.weight = policy_ == QueuePolicy::kFairLeastAttained ? request.workspace->weight : 1;
    lane.time = std::clamp(lane.time, virtual_time_, virtual_time_ + kMaxLeadSeconds / lane.weight);
    order_.emplace(lane.time, index);
    backlogged_weight_ += lane.weight;
  }
  lane.items.insert(MakeItem(request));
  lane.backlog_s += request.backlog_s;
  ++size_;
}

void FairQueue::Erase(Request& request) {
  const std::uint32_t index = LaneIndex(*request.workspace);
  Lane& lane = lanes_.at(index);
  lane.items.erase({request.queue_attained, request.sequence, &request});
  lane.backlog_s -= request.backlog_s;
  --size_;
  if (!lane.items.empty()) return;
  order_.erase({lane.time, index});
  backlogged_weight_ -= lane.weight;
  lane.backlog_s = 0;
}

void FairQueue::Reorder(Request& request) {
  Lane& lane = lanes_.at(LaneIndex(*request.workspace));
  lane.items.erase({request.queue_attained, request.sequence, &request});
  lane.items.insert(MakeItem(request));
}

void FairQueue::SetTime(std::uint32_t index, Lane& lane, double time) {
  if (!lane.items.empty()) {
    order_.erase({lane.time, index});
    order_.emplace(time, index);
  }
  lane.time = time;
}

void FairQueue::Charge(const Workspace& workspace, double seconds, bool served) {
  const std::uint32_t index = LaneIndex(workspace);
  const auto it = lanes_.find(index);
  if (it == lanes_.end()) return;
  Lane& lane = it->second;
  if (served) virtual_time_ = std::max(virtual_time_, lane.time);
  const double latest = std::max(lane.time, virtual_time_ + kMaxLeadSeconds / lane.weight);
  SetTime(index, lane, std::min(lane.time + seconds / lane.weight, latest));
}

double FairQueue::Backlog(const Workspace& workspace) const {
  const auto it = lanes_.find(LaneIndex(workspace));
  return it == lanes_.end() ? 0 : it->second.backlog_s;
}

double FairQueue::Share(const Workspace& workspace) const {
  if (policy_ != QueuePolicy::kFairLeastAttained) return 1;
  const auto it = lanes_.find(workspace.index);
  const bool backlogged = it != lanes_.end() && !it->second.items.empty();
  const double total = backlogged_weight_ + (backlogged ? 0 : workspace.weight);
  return total <= 0 ? 1 : workspace.weight / total;
}

}  // namespace persimmonstair::routing
