#include "fleet_registry.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "clock.hpp"
#include "persimmonstair/base/rendezvous.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/gateway/settings_load.hpp"
#include "persimmonstair/quota/coordinator.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using boost::asio::awaitable;
using diagnostics::Level;
using diagnostics::Log;
using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{1000};
/// Poll interval until the instance holds shares. It is shorter, so that the start is quick.
constexpr milliseconds kStartPollInterval{200};
constexpr milliseconds kCallTimeout{900};
/// Timeout of the first read, which isn't begun anew while the store is busy.
constexpr std::chrono::seconds kSnapshotTimeout{60};
/// Time without a report after which an instance isn't asked for tokens.
constexpr milliseconds kPeerTimeout{5000};
/// Number of instances that are asked to write a reservation before this instance writes it itself.
constexpr std::size_t kMaxBudgetCoordinators = 3;
constexpr std::int64_t kCrashRetentionMs = 120'000;

constexpr char kTableKey[] = "table";

std::string CrashKey(const schema::CrashReport& report) {
  return "crash/" + std::to_string(report.fingerprint) + "/" + report.target.value;
}

// Returns the holders in the order of their rendezvous weights for the partition, largest first.
std::vector<base::InstanceId> Rank(const Partition& partition,
                                   const std::vector<schema::ShareHolder>& holders) {
  const std::string key = partition.stream.value + "/" + std::to_string(partition.part);
  std::vector<std::pair<std::uint64_t, base::InstanceId>> weighted;
  weighted.reserve(holders.size());
  for (const auto& holder : holders) {
    weighted.emplace_back(base::RendezvousWeight(key, holder.instance.value), holder.instance);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<base::InstanceId> ranked;
  ranked.reserve(weighted.size());
  for (auto& one : weighted) ranked.push_back(std::move(one.second));
  return ranked;
}

}  // namespace

FleetRegistry::FleetRegistry(RetryingRecordStore& store, const GatewaySettings& settings,
                             std::string process)
    : store_(store),
      instance_(settings.instance),
      data_centre_(settings.data_centre),
      process_(std::move(process)),
      peer_(settings.peer_listen),
      shares_(settings.instance) {}

ReachableCoordinators FleetRegistry::FindCoordinators(const base::WorkspaceId& workspace) {
  const schema::ShareTable& table = allocator_.Table();
  if (coordinators_round_ != table.round) coordinators_.clear();
  coordinators_round_ = table.round;
  auto it = coordinators_.find(workspace);
  if (it == coordinators_.end()) {
    it = coordinators_.emplace(workspace, quota::CoordinatorsOf(workspace, table.holders)).first;
  }
  const base::TimePoint now = Now();
  ReachableCoordinators reachable;
  for (const auto& coordinator : it->second) {
    if (coordinator.instance == instance_) reachable.is_coordinator = true;
    const auto peer = peers_.find(coordinator.instance);
    const bool recently_heard =
        peer != peers_.end() && now - peer->second.last_heard_at < kPeerTimeout;
    if (coordinator.instance == instance_ || !recently_heard) continue;
    if (coordinator.data_centre == data_centre_) {
      reachable.local = peer->second.endpoint;
    } else {
      reachable.remote.push_back(peer->second.endpoint);
    }
  }
  return reachable;
}

std::vector<dispatch::Endpoint> FleetRegistry::BudgetCoordinators(const Partition& partition) {
  const schema::ShareTable& table = allocator_.Table();
  if (ranking_round_ != table.round) ranking_.clear();
  ranking_round_ = table.round;
  auto it = ranking_.find(partition);
  if (it == ranking_.end()) it = ranking_.emplace(partition, Rank(partition, table.holders)).first;
  const base::TimePoint now = Now();
  std::vector<dispatch::Endpoint> coordinators;
  for (const auto& instance : it->second) {
    if (instance == instance_ || coordinators.size() == kMaxBudgetCoordinators) break;
    const auto peer = peers_.find(instance);
    const bool recently_heard =
        peer != peers_.end() && now - peer->second.last_heard_at < kPeerTimeout;
    if (recently_heard) coordinators.push_back(peer->second.endpoint);
  }
  return coordinators;
}

