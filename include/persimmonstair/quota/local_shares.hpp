#ifndef PERSIMMONSTAIR_QUOTA_LOCAL_SHARES_HPP_
#define PERSIMMONSTAIR_QUOTA_LOCAL_SHARES_HPP_

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/limits/bucket.hpp"
#include "persimmonstair/quota/rate_limit.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::quota {

/// Time for which an instance may use its shares after its last schema::ShareReport. It exceeds the
/// longest store outage during which requests must still be served.
inline constexpr std::chrono::seconds kShareLease{13};

/// @brief The shares of the workspaces' rates that one instance holds, and the tokens that it
/// borrowed.
///
/// Times must come from a clock that also advances while the machine is suspended, because another
/// instance may use the shares once the lease has ended.
///
///     LocalShares shares({"i1"});
///     shares.Apply(table);
///     shares.OnReportStored(now);
///     if (shares.TakeOwn(now, workspace, quota, 0)) Serve();
class LocalShares {
 public:
  explicit LocalShares(base::InstanceId instance) : instance_(std::move(instance)) {}

  /// Applies the table of a newer round and ignores older ones. The bucket of a new share starts
  /// empty, because its previous holder may have used the tokens already.
  void Apply(const schema::ShareTable& table);

  /// Renews the lease from `sent_at` on. To be called when the store has acknowledged a report that
  /// was sent at this time.
  void OnReportStored(base::TimePoint sent_at);

  /// True while this instance may use its shares: it is a holder in the newest table and its last
  /// report isn't older than kShareLease.
  bool HasLease(base::TimePoint now) const;

  /// Takes one token of the local share if at least `min_remaining` tokens remain after it. Returns
  /// false if there are too few or if there is no lease.
  bool TakeOwn(base::TimePoint now, const base::WorkspaceId& workspace, const RateLimit& quota,
               double min_remaining);
  /// Takes one borrowed token; returns false if there is none.
  bool TakeBorrowed(base::TimePoint now, const base::WorkspaceId& workspace);

  /// Returns the time until the local share has `tokens`, or 1 h if it never will.
  base::Duration TimeUntilAvailable(base::TimePoint now, const base::WorkspaceId& workspace,
                                    const RateLimit& quota, double tokens);

  /// Adds tokens that another instance lent. They expire at `until`.
  void Borrow(base::TimePoint now, const base::WorkspaceId& workspace, double tokens,
              base::TimePoint until);

  /// Like TakeOwn(), but lends the token to another instance until `until`.
  bool LendOne(base::TimePoint now, const base::WorkspaceId& workspace, const RateLimit& quota,
               double min_remaining, base::TimePoint until);

  /// Ends a loan of LendOne() early, because the other instance has used the token.
  void EndLoan(base::TimePoint now, const base::WorkspaceId& workspace, base::TimePoint until);

  /// Returns true if there is a borrowed token that may be used.
  bool HasBorrowed(base::TimePoint now, const base::WorkspaceId& workspace) const;

  /// Round of the share table in use; 0 before the first.
  std::uint64_t Round() const { return table_.round; }

  /// Returns the share of a workspace's rate that this instance may use, 0 to 1.
  double Share(const base::WorkspaceId& workspace) const;

 private:
  /// Tokens borrowed from another instance.
  struct Loan {
    double tokens = 0;
    base::TimePoint until;
  };
  /// This instance's tokens of one workspace.
  struct WorkspaceUse {
    limits::Bucket bucket;
    /// Cached share, valid for the table of `share_round`.
    double share = 0;
    std::uint64_t share_round = 0;
    /// In the order in which the tokens were borrowed.
    std::deque<Loan> borrowed;
  };

  /// Sets the bucket's limits by the current share and returns the tokens in it.
  double Refill(base::TimePoint now, const base::WorkspaceId& workspace, const RateLimit& quota,
                WorkspaceUse& use) const;

  base::InstanceId instance_;
  schema::ShareTable table_;
  /// True once a report was stored.
  bool reported_ = false;
  /// Time at which the last stored report was sent.
  base::TimePoint reported_at_;
  /// True if the table lists this instance as a holder.
  bool is_holder_ = false;
  std::unordered_map<base::WorkspaceId, WorkspaceUse> workspace_uses_;
};

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_LOCAL_SHARES_HPP_
