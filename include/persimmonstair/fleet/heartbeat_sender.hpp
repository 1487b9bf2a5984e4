#ifndef PERSIMMONSTAIR_FLEET_HEARTBEAT_SENDER_HPP_
#define PERSIMMONSTAIR_FLEET_HEARTBEAT_SENDER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/schema/entry_peer.hpp"

namespace persimmonstair::fleet {

/// @brief An instance that may collect heartbeats.
struct CollectorCandidate {
  base::InstanceId instance;
  /// Address as address:port.
  std::string peer;
  /// True if it is in this instance's data centre.
  bool is_local = true;
};

/// @brief What an instance does to be reported, and when to ask again.
struct HeartbeatStep {
  /// Address and sequence number of the heartbeat to send; nothing to send none.
  std::optional<std::pair<std::string, std::uint64_t>> send;
  /// True if the instance reports itself, because it is the collector or reaches none.
  bool collects = false;
  base::TimePoint next_at;
};

/// @brief Chooses the collector that reports this instance, and sends it heartbeats.
///
/// The collector of a data centre is the first live instance by rendezvous hashing. That is only a
/// preference: instances that disagree about it are reported twice. A collector that does not
/// answer, or declines, is avoided for some time and the next one is asked. An instance that
/// reaches neither the store nor a collector of its data centre asks those of others.
class HeartbeatSender {
 public:
  /// `collector_key` is the same for all instances that share collectors. Sequence numbers begin
  /// after `sequence`, which must differ for each start, so that answers to an earlier process
  /// match none of them.
  HeartbeatSender(base::InstanceId self, std::string collector_key, std::uint64_t sequence)
      : self_(std::move(self)), key_(std::move(collector_key)), sequence_(sequence) {}

  /// `candidates` are the other live instances. `may_collect` is false if this
  /// instance can't reach the store.
  HeartbeatStep Next(base::TimePoint now, const std::vector<CollectorCandidate>& candidates,
                     bool may_collect);
  void OnAck(base::TimePoint now, const schema::InstanceHeartbeatAck& ack);

  /// Time before which Next() has nothing to do.
  base::TimePoint NextAt() const { return next_at_; }

  /// Makes the next heartbeat due, because what it reports has changed.
  void ReportNow() { next_at_ = {}; }

  /// Time at which the newest heartbeat was sent that a collector has stored; nothing before one.
  std::optional<base::TimePoint> StoredSentAt() const { return stored_sent_at_; }

  /// Address of the collector that answered last; empty if this instance reports itself.
  const std::string& Collector() const { return collector_; }

 private:
  /// Returns the candidate to send to; null if this instance reports itself.
  const CollectorCandidate* Choose(base::TimePoint now,
                                   const std::vector<CollectorCandidate>& candidates,
                                   bool may_collect) const;
  /// Returns the best local or remote candidate whose weight exceeds `min_weight`.
  const CollectorCandidate* Best(base::TimePoint now,
                                 const std::vector<CollectorCandidate>& candidates, bool local,
                                 std::uint64_t min_weight) const;
  bool IsAvoided(base::TimePoint now, const std::string& peer) const;
  HeartbeatStep Send(base::TimePoint now);

  base::InstanceId self_;
  std::string key_;
  /// Sequence number of the last heartbeat.
  std::uint64_t sequence_;
  std::map<std::string, base::TimePoint> avoided_until_;
  std::string collector_;
  std::string asked_;
  /// Heartbeats of one interval that were not answered.
  int unanswered_ = 0;
  /// Collectors that failed in one interval.
  int failed_collectors_ = 0;
  bool awaits_ack_ = false;
  std::map<std::uint64_t, base::TimePoint> sent_at_;
  base::TimePoint next_at_;
  std::optional<base::TimePoint> stored_sent_at_;
};

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_HEARTBEAT_SENDER_HPP_