bool FleetRegistry::IsLive(const base::InstanceId& instance) const {
  if (instance == instance_) return true;
  const auto peer = peers_.find(instance);
  return peer != peers_.end() && Now() - peer->second.last_heard_at < kPeerTimeout;
}

TargetCoordinator FleetRegistry::FindTargetCoordinator(const dispatch::TargetEntry& target) const {
  const schema::ShareTable& table = allocator_.Table();
  TargetCoordinator coordinator;
  coordinator.instances = table.holders.size();
  std::vector<base::InstanceId> near;
  std::vector<base::InstanceId> all;
  for (const auto& holder : table.holders) {
    if (!IsLive(holder.instance)) continue;
    all.push_back(holder.instance);
    if (holder.data_centre == target.data_centre) near.push_back(holder.instance);
  }
  if (all.empty()) return coordinator;
  const auto picked =
      base::RendezvousPick(target.id.value, near.empty() ? all : near,
                           [](const base::InstanceId& instance) { return instance.value; });
  coordinator.is_self = picked == instance_;
  if (!coordinator.is_self) coordinator.endpoint = peers_.at(picked).endpoint;
  return coordinator;
}

std::vector<dispatch::Endpoint> FleetRegistry::RecentPeers() const {
  std::vector<dispatch::Endpoint> recent;
  for (const auto& [instance, peer] : peers_) {
    if (instance != instance_ && IsLive(instance)) recent.push_back(peer.endpoint);
  }
  return recent;
}

std::vector<RelayCandidate> FleetRegistry::RelayCandidates() const {
  std::vector<RelayCandidate> candidates;
  for (const auto& [instance, peer] : peers_) {
    if (instance == instance_ || !IsLive(instance)) continue;
    candidates.push_back({peer.endpoint, peer.data_centre == data_centre_});
  }
  return candidates;
}

void FleetRegistry::UpdatePeer(const schema::ShareReport& report) {
  const auto endpoint = ParseEndpoint(report.peer);
  if (report.stopping || !endpoint) {
    peers_.erase(report.instance);
    return;
  }
  peers_[report.instance] = {*endpoint, report.data_centre, Now()};
}

awaitable<void> FleetRegistry::Run() {
  for (;;) {
    const base::TimePoint deadline = Now() + kCallTimeout;
    const bool tables_read = co_await ReadNew(tables_, deadline);
    const bool reports_read = co_await ReadNew(reports_, deadline);
    if (store_.RecoveredAt() != last_outage_end_ && reports_read) {
      last_outage_end_ = store_.RecoveredAt();
      allocator_.OnOutageEnded(Now());
    }
    if (!reports_read) {
      // No reports can be read, so a missing report does not show that a peer has stopped.
      for (auto& [instance, peer] : peers_) peer.last_heard_at = Now();
    }
    if (Now() - reported_at_ >= kPollInterval) {
      co_await Report(false, Now() + kCallTimeout);
    }
    if (tables_read && reports_read) {
      co_await WriteTable();
    }
    ExpireCrashes();
    co_await Sleep(shares_.HasLease(Now()) ? kPollInterval : kStartPollInterval);
  }
}

awaitable<void> FleetRegistry::ReportStopping(base::TimePoint deadline) {
  co_await Report(true, deadline);
}

