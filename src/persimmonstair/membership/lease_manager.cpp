#include "persimmonstair/membership/lease_manager.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>
#include <variant>

#include "persimmonstair/base/rendezvous.hpp"

namespace persimmonstair::membership {
namespace {

// A registration, leave or reclaim record that was not read back after this time is sent again
// under a new id. At most one of the two can be valid: once the first is applied, the incarnation
// that the second names is no longer new or has ended.
constexpr base::Duration kRetryAfter = std::chrono::seconds{3};
// InstanceLeft releases the shares, which is allowed only after the rate-limit tokens that this
// instance lent to others have expired. They expire after 100 ms.
constexpr base::Duration kLeaveDelay = std::chrono::milliseconds{200};
// Largest number of renewals that were sent and not read back. Above it the oldest is dropped; a
// dropped renewal does not extend the lease when it is read.
constexpr std::size_t kMaxOpenRenewals = 32;
// Instances write a reclaim record one after another in order of rank, so that a dead instance
// usually causes only one record.
constexpr base::Duration kReclaimDelayPerRank = std::chrono::seconds{1};

}  // namespace

LeaseManager::LeaseManager(Identity identity, LeaseTimes times, LeaseManagerFaults faults)
    : identity_(std::move(identity)),
      times_(times),
      faults_(faults),
      // The start value differs between processes, so that two processes under one instance id do
      // not accept each other's consent answers.
      last_nonce_(base::RendezvousWeight(identity_.process, "consent")) {}

base::RecordId LeaseManager::NextId() {
  return base::RecordId{identity_.instance.value + "." + identity_.process + "." +
                        std::to_string(++last_id_)};
}

Output LeaseManager::Tick(base::TimePoint now, const Registry& registry, bool log_reachable) {
  DetectPause(now);
  last_tick_ = now;
  view_.tick_deadline =
      faults_.no_pause_detection ? base::TimePoint::max() : now + times_.max_tick_gap;
  if (!log_reachable) log_reachable_since_.reset();
  if (log_reachable && !log_reachable_since_) log_reachable_since_ = now;
  Output out;
  if (superseded_ || left_) return out;
  if (leaving_since_) return log_reachable ? FinishLeave(now) : out;
  if (!view_.registered) return log_reachable ? Register(now, registry) : out;
  if (log_reachable) {
    out.Add(Renew(now, registry));
    out.Add(Reclaim(now, registry));
  }
  out.Add(RequestConsent(now, registry));
  return out;
}

void LeaseManager::DetectPause(base::TimePoint now) {
  if (faults_.no_pause_detection || !last_tick_ || now - *last_tick_ <= times_.max_tick_gap) return;
  // A process that is not registered has no lease or shares to give up.
  if (!view_.registered) return;
  ++pauses_detected_;
  EndIncarnation();
}

void LeaseManager::EndIncarnation() {
  view_.registered = false;
  view_.no_pending_renewal = false;
  view_.leased_until = {};
  view_.incarnation = {};
  registering_.reset();
  open_renewals_.clear();
  round_.open = false;
  for (auto& [id, observed] : observed_peers_) observed.reclaiming.reset();
}

void LeaseManager::Supersede() {
  EndIncarnation();
  superseded_ = true;
}

Output LeaseManager::Register(base::TimePoint now, const Registry& registry) {
  if (registering_ && now - registering_since_ < kRetryAfter) return {};
  schema::InstanceRegistered record;
  record.id = NextId();
  record.instance = identity_.instance;
  record.data_centre = identity_.data_centre;
  record.incarnation = base::Incarnation{registry.Newest(identity_.instance).value + 1};
  registering_ = record.id;
  registering_since_ = now;
  Output out;
  out.records.emplace_back(std::move(record));
  return out;
}

Output LeaseManager::Renew(base::TimePoint now, const Registry& registry) {
  const LeaseTimes times = ScaledTo(times_, registry.CurrentCount());
  if (sent_sequence_ > 0 && now - last_renewal_sent_ < times.renew_interval) return {};
  schema::LeaseRecord record;
  record.id = NextId();
  record.name = kInstanceLease;
  record.holder = identity_.instance;
  record.incarnation = view_.incarnation;
  record.sequence = ++sent_sequence_;
  record.previous = confirmed_;
  record.duration_ms = static_cast<std::uint64_t>(base::ToMillis(times.lease));
  // Before `usable_from`, an earlier process under this id may use the reserved share of an older
  // version, so no version is stated.
  record.floors_version = now >= view_.usable_from ? reserved_shares_version_ : 0;
  if (open_renewals_.size() >= kMaxOpenRenewals) open_renewals_.erase(open_renewals_.begin());
  open_renewals_[record.sequence] = SentRenewal{record.id, now, times.lease};
  last_renewal_sent_ = now;
  view_.no_pending_renewal = false;
  Output out;
  out.records.emplace_back(std::move(record));
  return out;
}

Output LeaseManager::OnRecord(base::TimePoint now, base::Offset offset,
                              const schema::Record& record, const Effect& effect,
                              const Registry& registry) {
  if (const auto* own = std::get_if<schema::InstanceRegistered>(&record)) {
    if (own->instance == identity_.instance) {
      OnOwnRegistration(now, offset, *own, effect, registry);
    }
  }
  if (const auto* own = std::get_if<schema::LeaseRecord>(&record)) {
    if (own->holder == identity_.instance && own->name == kInstanceLease) {
      OnOwnRenewal(now, offset, *own, effect);
    }
  }
  const bool about_me = effect.instance == identity_.instance;
  const Member* member = registry.Find(effect.instance);
  if (about_me && effect.kind == Effect::Kind::kLeft && leaving_since_) left_ = true;
  if (about_me && effect.kind == Effect::Kind::kReclaimed && member != nullptr &&
      member->incarnation == view_.incarnation) {
    EndIncarnation();
    if (leaving_since_) left_ = true;
  }
  const bool renewed =
      effect.kind == Effect::Kind::kRegistered || effect.kind == Effect::Kind::kRenewed;
  if (!about_me && renewed && member != nullptr) {
    ObservedPeer& observed = ObservedPeerOf(now, effect.instance, *member);
    observed.read_at = now;
    if (observed.reclaiming && *observed.reclaiming < member->sequence) observed.reclaiming.reset();
  }
  return {};
}

void LeaseManager::OnOwnRegistration(base::TimePoint now, base::Offset offset,
                                     const schema::InstanceRegistered& record, const Effect& effect,
                                     const Registry& registry) {
  const std::string prefix = identity_.instance.value + "." + identity_.process + ".";
  const bool mine = record.id.value.starts_with(prefix);
  if (effect.kind != Effect::Kind::kRegistered) {
    if (mine && registering_ == record.id) registering_.reset();
    return;
  }
  if (!mine) {
    if (was_registered_) Supersede();
    return;
  }
  if (superseded_) return;
  const Member* member = registry.Find(identity_.instance);
  EndIncarnation();
  was_registered_ = true;
  view_.registered = !leaving_since_;
  view_.incarnation = record.incarnation;
  view_.sequence = 0;
  view_.leased_until = {};
  view_.usable_from = now;
  if (member->earlier_lease.count() > 0 && !faults_.no_start_wait) {
    view_.usable_from = now + std::max(member->earlier_lease, times_.lease) + times_.margin;
  }
  confirmed_ = offset;
  confirmed_sent_ = now;
  sent_sequence_ = 0;
}

void LeaseManager::OnOwnRenewal(base::TimePoint now, base::Offset offset,
                                const schema::LeaseRecord& record, const Effect& effect) {
  const auto it = open_renewals_.find(record.sequence);
  if (it == open_renewals_.end() || it->second.id != record.id) return;
  const SentRenewal sent = it->second;
  open_renewals_.erase(open_renewals_.begin(), std::next(it));
  if (effect.kind != Effect::Kind::kRenewed || record.incarnation != view_.incarnation) return;
  const base::TimePoint from = faults_.count_from_read_back ? now : sent.at;
  view_.leased_until = std::max(view_.leased_until, from + sent.lease);
  view_.sequence = record.sequence;
  view_.no_pending_renewal = record.sequence == sent_sequence_;
  confirmed_ = offset;
  confirmed_sent_ = sent.at;
}

void LeaseManager::OnPeerSeen(const base::InstanceId& from, base::Incarnation incarnation) {
  if (from == identity_.instance) {
    if (was_registered_ && incarnation > view_.incarnation && view_.incarnation.value > 0) {
      Supersede();
    }
    return;
  }
  base::Incarnation& newest = newest_incarnations_[from];
  newest = std::max(newest, incarnation);
}

void LeaseManager::OnNotAppended(const base::RecordId& id) {
  if (registering_ == id) registering_.reset();
  for (auto it = open_renewals_.begin(); it != open_renewals_.end(); ++it) {
    if (it->second.id != id) continue;
    open_renewals_.erase(it);
    break;
  }
  for (auto& [instance, observed] : observed_peers_) {
    if (observed.reclaiming && observed.reclaim_id == id) observed.reclaiming.reset();
  }
}

void LeaseManager::Leave(base::TimePoint now) {
  if (leaving_since_) return;
  leaving_since_ = now;
  if (!view_.registered) left_ = true;
  view_.registered = false;
}

Output LeaseManager::FinishLeave(base::TimePoint now) {
  Output out;
  if (now - *leaving_since_ < kLeaveDelay || view_.incarnation.value == 0) return out;
  if (leave_sent_ && now - leave_sent_at_ < kRetryAfter) return out;
  leave_sent_ = true;
  leave_sent_at_ = now;
  out.records.emplace_back(schema::InstanceLeft{NextId(), identity_.instance, view_.incarnation});
  return out;
}

Output LeaseManager::Reclaim(base::TimePoint now, const Registry& registry) {
  Output out;
  // An instance without a valid lease may itself be cut off, so it does not reclaim others.
  if (now >= view_.leased_until) return out;
  for (const auto& [subject, member] : registry.Members()) {
    if (subject == identity_.instance || member.end != LifetimeEnd::kNone) continue;
    if (!MayReclaim(now, subject, member, registry)) continue;
    ObservedPeer& observed = ObservedPeerOf(now, subject, member);
    observed.reclaiming = member.sequence;
    observed.reclaim_id = NextId();
    observed.reclaim_sent = now;
    out.records.emplace_back(schema::ReclaimRecord{observed.reclaim_id, subject, member.incarnation,
                                                   member.sequence, identity_.instance,
                                                   view_.incarnation});
  }
  return out;
}

bool LeaseManager::MayReclaim(base::TimePoint now, const base::InstanceId& subject,
                              const Member& member, const Registry& registry) {
  const ObservedPeer& observed = ObservedPeerOf(now, subject, member);
  if (observed.reclaiming && now - observed.reclaim_sent < kRetryAfter) return false;
  if (now < observed.promised_until && !faults_.reclaim_despite_promise) return false;
  if (faults_.reclaim_without_wait) return now - observed.read_at > times_.renew_interval * 2;
  // After an outage the first records read are old, and newer renewals need time to arrive. Silence
  // is therefore counted from when the log became reachable again.
  const base::Duration silence = now - std::max(observed.read_at, *log_reachable_since_);
  base::Duration wait = std::max(member.lease, times_.lease) + times_.margin;
  // The subject asks only those instances for consent whose registration it has certainly read. Any
  // other instance has to assume that the subject's lease was extended by their consent.
  const Member* self = registry.Find(identity_.instance);
  if (self == nullptr || self->registered_at >= member.confirmed_at) wait += times_.consent_limit;
  if (silence < wait) return false;
  return silence >= wait + kReclaimDelayPerRank * ReclaimRank(subject, registry);
}

std::int64_t LeaseManager::ReclaimRank(const base::InstanceId& subject,
                                       const Registry& registry) const {
  const auto weight = [&](const base::InstanceId& id) {
    return base::RendezvousWeight(subject.value, id.value);
  };
  const std::uint64_t own = weight(identity_.instance);
  std::int64_t rank = 0;
  for (const auto& [id, member] : registry.Members()) {
    if (member.end == LifetimeEnd::kNone && id != subject && weight(id) > own) ++rank;
  }
  return rank;
}

LeaseManager::ObservedPeer& LeaseManager::ObservedPeerOf(base::TimePoint now,
                                                         const base::InstanceId& instance,
                                                         const Member& member) {
  ObservedPeer& observed = observed_peers_[instance];
  if (observed.incarnation != member.incarnation) {
    observed = ObservedPeer{};
    observed.incarnation = member.incarnation;
    observed.read_at = now;
  }
  return observed;
}

}  // namespace persimmonstair::membership
