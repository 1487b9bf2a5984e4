#ifndef PERSIMMONSTAIR_LIMITS_WORKSPACE_LIMITER_HPP_
#define PERSIMMONSTAIR_LIMITS_WORKSPACE_LIMITER_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/rendezvous.hpp"
#include "persimmonstair/limits/bucket.hpp"
#include "persimmonstair/limits/limiter.hpp"
#include "reserved_shares.hpp"

namespace persimmonstair::limits {

/// @brief What all workspaces of one instance share.
struct LimiterContext {
  LimiterContext(base::InstanceId self_id, std::string process_name, std::uint64_t seed,
                 LimiterOptions options_in, LimiterFaults faults_in)
      : self(std::move(self_id)),
        process(std::move(process_name)),
        options(options_in),
        faults(faults_in),
        reserved_shares(self, faults.ignore_reserved_share_versions),
        random(seed),
        // Two processes under one id must not take each other's loans.
        last_nonce(base::RendezvousWeight(process, "loan")) {}

  base::InstanceId self;
  std::string process;
  LimiterOptions options;
  LimiterFaults faults;
  membership::LeaseView lease;
  ShareTable table;
  ReservedShares reserved_shares;
  std::mt19937_64 random;
  /// Other registered instances.
  std::vector<base::InstanceId> peers;
  /// Lenders that did not answer, with the end of the time for which they are passed over.
  std::map<base::InstanceId, base::TimePoint> unresponsive_until;
  LimiterCounters counters;
  std::uint64_t last_id = 0;
  std::uint64_t last_nonce;
  bool leaving = false;

  bool ReservedShareUsable(base::TimePoint now) const;
  bool LeaseValid(base::TimePoint now) const;
  base::RecordId NextId();
  std::size_t Random(std::size_t below);
};

/// @brief One workspace's buckets, waiting requests, loans and shares in one instance.
class WorkspaceLimiter {
 public:
  WorkspaceLimiter(LimiterContext& context, base::WorkspaceId id)
      : context_(context), id_(std::move(id)) {}

  void SetLimit(base::TimePoint now, const Limit& limit);
  /// Applies the shares in force now to the buckets.
  void ApplyShares(base::TimePoint now);
  /// A new incarnation starts with empty buckets and without a move on its way.
  void Restart(base::TimePoint now);

  AdmitResult Admit(base::TimePoint now, base::RequestId request);
  void Cancel(base::RequestId request);
  LimiterOutput RefuseAll();
  /// Serves and refuses waiting requests and goes on asking for loans.
  LimiterOutput ProcessQueue(base::TimePoint now);
  bool HasQueuedRequests() const { return !queued_requests_.empty(); }
  std::size_t QueuedCount() const { return queued_requests_.size(); }
  base::TimePoint NextDeadline() const;

  LimiterOutput OnLoanRequest(base::TimePoint now, const base::InstanceId& from,
                              const schema::TokenLoanRequest& request);
  LimiterOutput OnLoan(base::TimePoint now, const base::InstanceId& from,
                       const schema::TokenLoan& loan);
  LimiterOutput OnLoanRequestFailed(base::TimePoint now, const base::InstanceId& to,
                                    std::uint64_t nonce);

  /// Looks at the demand of the last period. Moves at most one share, if `may_move`.
  LimiterOutput Balance(base::TimePoint now, const membership::Registry& registry, bool may_move);
  /// Takes shares that nobody holds, if this instance has demand for them.
  LimiterOutput Claim(base::TimePoint now);
  LimiterOutput MoveAllShares(base::TimePoint now, const membership::Registry& registry,
                              const base::InstanceId& new_holder);
  /// The share table changed this instance's share.
  void OnShareChange(base::TimePoint now, const ShareChange& change);
  /// A record of this instance was read: a share record or a renewal.
  void OnOwnRecord(base::TimePoint now, const schema::Record& record, bool changed_table);
  void OnNotAppended(base::TimePoint now, const base::RecordId& id);
  SharesInUse Shares(base::TimePoint now);
  double Available(base::TimePoint now);

 private:
  struct QueuedRequest {
    base::RequestId request;
    base::TimePoint deadline;
  };
  struct PendingLoanRequest {
    std::uint64_t nonce = 0;
    base::InstanceId lender;
    base::TimePoint sent;
  };
  struct Loan {
    double tokens = 0;
    base::TimePoint until;
  };
  struct PendingMove {
    base::RecordId id;
    std::uint32_t ppm = 0;
    double tokens = 0;
    std::uint64_t sequence = 0;
    base::TimePoint sent;
  };

  bool TakeOne(base::TimePoint now);
  void AdmitQueued(base::TimePoint now, LimiterOutput& out);
  void RefuseExpired(base::TimePoint now, LimiterOutput& out);
  base::Duration RetryAfter() const;
  void Borrow(base::TimePoint now, LimiterOutput& out);
  void StartLoanRound(base::TimePoint now);
  void EndLoanRound(base::TimePoint now);
  void SendLoanRequest(base::TimePoint now, const base::InstanceId& lender, LimiterOutput& out);
  std::vector<base::InstanceId> Lenders(base::TimePoint now);
  double LoanTokens() const;
  void DropExpiredLoans(base::TimePoint now);
  void UpdateDemand(base::TimePoint now);
  std::optional<std::pair<base::InstanceId, double>> TopBorrower(
      const membership::Registry& registry) const;
  std::uint32_t LeasedPpm() const;
  std::uint32_t PpmToGive(double borrower_per_s) const;
  LimiterOutput Move(base::TimePoint now, const membership::Registry& registry,
                     const base::InstanceId& to, std::uint32_t ppm);
  void RevertPendingMove(base::TimePoint now);

  LimiterContext& context_;
  base::WorkspaceId id_;
  Limit limit_;
  Bucket reserved_bucket_;
  Bucket leased_bucket_;
  double reserved_share_ = 0;
  double leased_share_ = 0;

  std::deque<QueuedRequest> queued_requests_;
  std::vector<Loan> loans_;
  /// Loan requests that may still be answered in time.
  std::vector<PendingLoanRequest> open_loan_requests_;
  std::optional<PendingLoanRequest> current_loan_request_;
  std::vector<base::InstanceId> lenders_to_ask_;
  bool loan_round_open_ = false;
  bool loan_round_got_tokens_ = false;
  base::TimePoint next_loan_round_;
  base::Duration backoff_{0};
  base::InstanceId last_lender_;

  std::uint64_t arrivals_ = 0;
  double demand_per_s_ = 0;
  base::TimePoint demand_at_;
  std::map<base::InstanceId, double> lent_to_;
  std::optional<PendingMove> pending_;
  base::TimePoint next_claim_;
  bool claim_planned_ = false;
};

}  // namespace persimmonstair::limits

#endif  // PERSIMMONSTAIR_LIMITS_WORKSPACE_LIMITER_HPP_
