#include "persimmonstair/quota/share_use.hpp"

#include <algorithm>
#include <cmath>

#include "persimmonstair/quota/home.hpp"

namespace persimmonstair::quota {
namespace {

constexpr double kPpm = 1e-6;
constexpr double kMilli = 1000;
/// Shortest period over which demand is stated, in seconds.
constexpr double kMinDemandPeriod = 0.1;
/// Tokens a second below which a share is of no use.
constexpr double kLeastRate = 1e-3;

}  // namespace

void ShareUse::Apply(base::TimePoint now, const schema::ShareTable& table) {
  if (table.round <= table_.round) return;
  table_ = table;
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
  const double dealt = default_share_ + (it == shares_.end() ? 0 : it->second);
  const bool home = HoldsHomePart(table_, workspace, instance_);
  return dealt * (1 - kHomePart) + (home ? kHomePart : 0);
}

bool ShareUse::TakeOwn(base::TimePoint now, const base::WorkspaceId& workspace,
                       const WorkspaceQuota& quota) {
  if (!HasLease(now)) return false;
  Use& use = uses_[workspace];
  if (Refill(now, workspace, quota, use) < 1) return false;
  use.bucket.Take(1);
  return true;
}

bool ShareUse::TakeBorrowed(base::TimePoint now, const base::WorkspaceId& workspace) {
  auto& borrowed = uses_[workspace].borrowed;
  while (!borrowed.empty() && (borrowed.front().until <= now || borrowed.front().tokens < 1)) {
    borrowed.pop_front();
  }
  if (borrowed.empty()) return false;
  borrowed.front().tokens -= 1;
  return true;
}

base::Duration ShareUse::TimeTo(base::TimePoint now, const base::WorkspaceId& workspace,
                                const WorkspaceQuota& quota, double tokens) {
  Use& use = uses_[workspace];
  const double missing = tokens - Refill(now, workspace, quota, use);
  if (missing <= 0) return {};
  const double seconds = missing / std::max(use.bucket.Rate(), kLeastRate);
  return std::chrono::ceil<base::Duration>(std::chrono::duration<double>(seconds));
}

double ShareUse::Refill(base::TimePoint now, const base::WorkspaceId& workspace,
                        const WorkspaceQuota& quota, Use& use) const {
  if (use.share_round != table_.round) {
    use.share = ShareOf(workspace);
    use.share_round = table_.round;
  }
  const double share = use.share;
  const double rate = quota.rate_per_s * share;
  const double capacity = quota.burst * share;
  if (use.bucket.Rate() != rate || use.bucket.Capacity() != capacity) {
    use.bucket.SetLimits(now, rate, capacity);
  }
  return use.bucket.Level(now);
}

void ShareUse::Borrow(base::TimePoint now, const base::WorkspaceId& workspace, double tokens,
                      base::TimePoint until) {
  if (tokens < 1 || until <= now) return;
  uses_[workspace].borrowed.push_back({tokens, until});
}

bool ShareUse::LendOne(base::TimePoint now, const base::WorkspaceId& workspace,
                       const WorkspaceQuota& quota, base::TimePoint until) {
  if (!HasLease(now)) return false;
  Use& use = uses_[workspace];
  if (Refill(now, workspace, quota, use) < 1) return false;
  use.bucket.Lend(1, until);
  return true;
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
