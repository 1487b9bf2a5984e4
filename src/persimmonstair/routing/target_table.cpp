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
constexpr base::Duration kLeavingStateRetention{600'000'000};

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

RequestClass& TargetTable::ClassByKey(const std::string& key) {
  return classes_.try_emplace(key, settings_.queue_policy).first->second;
}

RequestClass& TargetTable::ClassOf(const RequestQueued& spec) {
  const bool engine = spec.route.empty();
  RequestClass& it = ClassByKey(engine ? "m/" + spec.model.value : "r/" + spec.route.value);
  it.engine = engine;
  return it;
}

std::uint32_t TargetTable::Occupied(const Target& target) {
  return target.own_in_flight + std::max(target.peers_in_flight, target.reported_others);
}

bool TargetTable::Usable(const Target& target) {
  return target.listed && !target.leaving.Any() && !target.health.suspect && !target.unreachable;
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

void TargetTable::RemoveFromAvailable(Target& target) {
  if (!target.is_available) return;
  for (RequestClass* it : target.classes) it->available.erase({target.rank, &target});
  target.is_available = false;
}

void TargetTable::UpdateAvailability(Target& target) {
  RemoveFromAvailable(target);
  // Also when the target is lost: requests may be waiting for it instead of a free one.
  for (RequestClass* it : target.classes) it->changed = true;
  if (!Usable(target) || Occupied(target) >= target.entry.slots) return;
  target.rank = Rank(target);
  target.is_available = true;
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
  target.unreachable = unreachable_.contains(entry.data_centre);
}

void TargetTable::ApplyCatalogue(const std::vector<catalogue::Target>& entries) {
  for (auto& [id, target] : targets_) {
    RemoveFromAvailable(*target);
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
        if (it != peer.in_flight.end()) slot->peers_in_flight += it->second;
      }
    }
    UpdateEntry(*slot, entry);
    for (const auto& model : entry.models) {
      if (entry.kind == catalogue::TargetKind::kEngine) {
        slot->classes.push_back(&ClassByKey("m/" + model.value));
      }
    }
    for (const auto& route : entry.routes) {
      if (entry.kind == catalogue::TargetKind::kService) {
        slot->classes.push_back(&ClassByKey("r/" + route.value));
      }
    }
  }
  RebuildIndex();
}

void TargetTable::RebuildIndex() {
  for (auto& [key, it] : classes_) it.serving_targets = it.slots = 0;
  for (auto& [id, target] : targets_) {
    UpdateAvailability(*target);
    if (!target->listed || target->leaving.Any()) continue;
    for (RequestClass* it : target->classes) {
      ++it->serving_targets;
      it->slots += target->entry.slots;
    }
  }
}

void TargetTable::ApplyInstanceList(const std::set<base::TargetId>& leaving) {
  list_leaving_ = leaving;
  for (auto& [id, target] : targets_) target->leaving.instance_list = leaving.contains(id);
  RebuildIndex();
}

void TargetTable::ApplyReachability(const DataCentreReachability& reach) {
  if (reach.reachable) {
    unreachable_.erase(reach.data_centre);
  } else {
    unreachable_.insert(reach.data_centre);
  }
  for (auto& [id, target] : targets_) {
    target->unreachable = unreachable_.contains(target->entry.data_centre);
    UpdateAvailability(*target);
  }
}

void TargetTable::RecordLeavingReport(Target& target, bool leaving, base::TimePoint at) {
  LeavingState& signs = target.leaving;
  if (signs.reported && (at < signs.reported_at || (at == signs.reported_at && !leaving))) return;
  signs.reported = true;
  signs.reported_at = at;
  if (signs.self_reported == leaving) return;
  signs.self_reported = leaving;
  RebuildIndex();
}

void TargetTable::ApplyReport(base::TimePoint now, const TargetReported& report) {
  Target* target = Find(report.target);
  if (target == nullptr) return;
  const base::TimePoint taken = now - report.age;
  RecordLeavingReport(*target, report.leaving, taken);
  // The count at the time of the report is the last one set before it; later ones also count,
  // because the age is only known roughly.
  std::uint32_t own_in_flight = target->own_in_flight;
  for (auto it = target->own_in_flight_history.rbegin(); it != target->own_in_flight_history.rend();
       ++it) {
    own_in_flight = std::max(own_in_flight, it->second);
    if (it->first <= taken) break;
  }
  const std::uint32_t total = report.running + report.waiting;
  target->reported_others = total > own_in_flight ? total - own_in_flight : 0;
  target->report_until = now + settings_.report_expiry;
  UpdateAvailability(*target);
}

void TargetTable::ApplyPeer(base::TimePoint now, const PeerLoad& load) {
  Peer& peer = peers_[load.instance];
  std::set<Target*> changed;
  for (const auto& [id, n] : peer.in_flight) {
    if (Target* target = Find(id)) {
      target->peers_in_flight -= std::min(target->peers_in_flight, n);
      changed.insert(target);
    }
  }
  peer.last_load_at = now;
  peer.in_flight = load.in_flight;
  for (const auto& [id, n] : peer.in_flight) {
    if (Target* target = Find(id)) {
      target->peers_in_flight += n;
      changed.insert(target);
    }
  }
  for (Target* target : changed) UpdateAvailability(*target);
}

void TargetTable::RemovePeer(const base::InstanceId& instance) {
  if (!peers_.contains(instance)) return;
  ApplyPeer({}, PeerLoad{instance, {}, {}});
  peers_.erase(instance);
}

void TargetTable::ChangeOwnInFlight(base::TimePoint now, Target& target, int change) {
  target.own_in_flight =
      static_cast<std::uint32_t>(static_cast<int>(target.own_in_flight) + change);
  target.own_in_flight_history.push_back({now, target.own_in_flight});
}

void TargetTable::Expire(base::TimePoint now) {
  std::vector<base::InstanceId> silent;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.last_load_at > settings_.report_expiry) silent.push_back(id);
  }
  for (const auto& id : silent) RemovePeer(id);
  for (auto& [id, target] : targets_) {
    if (target->reported_others == 0 || now <= target->report_until) continue;
    target->reported_others = 0;
    UpdateAvailability(*target);
  }
  std::erase_if(targets_, [now](const auto& entry) {
    const Target& it = *entry.second;
    const bool keep_state =
        it.leaving.self_reported && now - it.leaving.reported_at < kLeavingStateRetention;
    return !it.listed && it.own_in_flight == 0 && !keep_state;
  });
}

}  // namespace persimmonstair::routing
