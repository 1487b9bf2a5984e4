#include "persimmonstair/quota/admission_queue.hpp"

#include <algorithm>

namespace persimmonstair::quota {
namespace {

/// Fraction of a burst that is reserved for programs under way. A program sends about ten more
/// requests soon after its first one.
constexpr double kReservedBurstFraction = 0.25;
/// Bounds of the retry time in a refusal.
constexpr std::chrono::milliseconds kMinRetryAfter{20};
constexpr std::chrono::seconds kMaxRetryAfter{2};

AdmissionResult Refuse(base::Duration wait) {
  wait = std::clamp<base::Duration>(wait, kMinRetryAfter, kMaxRetryAfter);
  return {Admission::kOverQuota, wait};
}

std::size_t QueueOf(ProgramStage stage) { return stage == ProgramStage::kUnderWay ? 0 : 1; }

}  // namespace

double AdmissionQueue::MinRemaining(const base::WorkspaceId& workspace,
                                    const WorkspaceQueue& workspace_queue,
                                    ProgramStage stage) const {
  if (stage == ProgramStage::kUnderWay) return 0;
  const double burst = workspace_queue.quota.burst * shares_.Share(workspace);
  return std::clamp(kReservedBurstFraction * burst, 0.0, std::max(0.0, burst - 1));
}

bool AdmissionQueue::Take(base::TimePoint now, const base::WorkspaceId& workspace,
                          const WorkspaceQueue& workspace_queue, const TokenDemand& demand) {
  const double min_remaining = MinRemaining(workspace, workspace_queue, demand.stage);
  if (demand.requester == TokenRequester::kPeerInstance) {
    return shares_.LendOne(now, workspace, workspace_queue.quota, min_remaining,
                           now + kLendDuration);
  }
  return shares_.TakeBorrowed(now, workspace) ||
         shares_.TakeOwn(now, workspace, workspace_queue.quota, min_remaining);
}

base::Duration AdmissionQueue::EstimateWait(base::TimePoint now, const base::WorkspaceId& workspace,
                                            const WorkspaceQueue& workspace_queue,
                                            ProgramStage stage, std::size_t ahead) {
  const double min_remaining = MinRemaining(workspace, workspace_queue, stage);
  return shares_.TimeUntilAvailable(now, workspace, workspace_queue.quota,
                                    min_remaining + static_cast<double>(ahead + 1));
}

std::optional<AdmissionResult> AdmissionQueue::Ask(base::TimePoint now,
                                                   const base::WorkspaceId& workspace,
                                                   const WorkspaceQuota& quota,
                                                   const TokenDemand& demand) {
  if (quota.rate_per_s <= 0) return AdmissionResult{Admission::kAdmitted, {}};
  const bool asks_peers = demand.requester == TokenRequester::kLocalCallerAskingPeers;
  if (!asks_peers && !shares_.HasLease(now)) return AdmissionResult{Admission::kNoShare, {}};
  WorkspaceQueue& workspace_queue = workspace_queues_[workspace];
  workspace_queue.quota = quota;
  std::size_t ahead = workspace_queue.queues[0].size();
  if (demand.stage == ProgramStage::kBegins) ahead += workspace_queue.queues[1].size();
  if (ahead == 0 && Take(now, workspace, workspace_queue, demand)) {
    return AdmissionResult{Admission::kAdmitted, {}};
  }
  const base::Duration wait = EstimateWait(now, workspace, workspace_queue, demand.stage, ahead);
  if (!asks_peers && wait > demand.max_wait) return Refuse(wait);
  workspace_queue.queues[QueueOf(demand.stage)].push_back({demand, now + demand.max_wait});
  return std::nullopt;
}

std::optional<AdmissionResult> AdmissionQueue::OnNoRemoteToken(base::TimePoint now,
                                                               const base::WorkspaceId& workspace,
                                                               std::uint64_t id,
                                                               base::Duration peer_retry_after) {
  WorkspaceQueue& workspace_queue = workspace_queues_[workspace];
  std::size_t ahead = 0;
  for (auto& queue : workspace_queue.queues) {
    for (auto it = queue.begin(); it != queue.end(); ++it, ++ahead) {
      if (it->demand.id != id) continue;
      it->demand.requester = TokenRequester::kLocalCaller;
      const base::Duration wait =
          EstimateWait(now, workspace, workspace_queue, it->demand.stage, ahead);
      if (now + wait <= it->until) return std::nullopt;
      queue.erase(it);
      return Refuse(std::min(wait, peer_retry_after));
    }
  }
  return std::nullopt;
}

void AdmissionQueue::Withdraw(const base::WorkspaceId& workspace, std::uint64_t id) {
  for (auto& queue : workspace_queues_[workspace].queues) {
    std::erase_if(queue, [id](const QueuedRequest& one) { return one.demand.id == id; });
  }
}

std::vector<Decision> AdmissionQueue::Serve(base::TimePoint now) {
  std::vector<Decision> out;
  for (auto& [workspace, workspace_queue] : workspace_queues_) {
    if (!workspace_queue.Empty()) ServeWorkspace(now, workspace, workspace_queue, out);
  }
  return out;
}

void AdmissionQueue::ServeWorkspace(base::TimePoint now, const base::WorkspaceId& workspace,
                                    WorkspaceQueue& workspace_queue, std::vector<Decision>& out) {
  std::size_t ahead = 0;
  for (auto& queue : workspace_queue.queues) {
    for (auto it = queue.begin(); it != queue.end();) {
      const TokenDemand& demand = it->demand;
      // Borrowed tokens can't be lent on, so a local caller may get one before an instance ahead of
      // it.
      if (it->until > now && Take(now, workspace, workspace_queue, demand)) {
        out.push_back({demand.id, {Admission::kAdmitted, {}}});
        it = queue.erase(it);
      } else if (it->until <= now) {
        out.push_back({demand.id,
                       Refuse(EstimateWait(now, workspace, workspace_queue, demand.stage, ahead))});
        it = queue.erase(it);
      } else {
        ++ahead;
        ++it;
      }
    }
  }
}

std::optional<base::TimePoint> AdmissionQueue::NextServeTime(base::TimePoint now) {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](base::TimePoint at) { next = next ? std::min(*next, at) : at; };
  for (const auto& [workspace, workspace_queue] : workspace_queues_) {
    if (workspace_queue.Empty()) continue;
    for (const auto& queue : workspace_queue.queues) {
      if (queue.empty()) continue;
      consider(now + EstimateWait(now, workspace, workspace_queue, queue.front().demand.stage, 0));
      for (const QueuedRequest& one : queue) consider(one.until);
    }
  }
  return next;
}

}  // namespace persimmonstair::quota
