#include "persimmonstair/quota/local_shares.hpp"

#include <algorithm>
#include <cmath>

#include "persimmonstair/quota/coordinator.hpp"

namespace persimmonstair::quota {
namespace {

/// Rate in tokens per second below which a share counts as empty.
constexpr double kMinRatePerS = 1e-3;
/// Longer than any request may wait.
constexpr std::chrono::hours kNever{1};

}  // namespace

void LocalShares::Apply(const schema::ShareTable& table) {
  if (table.round <= table_.round) return;
  table_ = table;
  is_holder_ = std::any_of(table.holders.begin(), table.holders.end(),
                           [this](const auto& one) { return one.instance == instance_; });
}

void LocalShares::OnReportStored(base::TimePoint sent_at) {
  reported_ = true;
  reported_at_ = std::max(reported_at_, sent_at);
}

bool LocalShares::HasLease(base::TimePoint now) const {
  return reported_ && is_holder_ && now - reported_at_ < kShareLease;
}

double LocalShares::Share(const base::WorkspaceId& workspace) const {
  return ShareOf(table_, workspace, instance_);
}

bool LocalShares::TakeOwn(base::TimePoint now, const base::WorkspaceId& workspace,
                          const RateLimit& quota, double min_remaining) {
  if (!HasLease(now)) return false;
  WorkspaceUse& use = workspace_uses_[workspace];
  if (Refill(now, workspace, quota, use) < 1 + min_remaining) return false;
  use.bucket.Take(1);
  return true;
}

bool LocalShares::TakeBorrowed(base::TimePoint now, const base::WorkspaceId& workspace) {
  auto& borrowed = workspace_uses_[workspace].borrowed;
  while (!borrowed.empty() && (borrowed.front().until <= now || borrowed.front().tokens < 1)) {
    borrowed.pop_front();
  }
  if (borrowed.empty()) return false;
  borrowed.front().tokens -= 1;
  return true;
}

base::Duration LocalShares::TimeUntilAvailable(base::TimePoint now,
                                               const base::WorkspaceId& workspace,
                                               const RateLimit& quota, double tokens) {
  if (!HasLease(now)) return kNever;
  WorkspaceUse& use = workspace_uses_[workspace];
  const double missing = tokens - Refill(now, workspace, quota, use);
  if (missing <= 0) return {};
  if (use.bucket.Rate() < kMinRatePerS) return kNever;
  const double seconds = missing / use.bucket.Rate();
  return std::chrono::ceil<base::Duration>(std::chrono::duration<double>(seconds));
}

double LocalShares::Refill(base::TimePoint now, const base::WorkspaceId& workspace,
                           const RateLimit& quota, WorkspaceUse& use) const {
  if (use.share_round != table_.round) {
    use.share = Share(workspace);
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

void LocalShares::Borrow(base::TimePoint now, const base::WorkspaceId& workspace, double tokens,
                         base::TimePoint until) {
  if (tokens < 1 || until <= now) return;
  workspace_uses_[workspace].borrowed.push_back({tokens, until});
}

bool LocalShares::LendOne(base::TimePoint now, const base::WorkspaceId& workspace,
                          const RateLimit& quota, double min_remaining, base::TimePoint until) {
  if (!HasLease(now)) return false;
  WorkspaceUse& use = workspace_uses_[workspace];
  if (Refill(now, workspace, quota, use) < 1 + min_remaining) return false;
  use.bucket.Lend(1, until);
  return true;
}

void LocalShares::EndLoan(base::TimePoint now, const base::WorkspaceId& workspace,
                          base::TimePoint until) {
  const auto it = workspace_uses_.find(workspace);
  if (it != workspace_uses_.end()) it->second.bucket.EndLoan(now, 1, until);
}

bool LocalShares::HasBorrowed(base::TimePoint now, const base::WorkspaceId& workspace) const {
  const auto it = workspace_uses_.find(workspace);
  if (it == workspace_uses_.end()) return false;
  const auto& borrowed = it->second.borrowed;
  return std::any_of(borrowed.begin(), borrowed.end(),
                     [now](const Loan& one) { return one.until > now && one.tokens >= 1; });
}

}  // namespace persimmonstair::quota
