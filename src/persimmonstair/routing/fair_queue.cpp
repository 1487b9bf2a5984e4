#include "fair_queue.hpp"

#include <algorithm>

namespace persimmonstair::routing {
namespace {

// Maximum number of engine seconds by which a flow may be ahead of the flow being served; divided
// by the flow's weight it gives the lead in virtual time. Without the limit, a workspace that
// received service at other instances while no requests were queued here would starve until the
// other flows caught up.
constexpr double kMaxLeadSeconds = 20;

}  // namespace

std::uint32_t FairQueue::FlowIndex(const Workspace& workspace) const {
  return policy_ == QueuePolicy::kFairLeastAttained ? workspace.index : 0;
}

FairQueue::Item FairQueue::MakeItem(Request& request) const {
  const bool by_program = policy_ != QueuePolicy::kFirstInFirstOut && request.program != nullptr;
  request.queue_key = by_program ? request.program->attained_s : 0;
  return {request.queue_key, request.sequence, &request};
}

void FairQueue::Insert(Request& request) {
  const std::uint32_t index = FlowIndex(*request.workspace);
  Flow& flow = flows_[index];
  if (flow.items.empty()) {
    flow.weight = policy_ == QueuePolicy::kFairLeastAttained ? request.workspace->weight : 1;
    flow.virtual_time =
        std::clamp(flow.virtual_time, virtual_time_, virtual_time_ + kMaxLeadSeconds / flow.weight);
    order_.emplace(flow.virtual_time, index);
    backlogged_weight_ += flow.weight;
  }
  flow.items.insert(MakeItem(request));
  flow.backlog_s += request.backlog_s;
  ++size_;
}

void FairQueue::Erase(Request& request) {
  const std::uint32_t index = FlowIndex(*request.workspace);
  Flow& flow = flows_.at(index);
  flow.items.erase({request.queue_key, request.sequence, &request});
  flow.backlog_s -= request.backlog_s;
  --size_;
  if (!flow.items.empty()) return;
  order_.erase({flow.virtual_time, index});
  backlogged_weight_ -= flow.weight;
  flow.backlog_s = 0;
}

void FairQueue::Reorder(Request& request) {
  Flow& flow = flows_.at(FlowIndex(*request.workspace));
  flow.items.erase({request.queue_key, request.sequence, &request});
  flow.items.insert(MakeItem(request));
}

void FairQueue::SetVirtualTime(std::uint32_t index, Flow& flow, double virtual_time) {
  if (!flow.items.empty()) {
    order_.erase({flow.virtual_time, index});
    order_.emplace(virtual_time, index);
  }
  flow.virtual_time = virtual_time;
}

void FairQueue::Charge(const Workspace& workspace, double seconds, bool served) {
  const std::uint32_t index = FlowIndex(workspace);
  const auto it = flows_.find(index);
  if (it == flows_.end()) return;
  Flow& flow = it->second;
  if (served) virtual_time_ = std::max(virtual_time_, flow.virtual_time);
  const double latest = std::max(flow.virtual_time, virtual_time_ + kMaxLeadSeconds / flow.weight);
  SetVirtualTime(index, flow, std::min(flow.virtual_time + seconds / flow.weight, latest));
}

double FairQueue::BacklogSeconds(const Workspace& workspace) const {
  const auto it = flows_.find(FlowIndex(workspace));
  return it == flows_.end() ? 0 : it->second.backlog_s;
}

double FairQueue::CapacityShare(const Workspace& workspace) const {
  if (policy_ != QueuePolicy::kFairLeastAttained) return 1;
  const auto it = flows_.find(workspace.index);
  const bool backlogged = it != flows_.end() && !it->second.items.empty();
  const double total = backlogged_weight_ + (backlogged ? 0 : workspace.weight);
  return total <= 0 ? 1 : workspace.weight / total;
}

}  // namespace persimmonstair::routing
