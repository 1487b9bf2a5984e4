#ifndef PERSIMMONSTAIR_MEMBERSHIP_LIVENESS_HPP_
#define PERSIMMONSTAIR_MEMBERSHIP_LIVENESS_HPP_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::membership {

/// @brief Liveness of an instance as another instance sees it.
enum class LivenessState {
  kUnknown,  // no heartbeat and no list entry so far
  kLive,
  kSuspect,  // no heartbeat for LivenessTimes::suspect_after
  kDead,     // no heartbeat for LivenessTimes::dead_after, or no recent heartbeat and no list entry
  kLeaving,  // planned stop announced
};

/// @brief Times after which an instance without heartbeats changes state. Heartbeats are sent every
/// 500 ms.
struct LivenessTimes {
  /// Three heartbeats lost in a row: a single lost datagram must not move programs.
  base::Duration suspect_after = std::chrono::milliseconds{1'600};
  base::Duration dead_after = std::chrono::milliseconds{4'000};
  /// For how long a listed instance that never sent a heartbeat counts as suspect rather than dead.
  base::Duration start_grace = std::chrono::seconds{10};
  /// Dead instances that are not in the list are removed after this time.
  base::Duration drop_after = std::chrono::minutes{10};
};

/// @brief Entry of the platform's list of instances.
struct InstanceListEntry {
  base::InstanceId instance;
  base::DataCentreId data_centre;
  bool leaving = false;
};

/// @brief Tracks which instances run, from heartbeats and the platform's list of instances.
/// Heartbeats take precedence, because the list is updated late. Only for routing and placement:
/// leases and ownership are decided by the order of records in the log.
///
///     Liveness liveness{self, data_centre};
///     liveness.OnHeartbeat(now, from, incarnation, data_centre, leaving);
///     const auto owners = liveness.LiveIn(data_centre, now);
class Liveness {
 public:
  Liveness(base::InstanceId self, base::DataCentreId data_centre, LivenessTimes times = {});

  /// @brief Handles a heartbeat. Heartbeats of an older incarnation than the known one are ignored.
  /// An incarnation that has announced that it is leaving stays in that state.
  void OnHeartbeat(base::TimePoint now, const base::InstanceId& from, base::Incarnation incarnation,
                   const base::DataCentreId& data_centre, bool leaving);

  /// @brief Handles a new version of the platform's list. An entry marked as leaving applies at
  /// once; a missing entry only matters for an instance that sends no heartbeats.
  void OnList(base::TimePoint now, const std::vector<InstanceListEntry>& list);

  /// @brief Marks this instance as leaving (planned stop).
  void SetSelfLeaving() { self_leaving_ = true; }

  LivenessState StateOf(const base::InstanceId& instance, base::TimePoint now) const;
  /// @brief Live instances, including this one unless it is leaving, ordered by id.
  std::vector<base::InstanceId> Live(base::TimePoint now) const;
  /// @brief Live instances of one data centre, ordered by id.
  std::vector<base::InstanceId> LiveIn(const base::DataCentreId& data_centre,
                                       base::TimePoint now) const;
  /// Time of the last heartbeat of any other instance; empty before the first.
  std::optional<base::TimePoint> LastHeartbeat() const { return last_heartbeat_at_; }
  /// Time of the last heartbeat from another data centre; empty before the first.
  std::optional<base::TimePoint> LastHeartbeatFromOtherDataCentre() const {
    return last_heartbeat_elsewhere_at_;
  }

 private:
  struct Peer {
    base::DataCentreId data_centre;
    base::Incarnation incarnation;
    /// Time of the last heartbeat.
    std::optional<base::TimePoint> heartbeat_at;
    base::TimePoint first_known;
    bool leaving = false;
    bool listed = false;
    bool listed_as_leaving = false;
  };

  LivenessState State(const Peer& peer, base::TimePoint now) const;
  void DropExpiredPeers(base::TimePoint now);

  base::InstanceId self_;
  base::DataCentreId data_centre_;
  LivenessTimes times_;
  bool self_leaving_ = false;
  std::map<base::InstanceId, Peer> peers_;
  std::optional<base::TimePoint> last_heartbeat_at_;
  std::optional<base::TimePoint> last_heartbeat_elsewhere_at_;
};

}  // namespace persimmonstair::membership

#endif  // PERSIMMONSTAIR_MEMBERSHIP_LIVENESS_HPP_
