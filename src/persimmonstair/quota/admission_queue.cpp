#include "persimmonstair/quota/admission_queue.hpp"

#include <algorithm>

namespace persimmonstair::quota {
namespace {

/// Time after a refusal in which programs under way come first; a bucket that lacks tokens gains
/// enough for some requests meanwhile.
constexpr std::chrono::milliseconds kScarceTime{300};
/// Bounds of the waits that refusals state.
constexpr std::chrono::milliseconds kMinRetryAfter{20};
constexpr std::chrono::seconds kMaxRetryAfter{2};

std::size_t QueueOf(ProgramStage stage) { return stage == ProgramStage::kUnderWay ? 0 : 1; }

}  // namespace

bool AdmissionQueue::Take(base::TimePoint now, const base::WorkspaceId& workspace, const Line& line,
                          Asker asker) {
  if (asker == Asker::kInstance) {
    return shares_.LendOne(now, workspace, line.quota, now + kLenderTime);
  }
  return shares_.TakeBorrowed(now, workspace) || shares_.TakeOwn(now, workspace, line.quota);
}

base::Duration AdmissionQueue::WaitBehind(base::TimePoint now, const base::WorkspaceId& workspace,
                                          const Line& line, std::size_t ahead) {
  return shares_.TimeTo(now, workspace, line.quota, static_cast<double>(ahead + 1));
}

AdmissionResult AdmissionQueue::Refuse(base::TimePoint now, Line& line, ProgramStage stage,
                                       base::Duration wait) {
  if (stage == ProgramStage::kUnderWay) line.scarce_until = now + kScarceTime;
  wait = std::clamp<base::Duration>(wait, kMinRetryAfter, kMaxRetryAfter);
  return {Admission::kOverQuota, wait};
}

std::optional<AdmissionResult> AdmissionQueue::Ask(base::TimePoint now,
                                                   const base::WorkspaceId& workspace,
                                                   const WorkspaceQuota& quota,
                                                   const TokenDemand& demand) {
  if (quota.rate_per_s <= 0) return AdmissionResult{Admission::kAdmitted, {}};
  if (!shares_.HasLease(now)) return AdmissionResult{Admission::kNoShare, {}};
  Line& line = lines_[workspace];
  line.quota = quota;
  if (demand.stage == ProgramStage::kBegins && now < line.scarce_until) {
    return Refuse(now, line, demand.stage, line.scarce_until - now);
  }
  std::size_t ahead = line.queues[0].size();
  if (demand.stage == ProgramStage::kBegins) ahead += line.queues[1].size();
  if (ahead == 0 && Take(now, workspace, line, demand.asker)) {
    return AdmissionResult{Admission::kAdmitted, {}};
  }
  const base::Duration wait = WaitBehind(now, workspace, line, ahead);
  if (demand.asker != Asker::kOwnCallerWithHelp && wait > demand.patience) {
    return Refuse(now, line, demand.stage, wait);
  }
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
      const base::Duration wait = WaitBehind(now, workspace, line, ahead);
      if (now + wait <= it->until) return std::nullopt;
      const ProgramStage stage = it->demand.stage;
      queue.erase(it);
      return Refuse(now, line, stage, std::min(wait, elsewhere_after));
    }
  }
  return std::nullopt;
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
      if (it->until > now && Take(now, workspace, line, demand.asker)) {
        out.push_back({demand.id, {Admission::kAdmitted, {}}});
        it = queue.erase(it);
      } else if (it->until <= now) {
        const base::Duration wait = WaitBehind(now, workspace, line, ahead);
        out.push_back({demand.id, Refuse(now, line, demand.stage, wait)});
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
    consider(now + shares_.TimeTo(now, workspace, line.quota, 1));
    for (const auto& queue : line.queues) {
      for (const Waiting& one : queue) consider(one.until);
    }
  }
  return next;
}

}  // namespace persimmonstair::quota
