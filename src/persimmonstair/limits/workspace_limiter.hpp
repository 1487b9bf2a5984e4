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

/// @brief State that all workspace limiters of one instance share.
struct LimiterContext {
  LimiterContext(base::InstanceId self_id, std::string process_name, std::uint64_t seed,
                 LimiterOptions options_in, LimiterFaults faults_in)
      : self(std::move(self_id)),
        process(std::move(process_name)),
        options(options_in),
        faults(faults_in),
        reserved_shares(self, faults.ignore_reserved_share_versions),
        random(seed),
        // The start value differs between processes, so that two processes under one instance id
        // do not accept each other's loans.
        last_nonce(base::RendezvousWeight(process, "loan")) {}

  base::InstanceId self;
  std::string process;
  LimiterOptions options;
  LimiterFaults faults;
  membership::LeaseView lease;
  ShareTable table;
  ReservedShares reserved_shares;
  std::mt19937_64 random;
  /// Registered instances other than this one.
  std::vector<base::InstanceId> peers;
  /// Lenders that did not answer, and until when they are skipped.
  std::map<base::InstanceId, base::TimePoint> unresponsive_until;
  LimiterCounters counters;
  std::uint64_t last_id = 0;
  std::uint64_t last_nonce;
  bool leaving = false;

  /// Both checks can be turned off by LimiterFaults::no_lease_check.
  bool ReservedShareUsable(base::TimePoint now) const;
  bool LeaseValid(base::TimePoint now) const;
  base::RecordId NextId();
  /// A random number in [0, below); 0 if `below` is 0.
  std::size_t Random(std::size_t below);
};

/// @brief Rate limiter of one instance for one workspace: token buckets, queued requests, loans and
/// share moves.
class WorkspaceLimiter {
 public:
  WorkspaceLimiter(LimiterContext& context, base::WorkspaceId id)
      : context_(context), id_(std::move(id)) {}

  void SetLimit(base::TimePoint now, const Limit& limit);
  /// Sets rate and capacity of the buckets to the shares that apply now.
  void ApplyShares(base::TimePoint now);
  /// To be called for a new incarnation: empties the buckets and forgets a pending move.
  void Restart(base::TimePoint now);

  AdmitResult Admit(base::TimePoint now, base::RequestId request);
  void Cancel(base::RequestId request);
  LimiterOutput RefuseAll();
  /// Admits and refuses queued requests and sends the next loan request if one is due.
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

  /// Updates the measured demand. If `may_move`, moves at most one share to the instance that
  /// borrows most.
  LimiterOutput Balance(base::TimePoint now, const membership::Registry& registry, bool may_move);
  /// Claims the unheld leased shares if this instance has demand.
  LimiterOutput Claim(base::TimePoint now);
  /// Moves the whole leased share to `new_holder`.
  LimiterOutput MoveAllShares(base::TimePoint now, const membership::Registry& registry,
                              const base::InstanceId& new_holder);
  /// To be called when the share table has changed this instance's share.
  void OnShareChange(base::TimePoint now, const ShareChange& change);
  /// To be called when a ShareMove or a renewal of this instance was read from the log. Decides the
  /// pending move; `changed_table` is false for a move that was invalid.
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
  /// A ShareMove of this instance that was not read back yet. Its share and tokens are not used.
  struct PendingMove {
    base::RecordId id;
    std::uint32_t ppm = 0;
    double tokens = 0;
    std::uint64_t sequence = 0;
    base::TimePoint sent;
  };

  /// Takes one token, from loans and own buckets together. Returns false if there is less than one.
  bool TakeOne(base::TimePoint now);
  void AdmitQueued(base::TimePoint now, LimiterOutput& out);
  void RefuseExpired(base::TimePoint now, LimiterOutput& out);
  base::Duration RetryAfter() const;
  void Borrow(base::TimePoint now, LimiterOutput& out);
  void StartLoanRound(base::TimePoint now);
  void EndLoanRound(base::TimePoint now);
  void SendLoanRequest(base::TimePoint now, const base::InstanceId& lender, LimiterOutput& out);
  /// Lenders for a new round, the first one to ask last.
  std::vector<base::InstanceId> Lenders(base::TimePoint now);
  double LoanTokens() const;
  void DropExpiredLoans(base::TimePoint now);
  void UpdateDemand(base::TimePoint now);
  /// Instance that borrows most and may hold a leased share, with its borrowed tokens per second.
  std::optional<std::pair<base::InstanceId, double>> TopBorrower(
      const membership::Registry& registry) const;
  /// Leased share of this instance in millionths, without a pending move.
  std::uint32_t LeasedPpm() const;
  /// Part of the leased share, in millionths, to move to a borrower with this demand.
  std::uint32_t PpmToGive(double borrower_per_s) const;
  LimiterOutput Move(base::TimePoint now, const membership::Registry& registry,
                     const base::InstanceId& to, std::uint32_t ppm);
  /// Takes back share and tokens of a pending move that did not take effect.
  void RevertPendingMove(base::TimePoint now);

  LimiterContext& context_;
  base::WorkspaceId id_;
  Limit limit_;
  Bucket reserved_;
  Bucket leased_;
  double reserved_share_ = 0;
  double leased_share_ = 0;

  std::deque<QueuedRequest> queued_requests_;
  std::vector<Loan> loans_;
  /// Loan requests whose answer would still be accepted.
  std::vector<PendingLoanRequest> open_loan_requests_;
  /// Request whose answer is awaited before the next lender is asked.
  std::optional<PendingLoanRequest> loan_request_;
  /// Lenders not yet asked in this round, the next one last.
  std::vector<base::InstanceId> lenders_to_ask_;
  bool loan_round_open_ = false;
  bool loan_round_got_tokens_ = false;
  base::TimePoint next_loan_round_;
  base::Duration backoff_{0};
  base::InstanceId last_lender_;

  std::uint64_t arrivals_ = 0;
  double demand_per_s_ = 0;
  base::TimePoint demand_at_;
  /// Tokens lent to each borrower. The sums decay in every balance period.
  std::map<base::InstanceId, double> lent_to_;
  std::optional<PendingMove> pending_;
  base::TimePoint next_claim_;
  bool claim_planned_ = false;
};

}  // namespace persimmonstair::limits

#endif  // PERSIMMONSTAIR_LIMITS_WORKSPACE_LIMITER_HPP_
