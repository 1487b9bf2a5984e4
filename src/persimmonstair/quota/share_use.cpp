#include "persimmonstair/quota/share_use.hpp"

#include <algorithm>
#include <cmath>

namespace persimmonstair::quota {
namespace {

constexpr double kPpm = 1e-6;
constexpr double kMilli = 1000;
/// Shortest period over which demand is stated, in seconds.
constexpr double kMinDemandPeriod = 0.1;
/// Longest wait that a refusal states.
constexpr std::chrono::seconds kMaxRetryAfter{2};

}  // namespace

void ShareUse::Apply(base::TimePoint now, const schema::ShareTable& table) {
  if (table.round <= round_) return;
  round_ = table.round;
  default_share_ = 0;
  shares_.clear();
  for (const auto& holder : table.holders) {
    if (holder.instance == instance_) default_share_ = holder.default_ppm * kPpm;
  }
  for (const auto& grant : table.grants) {
    if (grant.instance == instance_) shares_[grant.workspace] = grant.ppm * kPpm;
  }
  if (demand_since_ == base::TimePoint{}) demand_since_ = now;
}

void ShareUse::OnReported(base::TimePoint sent_at) {
  reported_ = true;
  reported_at_ = std::max(reported_at_, sent_at);
}

bool ShareUse::HasLease(base::TimePoint now) const {
  return reported_ && default_share_ > 0 && now - reported_at_ < kShareLease;
}

double ShareUse::ShareOf(const base::WorkspaceId& workspace) const {
  const auto it = shares_.find(workspace);
  return it == shares_.end() ? default_share_ : it->second;
}

AdmissionResult ShareUse::Admit(base::TimePoint now, const base::WorkspaceId& workspace,
                                const WorkspaceQuota& quota) {
  Use& use = uses_[workspace];
  ++use.offered;
  if (quota.rate_per_s <= 0) return {Admission::kAdmitted, {}};
  if (!HasLease(now)) return {Admission::kNoShare, {}};
  const double share = ShareOf(workspace);
  const double rate = quota.rate_per_s * share;
  // A bucket below one token could never admit a request.
  const double capacity = std::max(quota.burst * share, 1.0);
  if (use.bucket.Rate() != rate || use.bucket.Capacity() != capacity) {
    use.bucket.SetLimits(now, rate, capacity);
  }
  const double level = use.bucket.Level(now);
  if (level >= 1) {
    use.bucket.Take(1);
    return {Admission::kAdmitted, {}};
  }
  base::Duration wait = kMaxRetryAfter;
  if (rate > 0) {
    const double seconds = std::min((1 - level) / rate, base::ToSeconds(kMaxRetryAfter));
    wait = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
  }
  return {Admission::kOverQuota, wait};
}

void ShareUse::Refund(base::TimePoint now, const base::WorkspaceId& workspace) {
  const auto it = uses_.find(workspace);
  if (it != uses_.end()) it->second.bucket.Put(now, 1);
}

std::vector<schema::WorkspaceDemand> ShareUse::TakeDemand(base::TimePoint now) {
  const double period = std::max(base::ToSeconds(now - demand_since_), kMinDemandPeriod);
  demand_since_ = now;
  std::vector<schema::WorkspaceDemand> demands;
  for (auto& [workspace, use] : uses_) {
    if (use.offered == 0) continue;
    const double milli = static_cast<double>(use.offered) * kMilli / period;
    demands.push_back({workspace, static_cast<std::uint64_t>(std::llround(milli))});
    use.offered = 0;
  }
  return demands;
}

}  // namespace persimmonstair::quota
