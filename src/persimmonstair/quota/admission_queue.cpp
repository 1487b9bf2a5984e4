#include "persimmonstair/quota/admission_queue.hpp"

#include <algorithm>

namespace persimmonstair::quota {
namespace {

/// Part of a burst that new programs leave to those under way. A program needs about ten more
/// requests soon after its first one.
constexpr double kSparePart = 0.25;
/// Bounds of the waits that refusals state.
constexpr std::chrono::milliseconds kMinRetryAfter{20};
constexpr std::chrono::seconds kMaxRetryAfter{2};

AdmissionResult Refuse(base::Duration wait) {
  wait = std::clamp<base::Duration>(wait, kMinRetryAfter, kMaxRetryAfter);
  return {Admission::kOverQuota, wait};
}

std::size_t QueueOf(ProgramStage stage) { return stage == ProgramStage::kUnderWay ? 0 : 1; }

}  // namespace

double AdmissionQueue::Spare(const base::WorkspaceId& workspace, const Line& line,
                             ProgramStage stage) const {
  if (stage == ProgramStage::kUnderWay) return 0;
  const double burst = line.quota.burst * shares_.Share(workspace);
  return std::clamp(kSparePart * burst, 0.0, std::max(0.0, burst - 1));
}

bool AdmissionQueue::Take(base::TimePoint now, const base::WorkspaceId& workspace, const Line& line,
                          const TokenDemand& demand) {
  const double spare = Spare(workspace, line, demand.stage);
  if (demand.asker == Asker::kInstance) {
    return shares_.LendOne(now, workspace, line.quota, spare, now + kLenderTime);
  }
  return shares_.TakeBorrowed(now, workspace) || shares_.TakeOwn(now, workspace, line.quota, spare);
}

base::Duration AdmissionQueue::WaitBehind(base::TimePoint now, const base::WorkspaceId& workspace,
                                          const Line& line, ProgramStage stage, std::size_t ahead) {
  const double spare = Spare(workspace, line, stage);
  return shares_.TimeTo(now, workspace, line.quota, spare + static_cast<double>(ahead + 1));
}

std::optional<AdmissionResult> AdmissionQueue::Ask(base::TimePoint now,
                                                   const base::WorkspaceId& workspace,
                                                   const WorkspaceQuota& quota,
                                                   const TokenDemand& demand) {
  if (quota.rate_per_s <= 0) return AdmissionResult{Admission::kAdmitted, {}};
  const bool helped = demand.asker == Asker::kOwnCallerWithHelp;
  if (!helped && !shares_.HasLease(now)) return AdmissionResult{Admission::kNoShare, {}};
  Line& line = lines_[workspace];
  line.quota = quota;
  std::size_t ahead = line.queues[0].size();
  if (demand.stage == ProgramStage::kBegins) ahead += line.queues[1].size();
  if (ahead == 0 && Take(now, workspace, line, demand)) {
    return AdmissionResult{Admission::kAdmitted, {}};
  }
  const base::Duration wait = WaitBehind(now, workspace, line, demand.stage, ahead);
  if (!helped && wait > demand.patience) return Refuse(wait);
  line.queues[QueueOf(demand.stage)].push_back({demand, now + demand.patience});
  return std::nullopt;
}

std::optional<AdmissionResult> AdmissionQueue::OnNoHelp(base::TimePoint now,
                                                        const base::WorkspaceId& workspace,
                                                        std::uint64_t id,
                                                        base::Duration elsewhere_after) {
  Line& line = lines_[workspace];
  std::size_t ahead = 0;
  for (auto& queue : line.queues) {
    for (auto it = queue.begin(); it != queue.end(); ++it, ++ahead) {
      if (it->demand.id != id) continue;
      it->demand.asker = Asker::kOwnCaller;
      const base::Duration wait = WaitBehind(now, workspace, line, it->demand.stage, ahead);
      if (now + wait <= it->until) return std::nullopt;
      queue.erase(it);
      return Refuse(std::min(wait, elsewhere_after));
    }
  }
  return std::nullopt;
}

void AdmissionQueue::Withdraw(const base::WorkspaceId& workspace, std::uint64_t id) {
  for (auto& queue : lines_[workspace].queues) {
    std::erase_if(queue, [id](const Waiting& one) { return one.demand.id == id; });
  }
}

std::vector<Decision> AdmissionQueue::Serve(base::TimePoint now) {
  std::vector<Decision> out;
  for (auto& [workspace, line] : lines_) {
    if (!line.Empty()) ServeLine(now, workspace, line, out);
  }
  return out;
}

void AdmissionQueue::ServeLine(base::TimePoint now, const base::WorkspaceId& workspace, Line& line,
                               std::vector<Decision>& out) {
  std::size_t ahead = 0;
  for (auto& queue : line.queues) {
    for (auto it = queue.begin(); it != queue.end();) {
      const TokenDemand& demand = it->demand;
      // A borrowed token can't be lent on, so that an own caller may get one before an instance.
      if (it->until > now && Take(now, workspace, line, demand)) {
        out.push_back({demand.id, {Admission::kAdmitted, {}}});
        it = queue.erase(it);
      } else if (it->until <= now) {
        out.push_back({demand.id, Refuse(WaitBehind(now, workspace, line, demand.stage, ahead))});
        it = queue.erase(it);
      } else {
        ++ahead;
        ++it;
      }
    }
  }
}

std::optional<base::TimePoint> AdmissionQueue::NextAt(base::TimePoint now) {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](base::TimePoint at) { next = next ? std::min(*next, at) : at; };
  for (const auto& [workspace, line] : lines_) {
    if (line.Empty()) continue;
    for (const auto& queue : line.queues) {
      if (queue.empty()) continue;
      consider(now + WaitBehind(now, workspace, line, queue.front().demand.stage, 0));
      for (const Waiting& one : queue) consider(one.until);
    }
  }
  return next;
}

}  // namespace persimmonstair::quota
