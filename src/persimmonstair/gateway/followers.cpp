#include "followers.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "store_access/poll_intervals.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using boost::asio::awaitable;
using diagnostics::Level;
using diagnostics::Log;
using std::chrono::milliseconds;

/// Longest time that the store holds a read of the target list open.
constexpr milliseconds kTargetWait{400};
constexpr milliseconds kRetryPause{80};
/// Time after which a snapshot is asked for again although no other read was answered either.
constexpr std::chrono::seconds kSnapshotTimeout{60};

void LogEvacuation(const dispatch::EvacuationChange& change, base::Offset offset) {
  Log(Level::kInfo, change.begun ? "evacuation_begun" : "evacuation_ended",
      {{"data_centre", change.data_centre.value}, {"offset", offset.value}});
}

}  // namespace

awaitable<void> ConfigurationFollower::Run() {
  base::Offset next;
  for (;;) {
    const auto snapshot = co_await reads_.ReadNewest(partition_, next, kSnapshotTimeout);
    if (!snapshot) {
      Log(Level::kWarning, "configuration_not_read", {{"error", snapshot.error().message}});
      co_await Sleep(kRetryPause);
      continue;
    }
    ApplySnapshot(*snapshot);
    next = snapshot->next;
    for (;;) {
      const base::Duration wait = store_access::ConfigurationWait(readers_ ? readers_() : 0);
      const auto batch = co_await reads_.Poll(partition_, next, wait);
      if (!batch && batch.error().code == ErrorCode::kNotFound) break;
      if (!batch) {
        co_await Sleep(kRetryPause);
        continue;
      }
      Apply(batch->records);
      next = batch->next;
    }
    Log(Level::kInfo, "configuration_history_dropped", {{"next", next.value}});
  }
}

void ConfigurationFollower::ApplySnapshot(const RecordSnapshot& snapshot) {
  std::map<base::DataCentreId, base::Offset> begun_at;
  for (const auto& stored : snapshot.records) {
    const auto data_centre = codec_.DecodeEvacuation(stored.record.key);
    if (data_centre && stored.record.value) begun_at[*data_centre] = stored.offset;
  }
  std::set<base::DataCentreId> evacuated;
  for (const auto& [data_centre, offset] : begun_at) evacuated.insert(data_centre);
  const auto changes = evacuations_.Replace(std::move(evacuated));
  for (const auto& change : changes) {
    LogEvacuation(change, change.begun ? begun_at.at(change.data_centre) : snapshot.next);
  }
  if (!changes.empty() && on_evacuated_) on_evacuated_(Evacuated());
  ApplyConfiguration(snapshot.records);
}

void ConfigurationFollower::Apply(const std::vector<StoredRecord>& records) {
  ApplyEvacuations(records);
  ApplyConfiguration(records);
}

void ConfigurationFollower::ApplyEvacuations(const std::vector<StoredRecord>& records) {
  bool changed = false;
  for (const auto& [offset, record] : records) {
    const auto data_centre = codec_.DecodeEvacuation(record.key);
    if (!data_centre || !evacuations_.Set(*data_centre, record.value.has_value())) continue;
    LogEvacuation({*data_centre, record.value.has_value()}, offset);
    changed = true;
  }
  if (changed && on_evacuated_) on_evacuated_(Evacuated());
}

void ConfigurationFollower::ApplyConfiguration(const std::vector<StoredRecord>& records) {
  // Each record holds the whole configuration, so only the newest readable one is applied.
  for (auto it = records.rbegin(); it != records.rend(); ++it) {
    const KeyedRecord& record = it->record;
    if (record.key != codec_.ConfigurationKey() || !record.value) continue;
    auto configuration = codec_.DecodeConfiguration(*record.value);
    if (!configuration) {
      Log(Level::kError, "configuration_unreadable",
          {{"offset", it->offset.value}, {"error", configuration.error().message}});
      continue;
    }
    if (current_ && configuration->Version() <= current_->Version()) return;
    current_ = std::make_shared<const Configuration>(std::move(*configuration));
    Log(Level::kInfo, "configuration_applied",
        {{"version", current_->Version()},
         {"offset", it->offset.value},
         {"bytes", record.value->size()},
         {"routes", current_->RouteCount()},
         {"workspaces", current_->WorkspaceCount()},
         {"requires_keys", current_->RequiresKeys()}});
    return;
  }
}

