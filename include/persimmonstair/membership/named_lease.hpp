#ifndef PERSIMMONSTAIR_MEMBERSHIP_NAMED_LEASE_HPP_
#define PERSIMMONSTAIR_MEMBERSHIP_NAMED_LEASE_HPP_

#include <map>
#include <optional>
#include <string>

#include "persimmonstair/membership/lease.hpp"
#include "persimmonstair/membership/registry.hpp"

namespace persimmonstair::membership {

/// @brief Lets one instance hold a named lease, for example "orders.dc1": takes the lease when it
/// is free or has expired, and renews it. Unlike an instance's own lease, a named lease is not
/// extended by the consent of peers.
///
///     NamedLease orders{"orders.dc1", self, process};
///     if (auto record = orders.Tick(now, registry, lease_manager.View(), wanted)) Append(*record);
///     if (auto fencing = orders.FencingIfHeld(now, lease_manager.View())) SendOrder(*fencing);
class NamedLease {
 public:
  /// `process` must be unique for each process; it is part of the record ids.
  NamedLease(std::string name, base::InstanceId self, std::string process, LeaseTimes times = {});

  /// @brief Returns a record that takes or renews the lease if one is due and `wanted` is true.
  std::optional<schema::LeaseRecord> Tick(base::TimePoint now, const Registry& registry,
                                          const LeaseView& view, bool wanted);

  /// @brief Handles a control record that the registry has applied with the given effect.
  void OnRecord(base::TimePoint now, base::Offset offset, const schema::Record& record,
                const Effect& effect, const Registry& registry);

  /// @brief Returns the fencing number if this instance holds the lease by its own clock. To be
  /// checked when work starts and again just before its result is sent.
  std::optional<base::Offset> FencingIfHeld(base::TimePoint now, const LeaseView& view) const;

 private:
  std::string name_;
  base::InstanceId self_;
  std::string process_;
  LeaseTimes times_;
  std::uint64_t records_sent_ = 0;
  /// Send times of records that were not read back yet.
  std::map<base::RecordId, base::TimePoint> open_records_;
  base::TimePoint last_sent_;
  /// Last record of this lease in the log, and when this instance first saw it.
  base::Offset last_lease_record_;
  base::TimePoint last_lease_record_at_;
  /// End of this instance's hold by its own clock; the initial value after a record of another
  /// holder. The next two members are valid only before this time.
  base::TimePoint held_until_;
  base::Offset fencing_;
  base::Incarnation incarnation_;
};

}  // namespace persimmonstair::membership

#endif  // PERSIMMONSTAIR_MEMBERSHIP_NAMED_LEASE_HPP_
