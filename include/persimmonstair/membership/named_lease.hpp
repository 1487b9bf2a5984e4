#ifndef PERSIMMONSTAIR_MEMBERSHIP_NAMED_LEASE_HPP_
#define PERSIMMONSTAIR_MEMBERSHIP_NAMED_LEASE_HPP_

#include <map>
#include <optional>
#include <string>

#include "persimmonstair/membership/lease.hpp"
#include "persimmonstair/membership/registry.hpp"

namespace persimmonstair::membership {

/// @brief One instance's part in a named lease, for example "orders.dc1": takes it when it is free
/// or has expired, and renews it. Consent of peers does not prolong a named lease.
///
///     NamedLease orders{"orders.dc1", self, process};
///     if (auto record = orders.Tick(now, registry, keeper.View(), wanted)) Append(*record);
///     if (auto fencing = orders.FencingIfHeld(now, keeper.View())) SendOrder(*fencing);
class NamedLease {
 public:
  NamedLease(std::string name, base::InstanceId self, std::string process, LeaseTimes times = {});

  /// @brief A record that takes or renews the lease, when one is due.
  std::optional<schema::LeaseRecord> Tick(base::TimePoint now, const Registry& registry,
                                          const LeaseView& view, bool wanted);

  /// @brief A control record was read and applied to the registry with this effect.
  void OnRecord(base::TimePoint now, base::Offset offset, const schema::Record& record,
                const Effect& effect, const Registry& registry);

  /// @brief Fencing number while this instance holds the lease by its own clock. To be checked when
  /// work starts and again just before the effect is sent.
  std::optional<base::Offset> FencingIfHeld(base::TimePoint now, const LeaseView& view) const;

 private:
  std::string name_;
  base::InstanceId self_;
  std::string process_;
  LeaseTimes times_;
  std::uint64_t records_sent_ = 0;
  /// Send times of records whose fate is open.
  std::map<base::RecordId, base::TimePoint> open_records_;
  base::TimePoint last_sent_;
  base::Offset last_lease_record_;
  base::TimePoint last_lease_record_at_;
  base::TimePoint held_until_;
  base::Offset fencing_;
  base::Incarnation incarnation_;
};

}  // namespace persimmonstair::membership

#endif  // PERSIMMONSTAIR_MEMBERSHIP_NAMED_LEASE_HPP_
