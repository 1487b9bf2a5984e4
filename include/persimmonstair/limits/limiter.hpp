#ifndef PERSIMMONSTAIR_LIMITS_LIMITER_HPP_
#define PERSIMMONSTAIR_LIMITS_LIMITER_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/limits/share_table.hpp"
#include "persimmonstair/membership/lease.hpp"
#include "persimmonstair/membership/registry.hpp"

namespace persimmonstair::limits {

/// @brief Rate limit of a workspace over the whole fleet.
struct Limit {
  /// Requests per second.
  double rate_per_s = 0;
  /// Capacity of the token bucket: requests that may arrive at once.
  double burst = 0;
};

/// @brief Settings of a limiter; all instances of the fleet must use the same.
struct LimiterOptions {
  /// A borrower may use a loan for this long after it sent the loan request.
  base::Duration loan_lifetime = std::chrono::milliseconds{100};
  /// Added to `loan_lifetime` by the lender, because clocks may run at different rates.
  base::Duration loan_margin = std::chrono::milliseconds{5};
  /// Longest time a request stays queued before it is refused.
  base::Duration queue_timeout = std::chrono::milliseconds{50};
  /// A lender that does not answer within this time is skipped.
  base::Duration loan_timeout = std::chrono::milliseconds{8};
  /// Requests that one workspace may have queued; further ones are refused at once.
  std::size_t max_queued_requests = 1'024;
  /// Instances asked for a loan in one round.
  std::size_t lenders_per_round = 12;
  /// Interval at which the limiter decides whether to move a part of its shares to other instances.
  base::Duration balance_period = std::chrono::seconds{1};
  /// Smallest share that is moved, in millionths. A smaller move does not justify a log record.
  std::uint32_t smallest_move_ppm = 20'000;
  /// Largest number of share records that one instance writes per balance period.
  double moves_per_period = 4;
  /// Share records that the whole fleet writes per balance period. Every instance reads all of
  /// them, so this budget is divided by the number of instances; demand beyond it is served by
  /// loans.
  double fleet_moves_per_period = 10;
};

/// @brief Fault injection for tests: each switch turns off one mechanism, to show that the tests
/// detect its absence.
struct LimiterFaults {
  bool no_lease_check = false;
  bool loan_used_twice = false;
  bool loan_never_expires = false;
  bool lent_tokens_free_capacity = false;
  bool keep_share_while_moving = false;
  bool restore_move_at_once = false;
  bool new_share_starts_full = false;
  bool ignore_reserved_share_versions = false;
};

/// @brief Whether a request may run now, waits for a token, or must be refused.
enum class Decision { kAdmitted, kEnqueued, kRefused };

/// @brief A refused request and the time after which a retry may succeed.
struct Refusal {
  base::RequestId request;
  base::Duration retry_after{0};
};

/// @brief Decision on one request.
struct Admission {
  Decision decision = Decision::kRefused;
  /// Only set for kRefused.
  base::Duration retry_after{0};
};

/// @brief Actions that the caller of a Limiter function has to carry out.
struct LimiterOutput {
  /// Records to append to the `control` stream, in this order.
  std::vector<schema::Record> records;
  std::vector<membership::OutgoingMessage> messages;
  /// Queued requests that may run now.
  std::vector<base::RequestId> admitted;
  /// Queued requests that got no token in time; to be refused with kRateLimited.
  std::vector<Refusal> refused;

  /// Appends the actions of another output.
  void Add(LimiterOutput other);
};

struct AdmitResult {
  Admission admission;
  LimiterOutput output;
};

/// @brief Counters since the start of the process, for metrics.
struct LimiterCounters {
  std::uint64_t admitted = 0;
  std::uint64_t admitted_with_loan = 0;
  std::uint64_t refused = 0;
  std::uint64_t loan_requests = 0;
  std::uint64_t loans_given = 0;
  /// Loans that expired before all their tokens were used.
  std::uint64_t loans_unused = 0;
  /// Share moves that this instance sent to the log.
  std::uint64_t moves = 0;
  /// Share moves of this instance that had no effect, for example because its lease had changed.
  std::uint64_t moves_invalid = 0;
};

/// @brief Shares of a workspace's limits that an instance may use now, in millionths. The
/// reserved share is fixed by the catalogue and may be used without a lease. The leased share moves
/// between instances and may be used only during this instance's lease.
struct SharesInUse {
  std::uint32_t reserved_ppm = 0;
  std::uint32_t leased_ppm = 0;
};

class WorkspaceLimiter;

/// @brief Rate limiter of one instance for all workspaces.
///
/// Each instance holds a share of every workspace's rate and burst and admits requests from its own
/// token buckets. A request without a token is queued for a short time, while the limiter borrows
/// tokens from other instances. Shares move to instances that borrow often.
///
///     Limiter limiter{self, process, seed};
///     limiter.SetLimit(now, workspace, Limit{5, 10});
///     limiter.SetLease(now, lease_manager.View());
///     auto [admission, output] = limiter.Admit(now, workspace, request);
///
/// A request takes its token when Admit() returns kAdmitted or when it appears in
/// LimiterOutput::admitted.
class Limiter {
 public:
  /// `process` must differ for each start of the instance, because record ids contain it. `seed` is
  /// that of the random numbers.
  Limiter(base::InstanceId self, std::string process, std::uint64_t seed,
          LimiterOptions options = {}, LimiterFaults faults = {});
  ~Limiter();
  Limiter(Limiter&&) noexcept;
  Limiter& operator=(Limiter&&) noexcept;

