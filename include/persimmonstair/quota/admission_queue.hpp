#ifndef PERSIMMONSTAIR_QUOTA_ADMISSION_QUEUE_HPP_
#define PERSIMMONSTAIR_QUOTA_ADMISSION_QUEUE_HPP_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/quota/local_shares.hpp"

namespace persimmonstair::quota {

/// Longest time that a request may wait for a token. A caller that is refused connects anew, which
/// costs it about as much, and has one attempt less.
inline constexpr std::chrono::milliseconds kMaxTokenWait{250};
/// Time by which a request at the asking instance outlasts its place in another one's line, so that
/// the other's answer decides.
inline constexpr std::chrono::milliseconds kAnswerTimeout{20};
/// Time for which a token that was lent may be used after its request's patience has ended.
inline constexpr std::chrono::milliseconds kLoanGrace{200};
/// Time for which a lender counts a token as lent: longer than any borrower may use it.
inline constexpr std::chrono::milliseconds kLenderHold{600};
static_assert(kLenderHold > kMaxTokenWait + kLoanGrace);

/// @brief Whether a request begins a program or belongs to one that is under way.
enum class ProgramStage { kBegins, kUnderWay };

/// @brief Who gets the token.
enum class TokenRequester {
  /// A caller of this instance.
  kLocalCaller,
  /// A caller of this instance; another instance was asked for a token too.
  kLocalCallerAskingPeers,
  /// Another instance.
  kPeerInstance,
};

/// @brief A request that needs one token of its workspace's rate.
struct TokenDemand {
  /// Chosen by the user of the queue.
  std::uint64_t id = 0;
  ProgramStage stage = ProgramStage::kUnderWay;
  TokenRequester requester = TokenRequester::kLocalCaller;
  base::Duration max_wait{0};
};

enum class Admission { kAdmitted, kOverQuota, kNoShare };

struct AdmissionResult {
  Admission admission = Admission::kNoShare;
  /// When a token will be there, if over the quota.
  base::Duration retry_after{0};
};

/// @brief The result for a request that waited.
struct Decision {
  std::uint64_t id = 0;
  AdmissionResult result;
};

/// @brief Requests that wait for tokens of their workspaces' rates.
///
/// Programs under way come before new ones, because a program that is refused half way has used its
/// tokens for nothing; within a stage the order is that of arrival. New programs leave a part of
/// the burst to those under way. A request whose token can't come within its patience is refused at
/// once.
///
///     AdmissionQueue queue(shares);
///     if (auto result = queue.Ask(now, workspace, quota, demand)) Answer(*result);
///     for (const Decision& one : queue.Serve(now)) Answer(one.id, one.result);
class AdmissionQueue {
 public:
  explicit AdmissionQueue(LocalShares& shares) : shares_(shares) {}

  /// The result, or nothing if the request waits; Serve() tells later.
  std::optional<AdmissionResult> Ask(base::TimePoint now, const base::WorkspaceId& workspace,
                                     const WorkspaceQuota& quota, const TokenDemand& demand);

  /// No other instance helps the request: it goes on waiting only if the own share is to have a
  /// token in time. Otherwise the result says to come back when the sooner one has a token.
  std::optional<AdmissionResult> OnNoRemoteToken(base::TimePoint now,
                                                 const base::WorkspaceId& workspace,
                                                 std::uint64_t id, base::Duration peer_retry_after);

  /// The request needs no token any more.
  void Withdraw(const base::WorkspaceId& workspace, std::uint64_t id);

  /// Requests that got a token, or whose patience has ended.
  std::vector<Decision> Serve(base::TimePoint now);

  /// When Serve() has something to do again, if anything waits.
  std::optional<base::TimePoint> NextServeTime(base::TimePoint now);

 private:
  struct QueuedRequest {
    TokenDemand demand;
    base::TimePoint until;
  };
  /// First those of programs under way, then new ones.
  using Queues = std::array<std::deque<QueuedRequest>, 2>;
  struct WorkspaceQueue {
    WorkspaceQuota quota;
    Queues queues;

    bool Empty() const { return queues[0].empty() && queues[1].empty(); }
  };

  /// Tokens that a request leaves for those that come before it.
  double MinRemaining(const base::WorkspaceId& workspace, const WorkspaceQueue& workspace_queue,
                      ProgramStage stage) const;
  bool Take(base::TimePoint now, const base::WorkspaceId& workspace,
            const WorkspaceQueue& workspace_queue, const TokenDemand& demand);
  base::Duration EstimateWait(base::TimePoint now, const base::WorkspaceId& workspace,
                              const WorkspaceQueue& workspace_queue, ProgramStage stage,
                              std::size_t ahead);
  void ServeWorkspace(base::TimePoint now, const base::WorkspaceId& workspace,
                      WorkspaceQueue& workspace_queue, std::vector<Decision>& out);

  LocalShares& shares_;
  std::unordered_map<base::WorkspaceId, WorkspaceQueue> workspace_queues_;
};

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_ADMISSION_QUEUE_HPP_
