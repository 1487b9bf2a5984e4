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

/// @brief A workspace's limits over the whole fleet.
struct Limit {
  /// Requests per second.
  double rate_per_s = 0;
  /// Requests that may come at once.
  double burst = 0;
};

/// @brief Settings of a limiter, the same in the whole fleet.
struct LimiterOptions {
  /// A borrower may use a loan until this long after it sent the request.
  base::Duration loan_lifetime = std::chrono::milliseconds{100};
  /// Added by the lender before it counts lent tokens as gone; covers clock rates that differ.
  base::Duration loan_margin = std::chrono::milliseconds{5};
  /// Longest time a request is held for a loan.
  base::Duration queue_timeout = std::chrono::milliseconds{50};
  /// A lender that has not answered for this long is passed over.
  base::Duration loan_timeout = std::chrono::milliseconds{8};
  /// Requests of one workspace that wait at the same time; more are refused at once.
  std::size_t max_queued_requests = 1'024;
  /// Lenders asked in one round.
  std::size_t lenders_per_round = 12;
  /// Time between two looks at whether shares should move.
  base::Duration balance_period = std::chrono::seconds{1};
  /// Smaller moves are not worth a record.
  std::uint32_t smallest_move_ppm = 20'000;
  /// Share records of one instance in one balance period, at most.
  double moves_per_period = 4;
  /// Share records of the whole fleet in one balance period. Every instance reads them all, so
  /// each instance's part shrinks as the fleet grows; loans carry the rest.
  double fleet_moves_per_period = 10;
};

/// @brief Test switches that turn off one mechanism each, to show that the tests notice its
/// absence.
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

enum class Decision { kAdmitted, kEnqueued, kRefused };

/// @brief A refused request with the time after which a retry has a chance.
struct Refusal {
  base::RequestId request;
  base::Duration retry_after{0};
};

/// @brief Answer to one request.
struct Admission {
  Decision decision = Decision::kRefused;
  /// For kRefused.
  base::Duration retry_after{0};
};

/// @brief What a call asks its caller to do.
struct LimiterOutput {
  /// To be appended to `control` in this order.
  std::vector<schema::Record> records;
  std::vector<membership::OutgoingMessage> messages;
  /// Requests that waited and may run now.
  std::vector<base::RequestId> admitted;
  /// Requests that waited in vain; to be refused with kRateLimited.
  std::vector<Refusal> refused;

  void Add(LimiterOutput other);
};

struct AdmitResult {
  Admission admission;
  LimiterOutput output;
};

/// @brief Counts since the start, for metrics.
struct LimiterCounters {
  std::uint64_t admitted = 0;
  std::uint64_t admitted_with_loan = 0;
  std::uint64_t refused = 0;
  std::uint64_t loan_requests = 0;
  std::uint64_t loans_given = 0;
  std::uint64_t loans_unused = 0;
  std::uint64_t moves = 0;
  std::uint64_t moves_invalid = 0;
};

/// @brief Parts of a workspace's limits in use, in millionths.
struct SharesInUse {
  std::uint32_t reserved_ppm = 0;
  std::uint32_t leased_ppm = 0;
};

class WorkspaceLimiter;

/// @brief One instance's token buckets for all workspaces.
///
///     Limiter limiter{self, process, seed};
///     limiter.SetLimit(now, workspace, Limit{5, 10});
///     limiter.SetLease(now, keeper.View());
///     auto [admission, output] = limiter.Admit(now, workspace, request);
///
/// A request counts at the moment of its kAdmitted, or of its entry in LimiterOutput::admitted.
class Limiter {
 public:
  Limiter(base::InstanceId self, std::string process, std::uint64_t seed,
          LimiterOptions options = {}, LimiterFaults faults = {});
  ~Limiter();
  Limiter(Limiter&&) noexcept;
  Limiter& operator=(Limiter&&) noexcept;

