#ifndef PERSIMMONSTAIR_MEMBERSHIP_REGISTRY_HPP_
#define PERSIMMONSTAIR_MEMBERSHIP_REGISTRY_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/schema/records.hpp"

namespace persimmonstair::membership {

/// Name of the lease that every instance holds on itself.
inline constexpr std::string_view kInstanceLease = "instance";

enum class End { kNone, kLeft, kReclaimed };

/// @brief One instance id as the log order shows it: its newest process lifetime and that
/// lifetime's lease.
struct Member {
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  /// Offset of the registration of this incarnation.
  base::Offset registered_at;
  /// Last renewal in log order; 0 before the first.
  std::uint64_t sequence = 0;
  /// Offset of the last renewal, or of the registration before the first one.
  base::Offset renewed_at;
  /// Offset of the last record that the holder had read back when it sent the last renewal.
  base::Offset confirmed_at;
  base::Duration lease{0};
  /// Catalogue version of the floors that the holder had applied at its last renewal.
  std::uint64_t floors_version = 0;
  End end = End::kNone;
  /// Longest lease of the earlier incarnations, which may still be running.
  base::Duration earlier_lease{0};
};

/// @brief A lease other than "instance", for example "orders.dc1".
struct NamedLeaseState {
  base::InstanceId holder;
  base::Incarnation incarnation;
  /// Offset of the last lease record, which the next one must name as `previous`.
  base::Offset last;
  /// Fencing number: offset of the record that changed the holder.
  base::Offset fencing;
  base::Duration duration{0};
};

/// @brief What a control record changed.
struct Effect {
  enum class Kind {
    kNone,        // invalid, repeated or of no concern to the registry
    kRegistered,  // `instance` has a new incarnation
    kRenewed,     // `instance` renewed its own lease
    kLeft,        // `instance` left as planned
    kReclaimed,   // the lease of `instance` ended; `heir` takes what it held
    kNamedLease,  // a named lease was taken or renewed by `instance`
    kShare,       // a share record whose writer may write it; the share table judges the rest
  };
  Kind kind = Kind::kNone;
  base::InstanceId instance;
  base::InstanceId new_holder;
};

/// @brief Test switches that turn off one rule each, to show that the tests notice its absence.
struct RegistryFaults {
  bool ignore_sequence_of_reclaim = false;
  bool ignore_sequence_of_shares = false;
  bool apply_repeated_ids = false;
};

/// @brief The instances and leases of the fleet: a pure function of the prefix of the `control`
/// stream, so that all readers agree.
///
/// Records have to be applied once each, in offset order:
///
///     Registry registry;
///     const Effect effect = registry.Apply(offset, record);
///     table.Apply(record, effect, registry);
class Registry {
 public:
  Registry() = default;
  explicit Registry(RegistryFaults faults) : faults_(faults) {}

  /// @brief Applies one record if it is valid at this offset. Offsets at or before the last applied
  /// one are ignored, so a record that is read twice has no second effect.
  Effect Apply(base::Offset offset, const schema::Record& record);

  /// Offset to read next.
  base::Offset Next() const { return next_; }
  /// Newest lifetime of an instance, also when it has ended; null if never registered.
  const Member* Find(const base::InstanceId& instance) const;
  /// True if this lifetime is the newest one and has not ended.
  bool IsCurrent(const base::InstanceId& instance, base::Incarnation incarnation) const;
  /// Newest incarnation ever registered; 0 for none.
  base::Incarnation Newest(const base::InstanceId& instance) const;
  const std::map<base::InstanceId, Member>& Members() const { return members_; }
  /// Instances whose newest lifetime has not ended.
  std::size_t CurrentCount() const;
  /// Holder of a named lease in log order. It may have expired on the holder's clock.
  const NamedLeaseState* FindLease(std::string_view name) const;

  /// @brief The whole state as JSON text, for an instance that starts while the log is down.
  std::string Snapshot() const;
  /// @brief Reads what Snapshot() wrote; kInvalidRequest for anything else.
  static base::Result<Registry> Restore(std::string_view text);

 private:
  Effect On(const schema::InstanceRegistered& record);
  Effect On(const schema::InstanceLeft& record);
  Effect On(const schema::LeaseRecord& record);
  Effect On(const schema::ReclaimRecord& record);
  Effect On(const schema::ShareClaim& record);
  Effect On(const schema::ShareMove& record);
  Effect ApplyRenewal(const schema::LeaseRecord& record);
  Effect ApplyNamedLease(const schema::LeaseRecord& record);
  Effect ApplyShareRecord(const base::RecordId& id, const base::InstanceId& by,
                          base::Incarnation incarnation, std::uint64_t sequence);
  void DropOldestEnded();

  RegistryFaults faults_;
  base::Offset next_{0};
  base::Offset at_{0};
  std::map<base::InstanceId, Member> members_;
  std::map<std::string, NamedLeaseState, std::less<>> leases_;
  /// Ids of the share records that each instance wrote since its last renewal. Older ones can not
  /// be valid again, because they name an older renewal.
  std::map<base::InstanceId, std::set<base::RecordId>> share_record_ids_;
};

}  // namespace persimmonstair::membership

#endif  // PERSIMMONSTAIR_MEMBERSHIP_REGISTRY_HPP_