  /// @brief Adds a workspace or changes its limits. Shares stay the same.
  void SetLimit(base::TimePoint now, const base::WorkspaceId& workspace, const Limit& limit);
  /// @brief Removes a workspace and refuses its queued requests.
  LimiterOutput RemoveLimit(base::TimePoint now, const base::WorkspaceId& workspace);

  /// @brief Sets the reserved shares of all instances, in millionths, as of a catalogue version. A
  /// decrease applies at once. An increase applies when every registered instance has renewed its
  /// lease with this version, so that the reserved shares in use never exceed the part of the
  /// limits that is set aside for them.
  void SetReservedShares(base::TimePoint now, std::uint64_t version,
                         const std::map<base::InstanceId, std::uint32_t>& reserved_shares);
  /// Version to pass to LeaseManager::SetReservedSharesVersion, which puts it into lease renewals.
  std::uint64_t ReservedSharesVersion() const;

  /// @brief Updates the state of this instance's lease. To be called after each change.
  void SetLease(base::TimePoint now, const membership::LeaseView& view);

  /// @brief Admits, queues or refuses a request. A queued request appears later in
  /// LimiterOutput::admitted or LimiterOutput::refused.
  AdmitResult Admit(base::TimePoint now, const base::WorkspaceId& workspace,
                    base::RequestId request);
  /// @brief Removes a queued request whose caller has disconnected.
  void Cancel(const base::WorkspaceId& workspace, base::RequestId request);

  /// @brief Applies a control record to the share table. The registry must have applied it before;
  /// `effect` is what Registry::Apply() returned for it.
  LimiterOutput OnRecord(base::TimePoint now, const schema::Record& record,
                         const membership::Effect& effect, const membership::Registry& registry);

  /// @brief Answers another instance's loan request; the loan may have 0 tokens.
  LimiterOutput OnLoanRequest(base::TimePoint now, const base::InstanceId& from,
                              const schema::TokenLoanRequest& request);
  /// @brief Handles the answer to an own loan request and admits queued requests.
  LimiterOutput OnLoan(base::TimePoint now, const base::InstanceId& from,
                       const schema::TokenLoan& loan);
  /// @brief Asks the next lender without waiting for the timeout. To be called when a loan request
  /// could not be delivered.
  LimiterOutput OnLoanRequestFailed(base::TimePoint now, const base::InstanceId& to,
                                    const schema::TokenLoanRequest& request);

  /// @brief Refuses queued requests whose time is up, sends loan requests, moves shares to
  /// other instances, and claims shares that no instance holds.
  /// To be called at least every 100 ms and at NextDeadline(). `log_reachable` has the same meaning
  /// as for LeaseManager::Tick().
  LimiterOutput Tick(base::TimePoint now, const membership::Registry& registry, bool log_reachable);
  /// When Tick() should be called next; empty if the next regular tick is early enough.
  std::optional<base::TimePoint> NextDeadline() const;

  /// @brief Reports a record that is certainly not in the log and never will be. Must not be called
  /// for an append with an unknown outcome.
  void OnNotAppended(base::TimePoint now, const base::RecordId& id);

  /// @brief Planned stop: moves all leased shares to `new_holder` and lends nothing from now on.
  /// Skips workspaces whose last move is still pending, and moves nothing without a valid lease. To
  /// be called before LeaseManager::Leave().
  LimiterOutput Leave(base::TimePoint now, const membership::Registry& registry,
                      const base::InstanceId& new_holder);

  /// @brief The share table as JSON text, for an instance that starts while the log is unavailable.
  /// Bucket levels are not included, because only the holder of a share may use its tokens.
  std::string Snapshot() const;
  /// @brief Restores the share table from another instance's Snapshot(). Returns kInvalidRequest
  /// for any other text and leaves the table unchanged.
  base::Result<void> Restore(base::TimePoint now, std::string_view text);

  const ShareTable& Table() const;
  const LimiterCounters& Counters() const;
  /// @brief Shares that this instance may use now, for metrics; 0 for a share that the state of the
  /// lease does not allow to use.
  SharesInUse Shares(base::TimePoint now, const base::WorkspaceId& workspace);
  /// Reserved share in use, in millionths of each workspace's limits.
  std::uint32_t ReservedPpm() const;
  /// Tokens that may be used now, own and borrowed, for metrics.
  double Available(base::TimePoint now, const base::WorkspaceId& workspace);
  /// Number of queued requests.
  std::size_t QueuedRequests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::limits

#endif  // PERSIMMONSTAIR_LIMITS_LIMITER_HPP_
