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

/// @brief Lease settings, the same in the whole fleet.
struct LeaseTimes {
  base::Duration renew_interval = std::chrono::seconds{2};
  base::Duration lease = std::chrono::seconds{6};
  /// Added by others before they treat a lease as expired; covers clock rates that differ.
  base::Duration margin = std::chrono::seconds{1};
  /// A longer time between two ticks means that the process was paused.
  base::Duration max_tick_gap = std::chrono::seconds{2};
  /// Longest time since the last renewal in log order for which consent of peers prolongs a lease.
  /// An instance that registered too late to be asked for consent waits this long before it
  /// reclaims.
  base::Duration consent_limit = std::chrono::hours{2};
  /// Renewals per second of the whole fleet above which each instance renews less often.
  std::size_t fleet_renewals_per_s = 11;
};

/// @brief The settings stretched for a fleet of this many instances, so that the fleet's renewals
/// stay at `fleet_renewals_per_s`: unchanged up to 22 instances, 35 s renewals for 390.
LeaseTimes ScaledTo(LeaseTimes times, std::size_t instances);

/// @brief What an instance may use, and until when, by its own monotonic clock. It stays right
/// without updates: every use checks it against the current time.
struct LeaseView {
  base::Incarnation incarnation;
  /// Last renewal that was read back as valid.
  std::uint64_t sequence = 0;
  /// No renewal is on its way: a record that names `sequence` has a good chance to be valid.
  bool no_pending_renewal = false;
  base::TimePoint leased_until;
  /// An earlier process under the same id may run until then.
  base::TimePoint usable_from;
  /// Last tick plus the gap; later uses come after a pause.
  base::TimePoint tick_deadline;
  /// Registered, and neither left nor superseded.
  bool registered = false;

  bool ReservedShareUsable(base::TimePoint now) const {
    return registered && now >= usable_from && now < tick_deadline;
  }
  bool LeaseValid(base::TimePoint now) const {
    return ReservedShareUsable(now) && now < leased_until;
  }
};

/// @brief A message for one other instance.
struct OutgoingMessage {
  base::InstanceId to;
  schema::PeerMessage message;
};

/// @brief What a call asks its caller to do: records to append to `control` in this order, and
/// messages to send.
struct Output {
  std::vector<schema::Record> records;
  std::vector<OutgoingMessage> messages;

  void Add(Output other);
};

}  // namespace persimmonstair::membership

#endif  // PERSIMMONSTAIR_MEMBERSHIP_LEASE_HPP_
