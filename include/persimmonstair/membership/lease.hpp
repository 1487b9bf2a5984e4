#ifndef PERSIMMONSTAIR_MEMBERSHIP_LEASE_HPP_
#define PERSIMMONSTAIR_MEMBERSHIP_LEASE_HPP_

#include <chrono>
#include <cstddef>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/schema/peer.hpp"
#include "persimmonstair/schema/records.hpp"

namespace persimmonstair::membership {

/// @brief Lease settings; all instances of the fleet must use the same.
struct LeaseTimes {
  /// Time between two renewals of an instance's own lease.
  base::Duration renew_interval = std::chrono::seconds{2};
  /// Duration of a lease, counted by the holder from the moment it sent the renewal.
  base::Duration lease = std::chrono::seconds{6};
  /// Other instances treat a lease as expired this much later than the holder does, because clocks
  /// may run at different rates.
  base::Duration margin = std::chrono::seconds{1};
  /// If more time than this passes between two ticks, the process counts as having been paused: it
  /// gives up its registration and lease and registers again.
  base::Duration max_tick_gap = std::chrono::seconds{2};
  /// Consent of peers can extend a lease up to this time after the last renewal in log order. An
  /// instance that registered too late to be asked for consent waits for this time in addition
  /// before it reclaims.
  base::Duration consent_limit = std::chrono::hours{2};
  /// Renewals per second of the whole fleet above which every instance renews less often.
  std::size_t fleet_renewals_per_s = 11;
};

/// @brief Scales renewal interval and lease duration for a fleet of this many instances, so that
/// its renewals stay at `fleet_renewals_per_s`. With the default settings nothing changes up to 22
/// instances, and 390 instances renew every 35 s.
LeaseTimes ScaledTo(LeaseTimes times, std::size_t instances);

/// @brief An instance's own lease, with times of its own monotonic clock. A view that is not
/// updated stays safe to use, because every check compares it with the current time.
struct LeaseView {
  base::Incarnation incarnation;
  /// Number of the last renewal that was read back from the log as valid.
  std::uint64_t sequence = 0;
  /// True if the last renewal sent was read back as valid. A ShareClaim or ShareMove that names
  /// `sequence` is then likely to be valid; a pending renewal that precedes it in the log would
  /// make it invalid.
  bool no_pending_renewal = false;
  /// End of the lease.
  base::TimePoint leased_until;
  /// Start of use: an earlier process under the same id may still run until then.
  base::TimePoint usable_from;
  /// Last tick plus `max_tick_gap`. A use after this time means that the process was paused.
  base::TimePoint tick_deadline;
  /// True if this process is registered and has neither left nor been superseded.
  bool registered = false;

  /// True if the reserved share may be used: the part of each workspace's limits that the catalogue
  /// assigns to the instance and that needs no valid lease.
  bool ReservedShareUsable(base::TimePoint now) const {
    return registered && now >= usable_from && now < tick_deadline;
  }
  /// True if the lease is valid, so that leased shares may be used: the parts of workspaces' limits
  /// that move between instances by share records.
  bool LeaseValid(base::TimePoint now) const {
    return ReservedShareUsable(now) && now < leased_until;
  }
};

/// @brief A message to send to another instance.
struct OutgoingMessage {
  base::InstanceId to;
  schema::PeerMessage message;
};

/// @brief Actions that the caller has to carry out: append the records to the `control` stream in
/// this order, and send the messages.
struct Output {
  std::vector<schema::Record> records;
  std::vector<OutgoingMessage> messages;

  void Add(Output other);
};

}  // namespace persimmonstair::membership

#endif  // PERSIMMONSTAIR_MEMBERSHIP_LEASE_HPP_