awaitable<bool> FleetRegistry::ReadNew(FollowedPartition& source, base::TimePoint deadline) {
  if (!source.loaded) {
    const auto snapshot = co_await store_.ReadNewest(source.partition, Now() + kSnapshotTimeout);
    if (!snapshot) co_return false;
    for (const auto& stored : snapshot->records) Apply(stored.record);
    source.next = snapshot->next;
    source.loaded = true;
  }
  for (;;) {
    const auto batch = co_await store_.Read(source.partition, source.next, deadline);
    if (!batch) {
      if (batch.error().code == ErrorCode::kNotFound) source.loaded = false;
      co_return false;
    }
    for (const auto& stored : batch->records) Apply(stored.record);
    if (batch->records.empty()) co_return true;
    source.next = batch->next;
  }
}

void FleetRegistry::Apply(const KeyedRecord& record) {
  if (!record.value) return;
  const auto decoded = schema::DecodeState(*record.value);
  if (!decoded) {
    Log(Level::kWarning, "record_skipped", {{"key", record.key}});
    return;
  }
  const base::TimePoint now = Now();
  if (const auto* report = std::get_if<schema::ShareReport>(&*decoded)) {
    allocator_.OnReport(now, *report);
    UpdatePeer(*report);
  } else if (const auto* table = std::get_if<schema::ShareTable>(&*decoded)) {
    allocator_.OnTable(now, *table);
    const bool had_lease = shares_.HasLease(now);
    shares_.Apply(*table);
    if (!had_lease) {
      Log(Level::kInfo, "shares_applied",
          {{"round", table->round}, {"holders", table->holders.size()}});
    }
  } else if (const auto* crash = std::get_if<schema::CrashReport>(&*decoded)) {
    Crashes& crashes = crashes_[crash->fingerprint];
    crashes.targets.insert(crash->target);
    crashes.expires_ms = std::max(crashes.expires_ms, crash->expires_ms);
  }
}

awaitable<void> FleetRegistry::Report(bool stopping, base::TimePoint deadline) {
  const base::TimePoint sent_at = Now();
  reported_at_ = sent_at;
  const schema::ShareReport report{
      instance_,       process_, data_centre_, peer_.address + ":" + std::to_string(peer_.port),
      shares_.Round(), stopping};
  std::vector<KeyedRecord> records;
  records.push_back({"report/" + instance_.value, schema::EncodeState(report)});
  const auto crashes = std::exchange(unsent_crashes_, {});
  for (const auto& crash : crashes) {
    records.push_back({CrashKey(crash), schema::EncodeState(crash)});
  }
  const auto result = co_await store_.Append(reports_.partition, std::move(records), deadline);
  if (result) {
    shares_.OnReportStored(sent_at);
  } else {
    unsent_crashes_.insert(unsent_crashes_.end(), crashes.begin(), crashes.end());
  }
}

awaitable<void> FleetRegistry::WriteTable() {
  const auto table = allocator_.NextTable(Now(), instance_);
  if (!table) co_return;
  const auto result = co_await store_.AppendIf(
      tables_.partition, OneRecord(kTableKey, schema::EncodeState(*table)), tables_.next);
  Log(Level::kInfo, "share_table_written",
      {{"round", table->round},
       {"holders", table->holders.size()},
       {"result", result ? "written" : result.error().message}});
}

void FleetRegistry::ReportCrash(std::uint64_t fingerprint, const base::TargetId& target) {
  const schema::CrashReport report{fingerprint, target, UnixMillis() + kCrashRetentionMs};
  Crashes& crashes = crashes_[fingerprint];
  crashes.targets.insert(target);
  crashes.expires_ms = report.expires_ms;
  unsent_crashes_.push_back(report);
}

bool FleetRegistry::IsPoison(std::uint64_t fingerprint) const {
  const auto it = crashes_.find(fingerprint);
  return it != crashes_.end() && it->second.targets.size() >= kMaxCrashedTargets;
}

void FleetRegistry::ExpireCrashes() {
  const std::int64_t now_ms = UnixMillis();
  std::erase_if(crashes_, [now_ms](const auto& one) { return one.second.expires_ms < now_ms; });
}

}  // namespace persimmonstair::gateway
