#ifndef PERSIMMONSTAIR_MEMBERSHIP_LIVENESS_HPP_
#define PERSIMMONSTAIR_MEMBERSHIP_LIVENESS_HPP_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::membership {

enum class LivenessState {
  kUnknown,  // never heard of
  kLive,
  kSuspect,  // no heartbeat lately
  kDead,     // no heartbeat for long, or gone from the list without a heartbeat since
  kLeaving,  // planned stop announced
};

/// @brief Times after which a silent instance changes state. Heartbeats come every 500 ms.
struct LivenessTimes {
  /// Three lost datagrams in a row; a single loss must not move programs.
  base::Duration suspect_after = std::chrono::milliseconds{1'600};
  base::Duration dead_after = std::chrono::milliseconds{4'000};
  /// How long a listed instance that was never heard counts as suspect rather than dead.
  base::Duration start_grace = std::chrono::seconds{10};
  /// Entries of dead instances are dropped after this time.
  base::Duration drop_after = std::chrono::minutes{10};
};

/// @brief An instance as the platform's list shows it.
struct InstanceListEntry {
  base::InstanceId instance;
  base::DataCentreId data_centre;
  bool leaving = false;
};

/// @brief Which instances run, from heartbeats and from the platform's list. Heartbeats take
/// precedence, because the list lags. This is for routing and placement only: leases and ownership
/// follow log order.
///
///     Liveness liveness{self, data_centre};
///     liveness.OnHeartbeat(now, from, incarnation, data_centre, leaving);
///     const auto owners = liveness.LiveIn(data_centre, now);
class Liveness {
 public:
  Liveness(base::InstanceId self, base::DataCentreId data_centre, LivenessTimes times = {});

  /// @brief A heartbeat arrived. One of an older incarnation than known is ignored. Leaving is
  /// final for an incarnation.
  void OnHeartbeat(base::TimePoint now, const base::InstanceId& from, base::Incarnation incarnation,
                   const base::DataCentreId& data_centre, bool leaving);

  /// @brief The platform's list was read. A leaving mark counts at once; a missing entry counts
  /// only for an instance that sends no heartbeats.
  void OnList(base::TimePoint now, const std::vector<InstanceListEntry>& list);

  /// @brief This instance stops as planned.
  void SetSelfLeaving() { self_leaving_ = true; }

  LivenessState StateOf(const base::InstanceId& instance, base::TimePoint now) const;
  /// @brief Instances that are live, this one included unless it is leaving, in order of their ids.
  std::vector<base::InstanceId> Live(base::TimePoint now) const;
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
    std::optional<base::TimePoint> heartbeat_at;
    base::TimePoint first_known;
    bool leaving = false;
    bool listed = false;
    bool listed_as_leaving = false;
  };

  LivenessState ComputeState(const Peer& peer, base::TimePoint now) const;
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
