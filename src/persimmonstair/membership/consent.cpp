#include <algorithm>
#include <chrono>
#include <utility>

#include "persimmonstair/membership/lease_keeper.hpp"

// Consent of peers while the log cannot be read or appended to.
namespace persimmonstair::membership {

std::set<base::InstanceId> LeaseKeeper::Consenters(const Registry& registry) const {
  std::set<base::InstanceId> out;
  for (const auto& [id, member] : registry.Members()) {
    if (id == identity_.instance || member.end != End::kNone) continue;
    if (member.registered_at < confirmed_) out.insert(id);
  }
  return out;
}

Output LeaseKeeper::AskConsent(base::TimePoint now, const Registry& registry) {
  const LeaseTimes times = ScaledTo(times_, registry.CurrentCount());
  Output out;
  if (view_.sequence == 0 || now - confirmed_sent_ < times.renew * 3 / 2) return out;
  if (now - confirmed_sent_ >= times.consent_limit) return out;
  // Half a renewal period: a lost message leaves several more rounds before the lease ends.
  if (round_.nonce != 0 && now - round_.sent < times.renew / 2) return out;
  round_ = Round{++last_nonce_, now, times.lease, Consenters(registry), true};
  for (const base::InstanceId& id : round_.missing) {
    schema::LeaseConsentRequest request;
    request.lease_sequence = view_.sequence;
    request.nonce = round_.nonce;
    request.duration_ms = static_cast<std::uint64_t>(base::ToMillis(times.lease));
    out.messages.push_back({id, request});
  }
  CloseRound();
  return out;
}

Output LeaseKeeper::OnConsentRequest(base::TimePoint now, const base::InstanceId& from,
                                     base::Incarnation incarnation,
                                     const schema::LeaseConsentRequest& request,
                                     const Registry& registry) {
  Output out;
  OnPeerSeen(from, incarnation);
  if (superseded_ || view_.incarnation.value == 0 || from == identity_.instance) return out;
  const base::Incarnation newest = std::max(registry.Newest(from), newest_seen_[from]);
  schema::LeaseConsent answer{request.lease_sequence, request.nonce, 0, newest};
  const Member* member = registry.Find(from);
  const bool known = member != nullptr && member->incarnation == incarnation;
  const auto it = watches_.find(from);
  // A reclaim record on its way may still take effect, so nothing can be promised.
  const bool reclaiming = known && it != watches_.end() && it->second.incarnation == incarnation &&
                          it->second.reclaiming.has_value();
  if (newest == incarnation && !(known && member->end != End::kNone) &&
      (!reclaiming || faults_.reclaim_despite_promise)) {
    answer.duration_ms = request.duration_ms;
    if (known) {
      // An incarnation that is not known yet needs no entry: it is reclaimed only a whole lease
      // after its registration was read.
      Watch& watch = WatchOf(now, from, *member);
      watch.promised_until =
          std::max(watch.promised_until,
                   now + std::chrono::milliseconds{request.duration_ms} + times_.margin);
    }
  }
  out.messages.push_back({from, answer});
  return out;
}

void LeaseKeeper::OnConsent(base::TimePoint now, const base::InstanceId& from,
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
  CloseRound();
}

void LeaseKeeper::CloseRound() {
  if (!round_.open || !round_.missing.empty()) return;
  round_.open = false;
  const base::TimePoint limit = confirmed_sent_ + times_.consent_limit;
  const base::TimePoint until = std::min(limit, round_.sent + round_.duration);
  view_.leased_until = std::max(view_.leased_until, until);
}

}  // namespace persimmonstair::membership
