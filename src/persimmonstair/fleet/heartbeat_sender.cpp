#include "persimmonstair/fleet/heartbeat_sender.hpp"

#include <algorithm>
#include <chrono>

#include "persimmonstair/base/rendezvous.hpp"

namespace persimmonstair::fleet {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{1000};
/// Interval until the first heartbeat is known to be stored. It is shorter, so that the start is
/// quick.
constexpr milliseconds kStartInterval{250};
/// Time after which an unanswered heartbeat is sent again.
constexpr milliseconds kAckTimeout{150};
constexpr int kMaxUnanswered = 3;
/// Time for which a collector that did not answer or declined isn't asked.
constexpr milliseconds kAvoidTime{3000};
/// Collectors that are asked in one interval, so that an outage of the store, in which all decline,
/// causes few messages.
constexpr int kMaxFailedCollectors = 3;
/// The same for collectors of other data centres, which are asked after those.
constexpr int kMaxFailedRemote = 2;
/// Number of recent heartbeats whose times are kept.
constexpr std::size_t kMaxSentTimes = 32;

}  // namespace

bool HeartbeatSender::IsAvoided(base::TimePoint now, const std::string& peer) const {
  const auto it = avoided_until_.find(peer);
  return it != avoided_until_.end() && now < it->second;
}

const CollectorCandidate* HeartbeatSender::Best(base::TimePoint now,
                                                const std::vector<CollectorCandidate>& candidates,
                                                bool local, std::uint64_t min_weight) const {
  const CollectorCandidate* best = nullptr;
  for (const auto& candidate : candidates) {
    if (candidate.is_local != local || IsAvoided(now, candidate.peer)) continue;
    const std::uint64_t weight = base::RendezvousWeight(key_, candidate.instance.value);
    if (weight <= min_weight) continue;
    best = &candidate;
    min_weight = weight;
  }
  return best;
}

const CollectorCandidate* HeartbeatSender::Choose(base::TimePoint now,
                                                  const std::vector<CollectorCandidate>& candidates,
                                                  bool may_collect) const {
  const std::uint64_t own_weight = may_collect ? base::RendezvousWeight(key_, self_.value) : 0;
  const CollectorCandidate* chosen = nullptr;
  if (failed_collectors_ < kMaxFailedCollectors) chosen = Best(now, candidates, true, own_weight);
  const bool asks_remote =
      !may_collect && failed_collectors_ < kMaxFailedCollectors + kMaxFailedRemote;
  if (chosen == nullptr && asks_remote) chosen = Best(now, candidates, false, 0);
  return chosen;
}

HeartbeatStep HeartbeatSender::Send(base::TimePoint now) {
  ++sequence_;
  sent_at_[sequence_] = now;
  if (sent_at_.size() > kMaxSentTimes) sent_at_.erase(sent_at_.begin());
  awaits_ack_ = true;
  next_at_ = now + kAckTimeout;
  return {std::pair{asked_, sequence_}, false, next_at_};
}

HeartbeatStep HeartbeatSender::Next(base::TimePoint now,
                                    const std::vector<CollectorCandidate>& candidates,
                                    bool may_collect) {
  if (now < next_at_) return {std::nullopt, collector_.empty() && !awaits_ack_, next_at_};
  if (awaits_ack_ && ++unanswered_ < kMaxUnanswered) return Send(now);
  if (awaits_ack_) {
    avoided_until_[asked_] = now + kAvoidTime;
    ++failed_collectors_;
  }
  awaits_ack_ = false;
  unanswered_ = 0;
  std::erase_if(avoided_until_, [now](const auto& one) { return one.second <= now; });
  const CollectorCandidate* chosen = Choose(now, candidates, may_collect);
  if (chosen != nullptr) {
    asked_ = chosen->peer;
    return Send(now);
  }
  collector_.clear();
  failed_collectors_ = 0;
  next_at_ = now + kHeartbeatInterval;
  return {std::nullopt, true, next_at_};
}

void HeartbeatSender::OnAck(base::TimePoint now, const schema::InstanceHeartbeatAck& ack) {
  const auto stored = sent_at_.find(ack.stored_sequence);
  if (stored != sent_at_.end()) {
    stored_sent_at_ = std::max(stored_sent_at_.value_or(stored->second), stored->second);
  }
  if (!awaits_ack_ || ack.sequence != sequence_) return;
  awaits_ack_ = false;
  unanswered_ = 0;
  if (ack.declined) {
    avoided_until_[asked_] = now + kAvoidTime;
    ++failed_collectors_;
    next_at_ = now;
    return;
  }
  failed_collectors_ = 0;
  collector_ = asked_;
  next_at_ = sent_at_[sequence_] + (stored_sent_at_ ? kHeartbeatInterval : kStartInterval);
}

}  // namespace persimmonstair::fleet
