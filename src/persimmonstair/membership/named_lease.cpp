#include "persimmonstair/membership/named_lease.hpp"

#include <cstddef>
#include <utility>

namespace persimmonstair::membership {
namespace {

// Records whose fate stays open, for example in a long outage, are forgotten above this number; a
// forgotten one no longer prolongs the lease.
constexpr std::size_t kMaxOpenRecords = 16;

bool Ended(const Registry& registry, const NamedHold& hold) {
  const Member* member = registry.Find(hold.holder);
  return member != nullptr && member->incarnation == hold.incarnation && member->end != End::kNone;
}

}  // namespace

NamedLease::NamedLease(std::string name, base::InstanceId self, std::string process,
                       LeaseTimes times)
    : name_(std::move(name)), self_(std::move(self)), process_(std::move(process)), times_(times) {}

std::optional<schema::LeaseRecord> NamedLease::Tick(base::TimePoint now, const Registry& registry,
                                                    const LeaseView& view, bool wanted) {
  if (!wanted || !view.LeasedUsable(now)) return std::nullopt;
  if (count_ > 0 && now - last_sent_ < times_.renew) return std::nullopt;
  const NamedHold* hold = registry.FindLease(name_);
  if (hold != nullptr && (seen_ != hold->last || seen_at_ == base::TimePoint{})) {
    seen_ = hold->last;
    seen_at_ = now;
  }
  const bool mine =
      hold != nullptr && hold->holder == self_ && hold->incarnation == view.incarnation;
  if (hold != nullptr && !mine && !Ended(registry, *hold) &&
      now - seen_at_ < hold->duration + times_.margin) {
    return std::nullopt;
  }
  schema::LeaseRecord record;
  record.id =
      base::RecordId{self_.value + "." + process_ + "." + name_ + "." + std::to_string(++count_)};
  record.name = name_;
  record.holder = self_;
  record.incarnation = view.incarnation;
  record.sequence = count_;
  if (hold != nullptr) record.previous = hold->last;
  record.duration_ms = static_cast<std::uint64_t>(base::ToMillis(times_.lease));
  if (sent_.size() >= kMaxOpenRecords) sent_.clear();
  sent_[record.id] = now;
  last_sent_ = now;
  return record;
}

void NamedLease::OnRecord(base::TimePoint now, base::Offset offset, const schema::Record& record,
                          const Effect& effect, const Registry& registry) {
  const auto* lease = std::get_if<schema::LeaseRecord>(&record);
  if (lease == nullptr || lease->name != name_) return;
  const auto sent = sent_.find(lease->id);
  const bool mine = sent != sent_.end();
  const base::TimePoint sent_at = mine ? sent->second : base::TimePoint{};
  if (mine) sent_.erase(sent);
  if (effect.kind != Effect::Kind::kNamedLease) return;
  seen_ = offset;
  seen_at_ = now;
  held_until_ = {};
  const NamedHold* hold = registry.FindLease(name_);
  if (!mine || hold == nullptr || hold->last != offset) return;
  held_until_ = sent_at + hold->duration;
  fencing_ = hold->fencing;
  incarnation_ = hold->incarnation;
}

std::optional<base::Offset> NamedLease::Held(base::TimePoint now, const LeaseView& view) const {
  if (now >= held_until_ || !view.LeasedUsable(now) || view.incarnation != incarnation_) {
    return std::nullopt;
  }
  return fencing_;
}

}  // namespace persimmonstair::membership
