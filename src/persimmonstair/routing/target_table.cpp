#include "target_table.hpp"

#include <algorithm>

#include "persimmonstair/base/rendezvous.hpp"

namespace persimmonstair::routing {
namespace {

// Token counts of the request for which targets are ranked before the exact estimate is made.
constexpr double kNominalPrefillTokens = 1000;
constexpr double kNominalDecodeTokens = 200;
// Nominal time of a service call.
constexpr double kNominalServiceSeconds = 0.1;
// Spreads instances over targets whose estimates differ by less than this, in seconds.
constexpr double kTieSeconds = 1e-3;

// A removed target's own sign of leaving is kept this long, in case the entry is put back.
constexpr base::Duration kSignLife{600'000'000};

double NominalSeconds(const catalogue::Target& entry) {
  if (entry.kind == catalogue::TargetKind::kService) return kNominalServiceSeconds;
  return kNominalPrefillTokens / std::max(1.0, entry.prefill_tokens_per_s) +
         kNominalDecodeTokens / std::max(1.0, entry.decode_tokens_per_s);
}

}  // namespace

Target* TargetTable::Find(const base::TargetId& id) {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : it->second.get();
}

const Target* TargetTable::Find(const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : it->second.get();
}

RequestClass& TargetTable::ClassNamed(const std::string& key) {
  return classes_.try_emplace(key, settings_.queue_policy).first->second;
}

RequestClass& TargetTable::ClassOf(const RequestQueued& spec) {
  const bool engine = spec.route.empty();
  RequestClass& it = ClassNamed(engine ? "m/" + spec.model.value : "r/" + spec.route.value);
  it.engine = engine;
  return it;
}

std::uint32_t TargetTable::Occupied(const Target& target) {
  return target.own + std::max(target.peers, target.reported_others);
}

bool TargetTable::Usable(const Target& target) {
  return target.listed && !target.leaving.Any() && !target.health.suspect && !target.cut_off;
}

double TargetTable::Rank(const Target& target) const {
  const double slots = std::max<std::uint32_t>(1, target.entry.slots);
  const double load = Occupied(target) / slots;
  double rank = NominalSeconds(target.entry) * (1 + load) + target.prefill_backlog_s;
  if (target.entry.data_centre != settings_.data_centre) {
    rank += base::ToSeconds(settings_.remote_penalty);
  }
  const std::uint64_t hash =
      base::RendezvousWeight(std::to_string(settings_.seed), target.entry.id.value);
  return rank + kTieSeconds * static_cast<double>(hash % 1024) / 1024;
}

void TargetTable::Unrank(Target& target) {
  if (!target.ranked) return;
  for (RequestClass* it : target.classes) it->available.erase({target.rank, &target});
  target.ranked = false;
}

void TargetTable::Refresh(Target& target) {
  Unrank(target);
  // Also when the target is lost: requests may be waiting for it instead of a free one.
  for (RequestClass* it : target.classes) it->changed = true;
  if (!Usable(target) || Occupied(target) >= target.entry.slots) return;
  target.rank = Rank(target);
  target.ranked = true;
  for (RequestClass* it : target.classes) it->available.emplace(target.rank, &target);
}

void TargetTable::UpdateEntry(Target& target, const catalogue::Target& entry) {
  const bool moved =
      target.listed && (target.entry.address != entry.address || target.entry.port != entry.port);
  if (moved) target.health = {};
  target.entry = entry;
  target.listed = true;
  target.leaving.catalogue = entry.state == catalogue::TargetState::kLeaving;
  target.leaving.instance_list = list_leaving_.contains(entry.id);
  target.cut_off = cut_off_.contains(entry.data_centre);
}

void TargetTable::ApplyCatalogue(const std::vector<catalogue::Target>& entries) {
  for (auto& [id, target] : targets_) {
    Unrank(*target);
    target->classes.clear();
    target->listed = false;
  }
  for (const catalogue::Target& entry : entries) {
    auto& slot = targets_[entry.id];
    if (!slot) {
      slot = std::make_unique<Target>();
      slot->index = next_index_++;
      for (const auto& [id, peer] : peers_) {
        const auto it = peer.in_flight.find(entry.id);
        if (it != peer.in_flight.end()) slot->peers += it->second;
      }
    }
    UpdateEntry(*slot, entry);
    for (const auto& model : entry.models) {
      if (entry.kind == catalogue::TargetKind::kEngine) {
        slot->classes.push_back(&ClassNamed("m/" + model.value));
      }
    }
    for (const auto& route : entry.routes) {
      if (entry.kind == catalogue::TargetKind::kService) {
        slot->classes.push_back(&ClassNamed("r/" + route.value));
      }
    }
  }
  Reindex();
}

void TargetTable::Reindex() {
  for (auto& [key, it] : classes_) it.serving = it.slots = 0;
  for (auto& [id, target] : targets_) {
    Refresh(*target);
    if (!target->listed || target->leaving.Any()) continue;
    for (RequestClass* it : target->classes) {
      ++it->serving;
      it->slots += target->entry.slots;
    }
  }
}

void TargetTable::ApplyInstanceList(const std::set<base::TargetId>& leaving) {
  list_leaving_ = leaving;
  for (auto& [id, target] : targets_) target->leaving.instance_list = leaving.contains(id);
  Reindex();
}

void TargetTable::ApplyReach(const DataCentreReach& reach) {
  if (reach.reachable) {
    cut_off_.erase(reach.data_centre);
  } else {
    cut_off_.insert(reach.data_centre);
  }
  for (auto& [id, target] : targets_) {
    target->cut_off = cut_off_.contains(target->entry.data_centre);
    Refresh(*target);
  }
}

void TargetTable::NoteAnswer(Target& target, bool leaving, base::TimePoint at) {
  LeavingSigns& signs = target.leaving;
  if (signs.answered && (at < signs.answered_at || (at == signs.answered_at && !leaving))) return;
  signs.answered = true;
  signs.answered_at = at;
  if (signs.own_answer == leaving) return;
  signs.own_answer = leaving;
  Reindex();
}

void TargetTable::ApplyReport(base::TimePoint now, const TargetReported& report) {
  Target* target = Find(report.target);
  if (target == nullptr) return;
  const base::TimePoint taken = now - report.age;
  NoteAnswer(*target, report.leaving, taken);
  // The count at the time of the report is the last one set before it; later ones also count,
  // because the age is only known roughly.
  std::uint32_t own = target->own;
  for (auto it = target->own_history.rbegin(); it != target->own_history.rend(); ++it) {
    own = std::max(own, it->second);
    if (it->first <= taken) break;
  }
  const std::uint32_t total = report.running + report.waiting;
  target->reported_others = total > own ? total - own : 0;
  target->report_until = now + settings_.report_expiry;
  Refresh(*target);
}

void TargetTable::ApplyPeer(base::TimePoint now, const PeerLoad& load) {
  Peer& peer = peers_[load.instance];
  std::set<Target*> changed;
  for (const auto& [id, n] : peer.in_flight) {
    if (Target* target = Find(id)) {
      target->peers -= std::min(target->peers, n);
      changed.insert(target);
    }
  }
  peer.heard_at = now;
  peer.in_flight = load.in_flight;
  for (const auto& [id, n] : peer.in_flight) {
    if (Target* target = Find(id)) {
      target->peers += n;
      changed.insert(target);
    }
  }
  for (Target* target : changed) Refresh(*target);
}

void TargetTable::RemovePeer(const base::InstanceId& instance) {
  if (!peers_.contains(instance)) return;
  ApplyPeer({}, PeerLoad{instance, {}, {}});
  peers_.erase(instance);
}

void TargetTable::AddOwn(base::TimePoint now, Target& target, int change) {
  target.own = static_cast<std::uint32_t>(static_cast<int>(target.own) + change);
  target.own_history.push_back({now, target.own});
}

void TargetTable::Expire(base::TimePoint now) {
  std::vector<base::InstanceId> silent;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.heard_at > settings_.report_expiry) silent.push_back(id);
  }
  for (const auto& id : silent) RemovePeer(id);
  for (auto& [id, target] : targets_) {
    if (target->reported_others == 0 || now <= target->report_until) continue;
    target->reported_others = 0;
    Refresh(*target);
  }
  std::erase_if(targets_, [now](const auto& entry) {
    const Target& it = *entry.second;
    const bool sign = it.leaving.own_answer && now - it.leaving.answered_at < kSignLife;
    return !it.listed && it.own == 0 && !sign;
  });
}

}  // namespace persimmonstair::routing