  /// @brief Sets or edits a workspace's limits. Shares stay as they are.
  void SetLimit(base::TimePoint now, const base::WorkspaceId& workspace, const Limit& limit);
  /// @brief Removes a workspace; its waiting requests are refused.
  LimiterOutput RemoveLimit(base::TimePoint now, const base::WorkspaceId& workspace);

  /// @brief ReservedShares of all instances, in millionths, at a catalogue version. A lower floor
  /// holds at once. A higher one holds when every registered instance has renewed its lease under
  /// this version, so that the floors in use never add up to more than the floor pool.
  void SetReservedShares(base::TimePoint now, std::uint64_t version,
                         const std::map<base::InstanceId, std::uint32_t>& reserved_shares);
  /// Version to state in the instance's own renewals (LeaseManager::SetReservedSharesVersion).
  std::uint64_t ReservedSharesVersion() const;

  /// @brief Takes over the state of the instance's lease; to be called after each change of it.
  void SetLease(base::TimePoint now, const membership::LeaseView& view);

  /// @brief Decides on a request. A request that has to wait appears later in
  /// LimiterOutput::admitted or ::refused.
  AdmitResult Admit(base::TimePoint now, const base::WorkspaceId& workspace,
                    base::RequestId request);
  /// @brief The caller of a waiting request is gone.
  void Cancel(const base::WorkspaceId& workspace, base::RequestId request);

  /// @brief A control record was read and applied to the registry with this effect. Keeps the share
  /// table.
  LimiterOutput OnRecord(base::TimePoint now, const schema::Record& record,
                         const membership::Effect& effect, const membership::Registry& registry);

  LimiterOutput OnLoanRequest(base::TimePoint now, const base::InstanceId& from,
                              const schema::TokenLoanRequest& request);
  LimiterOutput OnLoan(base::TimePoint now, const base::InstanceId& from,
                       const schema::TokenLoan& loan);
  /// @brief A loan request could not be delivered: the next lender is asked without waiting.
  LimiterOutput OnLoanRequestFailed(base::TimePoint now, const base::InstanceId& to,
                                    const schema::TokenLoanRequest& request);

  /// @brief Ends waiting requests, repeats loan requests, moves and claims shares. To be called at
  /// least every 100 ms and at NextDeadline(). `log_reachable` as for LeaseManager::Tick().
  LimiterOutput Tick(base::TimePoint now, const membership::Registry& registry, bool log_reachable);
  /// When Tick() has something to do next; empty if only at the next regular tick.
  std::optional<base::TimePoint> NextDeadline() const;

  /// @brief This record is certainly not in the log and never will be. Not for unknown outcomes.
  void OnNotAppended(base::TimePoint now, const base::RecordId& id);

  /// @brief Planned stop: gives all leased shares to `heir` and lends nothing from now on. Use
  /// before LeaseManager::Leave().
  LimiterOutput Leave(base::TimePoint now, const membership::Registry& registry,
                      const base::InstanceId& new_holder);

  /// @brief The share table as JSON text, for an instance that starts while the log is down. Bucket
  /// levels are not part of it: they belong to their holder.
  std::string Snapshot() const;
  /// @brief Takes over what another instance's Snapshot() wrote; kInvalidRequest for anything else.
  base::Result<void> Restore(base::TimePoint now, std::string_view text);

  const ShareTable& Table() const;
  const LimiterCounters& Counters() const;
  /// @brief Shares that this instance may use now, for metrics. Zero where the lease forbids it.
  SharesInUse Shares(base::TimePoint now, const base::WorkspaceId& workspace);
  /// Floor in use, in millionths of each workspace's limits.
  std::uint32_t ReservedPpm() const;
  /// Tokens that could be used now, for metrics.
  double Available(base::TimePoint now, const base::WorkspaceId& workspace);
  /// Requests that wait.
  std::size_t QueuedRequests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::limits

#endif  // PERSIMMONSTAIR_LIMITS_LIMITER_HPP_
