#ifndef PERSIMMONSTAIR_QUOTA_ADMISSION_QUEUE_HPP_
#define PERSIMMONSTAIR_QUOTA_ADMISSION_QUEUE_HPP_

#include <array>
#include <concepts>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/quota/local_shares.hpp"
#include "persimmonstair/quota/rate_limit.hpp"
#include "persimmonstair/quota/target_tokens.hpp"

namespace persimmonstair::quota {

/// Longest time that a request that begins a program may wait for a token. Refusing it sooner would
/// not help the caller, which needs about as much time to reconnect and would have used up one of
/// its attempts.
inline constexpr std::chrono::milliseconds kMaxTokenWait{250};
/// Longest time that a request of a program under way may wait for a token, because a refusal may
/// lose the work already done.
inline constexpr std::chrono::milliseconds kMaxTokenWaitUnderWay{1000};
/// A request waits for at most its time left divided by this.
inline constexpr int kMaxWaitDivisor = 3;
/// Time allowed for the answer of another instance to arrive. A request waits longer by this time
/// at the asking instance than in the queue of the asked one, so that the answer arrives first.
inline constexpr std::chrono::milliseconds kAnswerTimeout{20};
/// Time for which a borrowed token may still be used after the maximum wait of the request that it
/// was borrowed for. Another request may use it then.
inline constexpr std::chrono::milliseconds kLoanGrace{200};
/// Time for which a lender counts a token as lent after the maximum wait of the request. It exceeds
/// the time for which the borrower may use the token, so that the token isn't used twice.
inline constexpr std::chrono::milliseconds kLendGrace{350};
static_assert(kLendGrace > kLoanGrace);

/// @brief Whether a request begins a program or belongs to one that is under way.
enum class ProgramStage { kBegins, kUnderWay };

/// @brief Returns the longest time for which a request may wait for a token.
base::Duration MaxTokenWait(ProgramStage stage, base::Duration time_left);

/// @brief Origin of a request for a token.
enum class TokenRequester {
  /// A caller of this instance.
  kLocalCaller,
  /// A caller of this instance; other instances are asked for a token too.
  kLocalCallerAskingPeers,
  /// Another instance.
  kPeerInstance,
};

/// @brief A request that needs one token of its workspace's rate.
struct TokenDemand {
  /// Identifies the request; chosen by the user of the queue.
  std::uint64_t id = 0;
  ProgramStage stage = ProgramStage::kUnderWay;
  TokenRequester requester = TokenRequester::kLocalCaller;
  /// Longest time for which the request may be queued.
  base::Duration max_wait{0};
};

/// @brief Whether a request is admitted.
enum class Admission {
  kAdmitted,
  /// No token is available within the request's maximum wait.
  kOverQuota,
  /// This instance may use no share of the rate, and no other instance could be asked.
  kNoShare
};

struct AdmissionResult {
  Admission admission = Admission::kNoShare;
  /// Time until a token is expected, for kOverQuota.
  base::Duration retry_after{0};
  /// Time until which the token counts as lent, if another instance asked for it.
  base::TimePoint lent_until{};
};

/// @brief The result for a queued request.
struct Decision {
  std::uint64_t id = 0;
  AdmissionResult result;
};

/// @brief The tokens that an AdmissionQueue hands out, by key. LocalShares and TargetTokens are
/// sources of tokens.
template <class T, class Key>
concept TokenSource = requires(T tokens, base::TimePoint now, const Key& key,
                               const RateLimit& limit) {
  { tokens.HasLease(now) } -> std::same_as<bool>;
  { tokens.Share(key) } -> std::same_as<double>;
  { tokens.TakeOwn(now, key, limit, 1.0) } -> std::same_as<bool>;
  { tokens.TakeBorrowed(now, key) } -> std::same_as<bool>;
  { tokens.LendOne(now, key, limit, 1.0, now) } -> std::same_as<bool>;
  { tokens.TimeUntilAvailable(now, key, limit, 1.0) } -> std::same_as<base::Duration>;
};

/// @brief Queues requests that wait for tokens of a rate. `Key` names the rate: a workspace or a
/// target.
///
/// Requests of programs under way are served before those that begin a program, because the work of
/// a program that is refused halfway is lost. Within a stage the order is first come, first
/// served. A part of the burst is reserved for programs under way. A request that can't get a token
/// within its maximum wait is refused at once.
///
///     AdmissionQueue queue(shares);
///     if (auto result = queue.Ask(now, workspace, quota, demand)) Answer(*result);
///     for (const Decision& one : queue.Serve(now)) Answer(one.id, one.result);
template <class Key, TokenSource<Key> Tokens>
class BasicAdmissionQueue {
 public:
  explicit BasicAdmissionQueue(Tokens& tokens) : tokens_(tokens) {}

  /// Requests a token. Returns the result, or nothing if the request is queued; Serve() then
  /// returns its result.
  std::optional<AdmissionResult> Ask(base::TimePoint now, const Key& key, const RateLimit& limit,
                                     const TokenDemand& demand);

  /// Tells the queue that no other instance lends a token for the request. The request stays queued
  /// only if the source will have a token in time. Otherwise it is refused; the result states
  /// the time until this instance or another one has a token, whichever is sooner.
  std::optional<AdmissionResult> OnNoRemoteToken(base::TimePoint now, const Key& key,
                                                 std::uint64_t id, base::Duration peer_retry_after);

  /// Removes a request that no longer needs a token; does nothing if it isn't queued.
  void Withdraw(const Key& key, std::uint64_t id);

  /// Returns the requests that got a token or reached their maximum wait, and removes them.
  std::vector<Decision> Serve(base::TimePoint now);

  /// Returns when Serve() has to run next, or nothing if no request is queued.
  std::optional<base::TimePoint> NextServeTime(base::TimePoint now);

 private:
  /// A request that waits for a token.
  struct QueuedRequest {
    TokenDemand demand;
    /// Time at which the request is refused.
    base::TimePoint until;
  };
  /// One queue for programs under way and one for programs that begin, in the order of service.
  using Queues = std::array<std::deque<QueuedRequest>, 2>;
  /// Queued requests of one key.
  struct KeyQueue {
    RateLimit limit;
    Queues queues;

    bool Empty() const { return queues[0].empty() && queues[1].empty(); }
  };

  /// Returns the number of tokens that must remain in the bucket when a request takes one.
  double MinRemaining(const Key& key, const KeyQueue& key_queue, ProgramStage stage) const;
  /// Takes a token for the request, or lends one until `lend_until` if another instance asks.
  /// Returns nothing if there is none.
  std::optional<AdmissionResult> Take(base::TimePoint now, const Key& key,
                                      const KeyQueue& key_queue, const TokenDemand& demand,
                                      base::TimePoint lend_until);
  /// Estimates the time until the source has a token for a request that has `ahead` requests
  /// before it in the queue.
  base::Duration EstimateWait(base::TimePoint now, const Key& key, const KeyQueue& key_queue,
                              ProgramStage stage, std::size_t ahead);
  void ServeKey(base::TimePoint now, const Key& key, KeyQueue& key_queue,
                std::vector<Decision>& out);

  Tokens& tokens_;
  std::unordered_map<Key, KeyQueue> key_queues_;
};

/// Queue for tokens of the workspaces' rates.
using AdmissionQueue = BasicAdmissionQueue<base::WorkspaceId, LocalShares>;
/// Queue for tokens of the targets' rates.
using TargetAdmissionQueue = BasicAdmissionQueue<base::TargetId, TargetTokens>;

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_ADMISSION_QUEUE_HPP_