awaitable<void> TargetFollower::Run() {
  const base::TimePoint started_at = Now();
  for (;;) {
    const base::TimePoint begun_at = Now();
    const auto snapshot = co_await store_.ReadNewest(partition_, begun_at + kSnapshotTimeout);
    if (!snapshot) {
      Log(Level::kWarning, "targets_not_read", {{"error", snapshot.error().message}});
      co_await Sleep(kRetryPause);
      continue;
    }
    confirmed_before_ = std::max(started_at, ConfirmedAt());
    snapshot_at_ = begun_at;
    std::set<base::TargetId> present;
    for (const auto& stored : snapshot->records) {
      if (stored.record.value) present.insert({stored.record.key});
      Apply(stored);
    }
    for (const auto& id : target_registry_.Ids()) {
      if (!present.contains(id)) Apply({snapshot->next, {id.value, std::nullopt}});
    }
    base::Offset next = snapshot->next;
    for (;;) {
      confirmed_before_ = std::max(started_at, ConfirmedAt());
      const auto batch = co_await reads_.Poll(partition_, next, kTargetWait);
      RemoveDue();
      if (!batch && batch.error().code == ErrorCode::kNotFound) break;
      if (batch) {
        for (const auto& stored : batch->records) Apply(stored);
        next = batch->next;
      }
      const base::Duration pause = store_access::TargetPollPause(readers_ ? readers_() : 0);
      co_await Sleep(batch ? pause : kRetryPause);
    }
    Log(Level::kInfo, "target_history_dropped", {{"next", next.value}});
  }
}

void TargetFollower::CheckStoreRecovery() {
  if (store_.RecoveredAt() == recovered_at_) return;
  recovered_at_ = store_.RecoveredAt();
  deferred_removals_.OnStoreRecovered(recovered_at_);
}

void TargetFollower::Apply(const StoredRecord& stored) {
  const KeyedRecord& record = stored.record;
  const base::TargetId id{record.key};
  if (!record.value) {
    CheckStoreRecovery();
    if (deferred_removals_.Defer(Now(), id)) {
      SetInDoubt(id);
    } else {
      Remove(id);
    }
    return;
  }
  const auto entry = codec_.DecodeTarget(record.key, *record.value);
  if (!entry) {
    Log(Level::kWarning, "target_entry_unreadable",
        {{"target", record.key}, {"error", entry.error().message}});
    Remove(id);
    return;
  }
  deferred_removals_.Cancel(id);
  ApplyEntry(stored.offset, *entry);
}

void TargetFollower::ApplyEntry(base::Offset offset, const dispatch::TargetEntry& entry) {
  const dispatch::TargetEntry* known = target_registry_.Find(entry.id);
  const bool changed = known == nullptr || known->draining != entry.draining ||
                       known->started_ms != entry.started_ms || known->endpoint != entry.endpoint;
  if (changed) {
    Log(Level::kInfo, "target_changed",
        {{"target", entry.id.value},
         {"service", entry.service.value},
         {"draining", entry.draining},
         {"started_ms", entry.started_ms}});
  }
  const bool begins_to_leave =
      entry.draining && !target_registry_.IsLeaving(entry.id, entry.started_ms);
  if (begins_to_leave) {
    Log(Level::kInfo, "target_leaving",
        {{"target", entry.id.value},
         {"started_ms", entry.started_ms},
         {"source", "entry"},
         {"offset", offset.value},
         {"age_ms", base::ToMillis(Now() - confirmed_before_)}});
  }
  const bool restarted = known != nullptr && known->started_ms != entry.started_ms;
  if (restarted || begins_to_leave) pool_.DropTarget(entry.id);
  target_registry_.Upsert(Now(), entry);
}

void TargetFollower::SetInDoubt(const base::TargetId& id) {
  if (target_registry_.Find(id) == nullptr) return;
  target_registry_.SetInDoubt(id);
  Log(Level::kInfo, "target_in_doubt",
      {{"target", id.value},
       {"shunned", target_registry_.IsShunned(id)},
       {"since_store_returned_ms", base::ToMillis(Now() - recovered_at_)},
       {"age_ms", base::ToMillis(Now() - confirmed_before_)}});
}

void TargetFollower::Remove(const base::TargetId& id) {
  deferred_removals_.Cancel(id);
  if (target_registry_.Find(id) == nullptr) return;
  Log(Level::kInfo, "target_removed", {{"target", id.value}});
  target_registry_.Remove(id);
  pool_.DropTarget(id);
}

void TargetFollower::RemoveDue() {
  for (const auto& id : deferred_removals_.TakeOverdue(Now())) Remove(id);
  // Targets can't renew their entries while the store is away.
  if (store_.Failing()) return;
  CheckStoreRecovery();
  for (const auto& id : deferred_removals_.TakeDue(Now())) Remove(id);
}

}  // namespace persimmonstair::gateway
