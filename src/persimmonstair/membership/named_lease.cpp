#include "persimmonstair/membership/named_lease.hpp"

#include <cstddef>
#include <utility>

namespace persimmonstair::membership {
namespace {

// Largest number of records that were sent and not read back, for example in a long outage. When it
// is reached, all are dropped; a dropped record does not extend the lease when it is read.
constexpr std::size_t kMaxOpenRecords = 16;

// Returns true if the incarnation that holds the lease has left or was reclaimed.
bool HolderEnded(const Registry& registry, const NamedLeaseState& lease_state) {
  const Member* member = registry.Find(lease_state.holder);
  return member != nullptr && member->incarnation == lease_state.incarnation &&
         member->end != LifetimeEnd::kNone;
}

}  // namespace

NamedLease::NamedLease(std::string name, base::InstanceId self, std::string process,
                       LeaseTimes times)
    : name_(std::move(name)), self_(std::move(self)), process_(std::move(process)), times_(times) {}

std::optional<schema::LeaseRecord> NamedLease::Tick(base::TimePoint now, const Registry& registry,
                                                    const LeaseView& view, bool wanted) {
  if (!wanted || !view.LeaseValid(now)) return std::nullopt;
  if (records_sent_ > 0 && now - last_sent_ < times_.renew_interval) return std::nullopt;
  const NamedLeaseState* lease_state = registry.FindLease(name_);
  // The second condition covers a record at offset 0, the initial value of `last_lease_record_`.
  if (lease_state != nullptr &&
      (last_lease_record_ != lease_state->last || last_lease_record_at_ == base::TimePoint{})) {
    last_lease_record_ = lease_state->last;
    last_lease_record_at_ = now;
  }
  const bool mine = lease_state != nullptr && lease_state->holder == self_ &&
                    lease_state->incarnation == view.incarnation;
  if (lease_state != nullptr && !mine && !HolderEnded(registry, *lease_state) &&
      now - last_lease_record_at_ < lease_state->duration + times_.margin) {
    return std::nullopt;
  }
  schema::LeaseRecord record;
  record.id = base::RecordId{self_.value + "." + process_ + "." + name_ + "." +
                             std::to_string(++records_sent_)};
  record.name = name_;
  record.holder = self_;
  record.incarnation = view.incarnation;
  record.sequence = records_sent_;
  if (lease_state != nullptr) record.previous = lease_state->last;
  record.duration_ms = static_cast<std::uint64_t>(base::ToMillis(times_.lease));
  if (open_records_.size() >= kMaxOpenRecords) open_records_.clear();
  open_records_[record.id] = now;
  last_sent_ = now;
  return record;
}

void NamedLease::OnRecord(base::TimePoint now, base::Offset offset, const schema::Record& record,
                          const Effect& effect, const Registry& registry) {
  const auto* lease = std::get_if<schema::LeaseRecord>(&record);
  if (lease == nullptr || lease->name != name_) return;
  const auto sent = open_records_.find(lease->id);
  const bool mine = sent != open_records_.end();
  const base::TimePoint sent_at = mine ? sent->second : base::TimePoint{};
  if (mine) open_records_.erase(sent);
  if (effect.kind != Effect::Kind::kNamedLease) return;
  last_lease_record_ = offset;
  last_lease_record_at_ = now;
  // A valid record of another holder ends this instance's lease; an own record renews it below.
  held_until_ = {};
  const NamedLeaseState* lease_state = registry.FindLease(name_);
  if (!mine || lease_state == nullptr || lease_state->last != offset) return;
  held_until_ = sent_at + lease_state->duration;
  fencing_ = lease_state->fencing;
  incarnation_ = lease_state->incarnation;
}

std::optional<base::Offset> NamedLease::FencingIfHeld(base::TimePoint now,
                                                      const LeaseView& view) const {
  if (now >= held_until_ || !view.LeaseValid(now) || view.incarnation != incarnation_) {
    return std::nullopt;
  }
  return fencing_;
}

}  // namespace persimmonstair::membership
