#ifndef PERSIMMONSTAIR_QUOTA_LOCAL_SHARES_HPP_
#define PERSIMMONSTAIR_QUOTA_LOCAL_SHARES_HPP_

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/limits/bucket.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::quota {

/// Time after its last report during which an instance uses its shares. It exceeds the longest
/// outage of the store that is to be served through.
inline constexpr std::chrono::seconds kShareLease{13};

/// @brief Rate and burst of a workspace over the whole fleet; a rate of 0 means no limit.
struct WorkspaceQuota {
  double rate_per_s = 0;
  double burst = 0;
};

/// @brief What one instance uses of the workspaces' rates.
///
/// Times are those of a clock that counts suspended time, because another instance may use the
/// shares after the lease.
///
///     LocalShares use({"i1"});
///     use.Apply(table);
///     use.OnReportStored(now);
///     if (use.TakeOwn(now, workspace, quota)) Serve();
class LocalShares {
 public:
  explicit LocalShares(base::InstanceId instance) : instance_(std::move(instance)) {}

  /// Takes the shares of a newer round into use. Buckets of new shares start empty.
  void Apply(const schema::ShareTable& table);

  /// A report that was sent at `sent_at` is in the store; it extends the lease from then on.
  void OnReportStored(base::TimePoint sent_at);

  /// True while this instance may use shares at all.
  bool HasLease(base::TimePoint now) const;

  /// Takes one token out of the own share if `spare` tokens are left then. False if there is none,
  /// or no lease.
  bool TakeOwn(base::TimePoint now, const base::WorkspaceId& workspace, const WorkspaceQuota& quota,
               double min_remaining);
  /// Takes one token out of those that other instances lent.
  bool TakeBorrowed(base::TimePoint now, const base::WorkspaceId& workspace);

  /// Time after which the own share has `tokens`; long if it never will.
  base::Duration TimeUntil(base::TimePoint now, const base::WorkspaceId& workspace,
                           const WorkspaceQuota& quota, double tokens);

  /// Adds tokens that another instance lent; they are gone at `until`.
  void Borrow(base::TimePoint now, const base::WorkspaceId& workspace, double tokens,
              base::TimePoint until);

  /// As TakeOwn(), for another instance, which may use the token until `until`.
  bool LendOne(base::TimePoint now, const base::WorkspaceId& workspace, const WorkspaceQuota& quota,
               double min_remaining, base::TimePoint until);

  std::uint64_t Round() const { return table_.round; }

  /// Part of a workspace's rate that this instance may use, 0 to 1.
  double Share(const base::WorkspaceId& workspace) const;

 private:
  struct Loan {
    double tokens = 0;
    base::TimePoint until;
  };
  struct WorkspaceUse {
    limits::Bucket bucket;
    /// Share under the round in which it was computed.
    double share = 0;
    std::uint64_t share_round = 0;
    /// Soonest end first.
    std::deque<Loan> borrowed;
  };

  /// Brings the bucket in line with the share.
  double Refill(base::TimePoint now, const base::WorkspaceId& workspace,
                const WorkspaceQuota& quota, WorkspaceUse& use) const;

  base::InstanceId instance_;
  schema::ShareTable table_;
  bool reported_ = false;
  base::TimePoint reported_at_;
  bool is_holder_ = false;
  std::unordered_map<base::WorkspaceId, WorkspaceUse> workspace_uses_;
};

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_LOCAL_SHARES_HPP_
