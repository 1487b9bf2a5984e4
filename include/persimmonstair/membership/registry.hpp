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

/// @brief How the newest lifetime of an instance ended.
enum class LifetimeEnd {
  kNone,      // it has not ended
  kLeft,      // by a planned stop
  kReclaimed  // another instance ended it with a ReclaimRecord because its lease had expired
};

/// @brief Entry of one instance id after the records read so far: its newest process lifetime
/// (incarnation) and the lease of that lifetime.
struct Member {
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  /// Offset of the registration of this incarnation.
  base::Offset registered_at;
  /// Number of the last renewal in log order; 0 before the first.
  std::uint64_t sequence = 0;
  /// Offset of the last renewal, or of the registration before the first one.
  base::Offset renewed_at;
  /// Offset of the holder's last registration or renewal that it had read back when it sent the
  /// last renewal.
  base::Offset confirmed_at;
  /// Duration of the lease as stated in the last renewal; 0 before the first.
  base::Duration lease{0};
  /// Catalogue version of the reserved shares ("floors") that the holder applied at its last
  /// renewal.
  std::uint64_t floors_version = 0;
  LifetimeEnd end = LifetimeEnd::kNone;
  /// Longest lease of earlier incarnations, whose processes may still be running.
  base::Duration earlier_lease{0};
};

/// @brief Holder and records of a lease other than "instance", for example "orders.dc1".
struct NamedLeaseState {
  base::InstanceId holder;
  base::Incarnation incarnation;
  /// Offset of the last record of this lease; the next one must name it as `previous`.
  base::Offset last;
  /// Fencing number: offset of the record with which the current holder took the lease.
  base::Offset fencing;
  /// Duration of the lease as stated in the last record, counted by the holder from when it sent
  /// the record.
  base::Duration duration{0};
};

/// @brief Change that a control record made to the registry.
struct Effect {
  enum class Kind {
    kNone,        // invalid, repeated, or of a type without effect here
    kRegistered,  // `instance` has a new incarnation
    kRenewed,     // `instance` renewed its own lease
    kLeft,        // `instance` left as planned
    kReclaimed,   // `instance` was reclaimed; `new_holder` takes its shares
    kNamedLease,  // a named lease was taken or renewed by `instance`
    kShare,       // a ShareClaim or ShareMove of a valid writer; limits::ShareTable checks the rest
  };
  Kind kind = Kind::kNone;
  base::InstanceId instance;
  /// Only set for kReclaimed.
  base::InstanceId new_holder;
};

/// @brief Fault injection for tests: each switch turns off one rule, to show that the tests detect
/// its absence.
struct RegistryFaults {
  /// Accepts a ReclaimRecord although the subject has renewed its lease since the named renewal.
  bool ignore_sequence_of_reclaim = false;
  /// Accepts a share record although its writer has renewed its lease since the named renewal.
  bool ignore_sequence_of_shares = false;
  /// Accepts a share record whose id was applied before.
  bool apply_repeated_ids = false;
};

/// @brief Instances and leases of the fleet. The registry depends only on the records of the
/// `control` stream read so far, so all readers of the same records agree.
///
/// Records have to be applied once each, in offset order:
///
///     Registry registry;
///     limits::ShareTable share_table;
///     const Effect effect = registry.Apply(offset, record);
///     share_table.Apply(record, effect, registry);
class Registry {
 public:
  Registry() = default;
  explicit Registry(RegistryFaults faults) : faults_(faults) {}

  /// @brief Applies one record if it is valid at this offset. Offsets at or before the last one are
  /// ignored, so a record that is read twice has no second effect.
  Effect Apply(base::Offset offset, const schema::Record& record);

  /// Offset to read next.
  base::Offset Next() const { return next_; }
  /// Entry of an instance's newest lifetime, even if it has ended; null if never registered.
  const Member* Find(const base::InstanceId& instance) const;
  /// True if this incarnation is the newest one and has not ended.
  bool IsCurrent(const base::InstanceId& instance, base::Incarnation incarnation) const;
  /// Newest incarnation of an instance in the registry; 0 if never registered.
  base::Incarnation Newest(const base::InstanceId& instance) const;
  /// Entries of all instances, including those whose newest lifetime has ended.
  const std::map<base::InstanceId, Member>& Members() const { return members_; }
  /// Number of instances whose newest lifetime has not ended.
  std::size_t CurrentCount() const;
  /// Entry of a named lease; null if never taken. The lease may have expired by its holder's clock.
  const NamedLeaseState* FindLease(std::string_view name) const;

  /// @brief The whole state as JSON text, for an instance that starts while the log is unavailable.
  std::string Snapshot() const;
  /// @brief Reads what Snapshot() wrote; returns kInvalidRequest for any other text.
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
  /// Checks that the writer's incarnation and renewal are current and that the id is new.
  Effect ApplyShareRecord(const base::RecordId& id, const base::InstanceId& by,
                          base::Incarnation incarnation, std::uint64_t sequence);
  /// Drops the ended instance that registered first if there are more than `kMaxMembers`.
  void DropOldestEnded();

  RegistryFaults faults_;
  base::Offset next_{0};
  /// Offset of the record being applied.
  base::Offset at_{0};
  std::map<base::InstanceId, Member> members_;
  std::map<std::string, NamedLeaseState, std::less<>> leases_;
  /// Ids of the share records that each instance wrote since its last renewal, to detect repeats.
  /// Earlier ids are not needed: a repeat would name an older renewal and be invalid.
  std::map<base::InstanceId, std::set<base::RecordId>> share_record_ids_;
};

}  // namespace persimmonstair::membership

#endif  // PERSIMMONSTAIR_MEMBERSHIP_REGISTRY_HPP_
