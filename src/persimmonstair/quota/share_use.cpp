#include "persimmonstair/quota/share_use.hpp"

#include <algorithm>
#include <cmath>

#include "persimmonstair/quota/home.hpp"

namespace persimmonstair::quota {
namespace {

/// Tokens a second below which a share is of no use.
constexpr double kLeastRate = 1e-3;
/// Longer than any request waits.
constexpr std::chrono::hours kNever{1};

}  // namespace

void ShareUse::Apply(const schema::ShareTable& table) {
  if (table.round <= table_.round) return;
  table_ = table;
  holder_ = std::any_of(table.holders.begin(), table.holders.end(),
                        [this](const auto& one) { return one.instance == instance_; });
}

void ShareUse::OnReported(base::TimePoint sent_at) {
  reported_ = true;
  reported_at_ = std::max(reported_at_, sent_at);
}

bool ShareUse::HasLease(base::TimePoint now) const {
  return reported_ && holder_ && now - reported_at_ < kShareLease;
}

double ShareUse::Share(const base::WorkspaceId& workspace) const {
  return ShareOf(table_, workspace, instance_);
}

bool ShareUse::TakeOwn(base::TimePoint now, const base::WorkspaceId& workspace,
                       const WorkspaceQuota& quota, double spare) {
  if (!HasLease(now)) return false;
  Use& use = uses_[workspace];
  if (Refill(now, workspace, quota, use) < 1 + spare) return false;
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
  if (!HasLease(now)) return kNever;
  Use& use = uses_[workspace];
  const double missing = tokens - Refill(now, workspace, quota, use);
  if (missing <= 0) return {};
  if (use.bucket.Rate() < kLeastRate) return kNever;
  const double seconds = missing / use.bucket.Rate();
  return std::chrono::ceil<base::Duration>(std::chrono::duration<double>(seconds));
}

double ShareUse::Refill(base::TimePoint now, const base::WorkspaceId& workspace,
                        const WorkspaceQuota& quota, Use& use) const {
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

void ShareUse::Borrow(base::TimePoint now, const base::WorkspaceId& workspace, double tokens,
                      base::TimePoint until) {
  if (tokens < 1 || until <= now) return;
  uses_[workspace].borrowed.push_back({tokens, until});
}

bool ShareUse::LendOne(base::TimePoint now, const base::WorkspaceId& workspace,
                       const WorkspaceQuota& quota, double spare, base::TimePoint until) {
  if (!HasLease(now)) return false;
  Use& use = uses_[workspace];
  if (Refill(now, workspace, quota, use) < 1 + spare) return false;
  use.bucket.Lend(1, until);
  return true;
}

}  // namespace persimmonstair::quota
