#include <algorithm>
#include <chrono>
#include <utility>

#include "persimmonstair/membership/lease_manager.hpp"

// Extends leases by consent of the peers while the log can't be read or appended to.
namespace persimmonstair::membership {

std::set<base::InstanceId> LeaseManager::RequiredConsenters(const Registry& registry) const {
  std::set<base::InstanceId> out;
  for (const auto& [id, member] : registry.Members()) {
    if (id == identity_.instance || member.end != LifetimeEnd::kNone) continue;
    if (member.registered_at < confirmed_) out.insert(id);
  }
  return out;
}

Output LeaseManager::RequestConsent(base::TimePoint now, const Registry& registry) {
  const LeaseTimes times = ScaledTo(times_, registry.CurrentCount());
  Output out;
  if (view_.sequence == 0 || now - confirmed_sent_ < times.renew_interval * 3 / 2) return out;
  if (now - confirmed_sent_ >= times.consent_limit) return out;
  // Asks at half the renewal interval, so that several rounds are left before the lease ends if a
  // message is lost.
  if (round_.nonce != 0 && now - round_.sent < times.renew_interval / 2) return out;
  round_ = ConsentRound{++last_nonce_, now, times.lease, RequiredConsenters(registry), true};
  for (const base::InstanceId& id : round_.missing) {
    schema::LeaseConsentRequest request;
    request.lease_sequence = view_.sequence;
    request.nonce = round_.nonce;
    request.duration_ms = static_cast<std::uint64_t>(base::ToMillis(times.lease));
    out.messages.push_back({id, request});
  }
  ApplyConsentIfComplete();
  return out;
}

Output LeaseManager::OnConsentRequest(base::TimePoint now, const base::InstanceId& from,
                                      base::Incarnation incarnation,
                                      const schema::LeaseConsentRequest& request,
                                      const Registry& registry) {
  Output out;
  OnPeerSeen(from, incarnation);
  if (superseded_ || view_.incarnation.value == 0 || from == identity_.instance) return out;
  const base::Incarnation newest = std::max(registry.Newest(from), newest_incarnations_[from]);
  schema::LeaseConsent answer{request.lease_sequence, request.nonce, 0, newest};
  const Member* member = registry.Find(from);
  const bool known = member != nullptr && member->incarnation == incarnation;
  const auto it = observed_peers_.find(from);
  // A pending reclaim record may still take effect, so nothing can be promised.
  const bool reclaiming = known && it != observed_peers_.end() &&
                          it->second.incarnation == incarnation &&
                          it->second.reclaiming.has_value();
  if (newest == incarnation && !(known && member->end != LifetimeEnd::kNone) &&
      (!reclaiming || faults_.reclaim_despite_promise)) {
    answer.duration_ms = request.duration_ms;
    if (known) {
      // An incarnation that this instance has not read of yet needs no entry: it is reclaimed at
      // the earliest one lease duration after its registration was read.
      ObservedPeer& observed = ObservedPeerOf(now, from, *member);
      observed.promised_until =
          std::max(observed.promised_until,
                   now + std::chrono::milliseconds{request.duration_ms} + times_.margin);
    }
  }
  out.messages.push_back({from, answer});
  return out;
}

void LeaseManager::OnConsent(base::TimePoint now, const base::InstanceId& from,
                             base::Incarnation incarnation, const schema::LeaseConsent& consent,
                             const Registry& registry) {
  OnPeerSeen(from, incarnation);
  if (superseded_ || view_.incarnation.value == 0) return;
  if (consent.newest_incarnation > view_.incarnation) {
    Supersede();
    return;
  }
  if (!view_.registered || !round_.open || consent.nonce != round_.nonce) return;
  if (std::chrono::milliseconds{consent.duration_ms} < round_.duration) return;
  if (now >= round_.sent + round_.duration || !registry.IsCurrent(from, incarnation)) return;
  round_.missing.erase(from);
  if (faults_.consent_of_one_is_enough) round_.missing.clear();
  ApplyConsentIfComplete();
}

void LeaseManager::ApplyConsentIfComplete() {
  if (!round_.open || !round_.missing.empty()) return;
  round_.open = false;
  const base::TimePoint limit = confirmed_sent_ + times_.consent_limit;
  const base::TimePoint until = std::min(limit, round_.sent + round_.duration);
  view_.leased_until = std::max(view_.leased_until, until);
}

}  // namespace persimmonstair::membership
