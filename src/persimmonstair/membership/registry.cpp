#include "persimmonstair/membership/registry.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>
#include <variant>

namespace persimmonstair::membership {
namespace {

// Bounds the memory for instance ids that are never used again. The limit is ten times the target
// fleet, so that only ids that ended long ago are dropped.
constexpr std::size_t kMaxMembers = 4'096;
// Records with a longer lease are invalid: with a wrong duration, a dead holder's shares would stay
// unused for as long.
constexpr std::uint64_t kMaxLeaseMs = 600'000;

using Kind = Effect::Kind;

}  // namespace

Effect Registry::Apply(base::Offset offset, const schema::Record& record) {
  if (offset < next_) return {};
  next_ = base::Offset{offset.value + 1};
  at_ = offset;
  return std::visit(
      [this](const auto& value) -> Effect {
        if constexpr (requires { this->On(value); }) {
          return On(value);
        } else {
          return {};
        }
      },
      record);
}

Effect Registry::On(const schema::InstanceRegistered& record) {
  if (record.incarnation <= Newest(record.instance)) return {};
  Member member;
  member.data_centre = record.data_centre;
  member.incarnation = record.incarnation;
  member.registered_at = at_;
  member.renewed_at = at_;
  if (const Member* old = Find(record.instance)) {
    member.earlier_lease = old->earlier_lease;
    // Even an earlier process without a renewal in the log may have used its reserved share.
    if (old->end != LifetimeEnd::kLeft) {
      member.earlier_lease =
          std::max({old->earlier_lease, old->lease, base::Duration{std::chrono::milliseconds{1}}});
    }
  }
  members_[record.instance] = member;
  share_record_ids_.erase(record.instance);
  DropOldestEnded();
  return {Kind::kRegistered, record.instance, {}};
}

Effect Registry::On(const schema::InstanceLeft& record) {
  if (!IsCurrent(record.instance, record.incarnation)) return {};
  members_[record.instance].end = LifetimeEnd::kLeft;
  share_record_ids_.erase(record.instance);
  return {Kind::kLeft, record.instance, {}};
}

Effect Registry::On(const schema::LeaseRecord& record) {
  if (!IsCurrent(record.holder, record.incarnation)) return {};
  if (record.duration_ms == 0 || record.duration_ms > kMaxLeaseMs) return {};
  return record.name == kInstanceLease ? ApplyRenewal(record) : ApplyNamedLease(record);
}

Effect Registry::ApplyRenewal(const schema::LeaseRecord& record) {
  Member& member = members_[record.holder];
  if (record.sequence <= member.sequence) return {};
  member.sequence = record.sequence;
  member.renewed_at = at_;
  member.lease = std::chrono::milliseconds{record.duration_ms};
  member.floors_version = record.floors_version;
  if (record.previous < at_) member.confirmed_at = std::max(member.confirmed_at, record.previous);
  share_record_ids_.erase(record.holder);
  return {Kind::kRenewed, record.holder, {}};
}

Effect Registry::ApplyNamedLease(const schema::LeaseRecord& record) {
  const auto it = leases_.find(record.name);
  const base::Offset last = it == leases_.end() ? base::Offset{0} : it->second.last;
  if (record.previous != last) return {};
  const bool same = it != leases_.end() && it->second.holder == record.holder &&
                    it->second.incarnation == record.incarnation;
  NamedLeaseState lease_state{record.holder, record.incarnation, at_,
                              same ? it->second.fencing : at_,
                              std::chrono::milliseconds{record.duration_ms}};
  leases_[record.name] = std::move(lease_state);
  return {Kind::kNamedLease, record.holder, {}};
}

Effect Registry::On(const schema::ReclaimRecord& record) {
  if (!IsCurrent(record.subject, record.subject_incarnation)) return {};
  if (!IsCurrent(record.by, record.by_incarnation) || record.by == record.subject) return {};
  Member& member = members_[record.subject];
  if (record.lease_sequence != member.sequence && !faults_.ignore_sequence_of_reclaim) return {};
  member.end = LifetimeEnd::kReclaimed;
  share_record_ids_.erase(record.subject);
  return {Kind::kReclaimed, record.subject, record.by};
}

Effect Registry::On(const schema::ShareClaim& record) {
  return ApplyShareRecord(record.id, record.by, record.by_incarnation, record.lease_sequence);
}

Effect Registry::On(const schema::ShareMove& record) {
  return ApplyShareRecord(record.id, record.from, record.from_incarnation, record.lease_sequence);
}

Effect Registry::ApplyShareRecord(const base::RecordId& id, const base::InstanceId& by,
                                  base::Incarnation incarnation, std::uint64_t sequence) {
  if (!IsCurrent(by, incarnation)) return {};
  if (sequence != members_[by].sequence && !faults_.ignore_sequence_of_shares) return {};
  if (!share_record_ids_[by].insert(id).second && !faults_.apply_repeated_ids) return {};
  return {Kind::kShare, by, {}};
}

const Member* Registry::Find(const base::InstanceId& instance) const {
  const auto it = members_.find(instance);
  return it == members_.end() ? nullptr : &it->second;
}

bool Registry::IsCurrent(const base::InstanceId& instance, base::Incarnation incarnation) const {
  const Member* member = Find(instance);
  return member != nullptr && member->incarnation == incarnation &&
         member->end == LifetimeEnd::kNone;
}

base::Incarnation Registry::Newest(const base::InstanceId& instance) const {
  const Member* member = Find(instance);
  return member == nullptr ? base::Incarnation{0} : member->incarnation;
}

std::size_t Registry::CurrentCount() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& entry) { return entry.second.end == LifetimeEnd::kNone; }));
}

const NamedLeaseState* Registry::FindLease(std::string_view name) const {
  const auto it = leases_.find(name);
  return it == leases_.end() ? nullptr : &it->second;
}

void Registry::DropOldestEnded() {
  if (members_.size() <= kMaxMembers) return;
  auto oldest = members_.end();
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    if (it->second.end == LifetimeEnd::kNone) continue;
    if (oldest == members_.end() || it->second.registered_at < oldest->second.registered_at) {
      oldest = it;
    }
  }
  if (oldest != members_.end()) members_.erase(oldest);
}

}  // namespace persimmonstair::membership
