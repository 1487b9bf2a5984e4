#include "persimmonstair/quota/admission_queue.hpp"

#include <algorithm>

namespace persimmonstair::quota {
namespace {

/// Fraction of a burst that is reserved for programs under way. A program sends about ten more
/// requests soon after its first one.
constexpr double kReservedBurstFraction = 0.25;
/// Bounds of the retry time in a refusal.
constexpr std::chrono::milliseconds kMinRetryAfter{20};
constexpr std::chrono::seconds kMaxRetryAfter{2};

AdmissionResult Refuse(base::Duration wait) {
  wait = std::clamp<base::Duration>(wait, kMinRetryAfter, kMaxRetryAfter);
  return {Admission::kOverQuota, wait};
}

std::size_t QueueOf(ProgramStage stage) { return stage == ProgramStage::kUnderWay ? 0 : 1; }

}  // namespace

base::Duration MaxTokenWait(ProgramStage stage, base::Duration time_left) {
  if (stage == ProgramStage::kBegins) return kMaxTokenWait;
  return std::clamp<base::Duration>(time_left / kMaxWaitDivisor, {}, kMaxTokenWaitUnderWay);
}

template <class Key, TokenSource<Key> Tokens>
double BasicAdmissionQueue<Key, Tokens>::MinRemaining(const Key& key, const KeyQueue& key_queue,
                                                      ProgramStage stage) const {
  if (stage == ProgramStage::kUnderWay) return 0;
  const double burst = key_queue.limit.burst * tokens_.Share(key);
  return std::clamp(kReservedBurstFraction * burst, 0.0, std::max(0.0, burst - 1));
}

template <class Key, TokenSource<Key> Tokens>
std::optional<AdmissionResult> BasicAdmissionQueue<Key, Tokens>::Take(base::TimePoint now,
                                                                      const Key& key,
                                                                      const KeyQueue& key_queue,
                                                                      const TokenDemand& demand,
                                                                      base::TimePoint lend_until) {
  const double min_remaining = MinRemaining(key, key_queue, demand.stage);
  if (demand.requester == TokenRequester::kPeerInstance) {
    const bool lent = tokens_.LendOne(now, key, key_queue.limit, min_remaining, lend_until);
    if (!lent) return std::nullopt;
    return AdmissionResult{Admission::kAdmitted, {}, lend_until};
  }
  const bool taken =
      tokens_.TakeBorrowed(now, key) || tokens_.TakeOwn(now, key, key_queue.limit, min_remaining);
  if (!taken) return std::nullopt;
  return AdmissionResult{Admission::kAdmitted, {}};
}

template <class Key, TokenSource<Key> Tokens>
base::Duration BasicAdmissionQueue<Key, Tokens>::EstimateWait(base::TimePoint now, const Key& key,
                                                              const KeyQueue& key_queue,
                                                              ProgramStage stage,
                                                              std::size_t ahead) {
  const double min_remaining = MinRemaining(key, key_queue, stage);
  return tokens_.TimeUntilAvailable(now, key, key_queue.limit,
                                    min_remaining + static_cast<double>(ahead + 1));
}

template <class Key, TokenSource<Key> Tokens>
std::optional<AdmissionResult> BasicAdmissionQueue<Key, Tokens>::Ask(base::TimePoint now,
                                                                     const Key& key,
                                                                     const RateLimit& limit,
                                                                     const TokenDemand& demand) {
  if (limit.rate_per_s <= 0) return AdmissionResult{Admission::kAdmitted, {}};
  const bool asks_peers = demand.requester == TokenRequester::kLocalCallerAskingPeers;
  if (!asks_peers && !tokens_.HasLease(now)) return AdmissionResult{Admission::kNoShare, {}};
  KeyQueue& key_queue = key_queues_[key];
  key_queue.limit = limit;
  std::size_t ahead = key_queue.queues[0].size();
  if (demand.stage == ProgramStage::kBegins) ahead += key_queue.queues[1].size();
  if (ahead == 0) {
    const auto taken = Take(now, key, key_queue, demand, now + demand.max_wait + kLendGrace);
    if (taken) return taken;
  }
  const base::Duration wait = EstimateWait(now, key, key_queue, demand.stage, ahead);
  if (!asks_peers && wait > demand.max_wait) return Refuse(wait);
  key_queue.queues[QueueOf(demand.stage)].push_back({demand, now + demand.max_wait});
  return std::nullopt;
}

template <class Key, TokenSource<Key> Tokens>
std::optional<AdmissionResult> BasicAdmissionQueue<Key, Tokens>::OnNoRemoteToken(
    base::TimePoint now, const Key& key, std::uint64_t id, base::Duration peer_retry_after) {
  KeyQueue& key_queue = key_queues_[key];
  std::size_t ahead = 0;
  for (auto& queue : key_queue.queues) {
    for (auto it = queue.begin(); it != queue.end(); ++it, ++ahead) {
      if (it->demand.id != id) continue;
      it->demand.requester = TokenRequester::kLocalCaller;
      const base::Duration wait = EstimateWait(now, key, key_queue, it->demand.stage, ahead);
      if (now + wait <= it->until) return std::nullopt;
      queue.erase(it);
      return Refuse(std::min(wait, peer_retry_after));
    }
  }
  return std::nullopt;
}

template <class Key, TokenSource<Key> Tokens>
void BasicAdmissionQueue<Key, Tokens>::Withdraw(const Key& key, std::uint64_t id) {
  for (auto& queue : key_queues_[key].queues) {
    std::erase_if(queue, [id](const QueuedRequest& one) { return one.demand.id == id; });
  }
}

template <class Key, TokenSource<Key> Tokens>
std::vector<Decision> BasicAdmissionQueue<Key, Tokens>::Serve(base::TimePoint now) {
  std::vector<Decision> out;
  for (auto& [key, key_queue] : key_queues_) {
    if (!key_queue.Empty()) ServeKey(now, key, key_queue, out);
  }
  std::erase_if(key_queues_, [](const auto& one) { return one.second.Empty(); });
  return out;
}

template <class Key, TokenSource<Key> Tokens>
void BasicAdmissionQueue<Key, Tokens>::ServeKey(base::TimePoint now, const Key& key,
                                                KeyQueue& key_queue, std::vector<Decision>& out) {
  std::size_t ahead = 0;
  for (auto& queue : key_queue.queues) {
    for (auto it = queue.begin(); it != queue.end();) {
      const TokenDemand& demand = it->demand;
      // Borrowed tokens can't be lent on, so a local caller may get one before an instance ahead of
      // it.
      std::optional<AdmissionResult> taken;
      if (it->until > now) taken = Take(now, key, key_queue, demand, it->until + kLendGrace);
      if (taken) {
        out.push_back({demand.id, *taken});
        it = queue.erase(it);
      } else if (it->until <= now) {
        out.push_back({demand.id, Refuse(EstimateWait(now, key, key_queue, demand.stage, ahead))});
        it = queue.erase(it);
      } else {
        ++ahead;
        ++it;
      }
    }
  }
}

template <class Key, TokenSource<Key> Tokens>
std::optional<base::TimePoint> BasicAdmissionQueue<Key, Tokens>::NextServeTime(
    base::TimePoint now) {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](base::TimePoint at) { next = next ? std::min(*next, at) : at; };
  for (const auto& [key, key_queue] : key_queues_) {
    if (key_queue.Empty()) continue;
    for (const auto& queue : key_queue.queues) {
      if (queue.empty()) continue;
      consider(now + EstimateWait(now, key, key_queue, queue.front().demand.stage, 0));
      for (const QueuedRequest& one : queue) consider(one.until);
    }
  }
  return next;
}

template class BasicAdmissionQueue<base::WorkspaceId, LocalShares>;
template class BasicAdmissionQueue<base::TargetId, TargetTokens>;

}  // namespace persimmonstair::quota
