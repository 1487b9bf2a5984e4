#include "fleet_registry.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <utility>
#include <vector>

#include "clock.hpp"
#include "nonce.hpp"
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
/// The same for a collector, which reads for the instances that it reports.
constexpr milliseconds kCollectorPollInterval{500};
/// Timeout of an append of reports. The next one replaces it.
constexpr milliseconds kReportTimeout{1500};
/// Interval at which a collector checks whether an append is due.
constexpr milliseconds kCollectCheckInterval{100};
/// Largest delay of the first report of an instance that knows no collector. Of instances that
/// start together, the first few report themselves, and the others find them.
constexpr milliseconds kMaxFirstDelay{400};
constexpr milliseconds kStartCheckInterval{20};
/// Time after a failed append for which others are asked to collect.
constexpr milliseconds kCollectRetryTime{3000};
/// Poll interval until the instance holds shares and for some time after its start. All holders
/// must read a table before the next one is written, so that instances which start together need
/// quick reads until the last of them is a holder.
constexpr milliseconds kStartPollInterval{200};
constexpr std::chrono::seconds kStartTime{4};
constexpr milliseconds kCallTimeout{900};
/// Timeout of the first read, which isn't begun anew while the store is busy.
constexpr std::chrono::seconds kSnapshotTimeout{60};
/// Time without a report after which an instance isn't asked for tokens.
constexpr milliseconds kPeerTimeout{5000};
/// Number of instances that are asked to write a reservation before this instance writes it itself.
constexpr std::size_t kMaxBudgetCoordinators = 3;

constexpr char kTableKey[] = "table";

std::vector<KeyedRecord> Encode(std::vector<fleet::ReportEntry> entries) {
  std::vector<KeyedRecord> records;
  records.reserve(entries.size());
  for (auto& entry : entries) {
    std::optional<std::string> value;
    if (entry.record) value = schema::EncodeState(*entry.record);
    records.push_back({std::move(entry.key), std::move(value)});
  }
  return records;
}

std::string ToText(const dispatch::Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
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

FleetRegistry::FleetRegistry(const boost::asio::any_io_executor& executor,
                             store_access::RetryingRecordStore& store,
                             store_access::SharedReads& reads, PeerSocket& socket,
                             const GatewaySettings& settings, std::string process)
    : store_(store),
      reads_(reads),
      socket_(socket),
      instance_(settings.instance),
      data_centre_(settings.data_centre),
      process_(std::move(process)),
      peer_(settings.peer_listen),
      shares_(settings.instance),
      heartbeats_(settings.instance, settings.data_centre.value, RandomNonce()),
      collector_(settings.instance, process_),
      report_timer_(executor) {
  socket_.OnMessage([this](const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
    Handle(message, sender);
  });
}

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

std::vector<dispatch::Endpoint> FleetRegistry::RecentNeighbours() const {
  std::vector<dispatch::Endpoint> neighbours;
  for (const auto& candidate : RelayCandidates()) {
    if (candidate.is_local) neighbours.push_back(candidate.endpoint);
  }
  return neighbours;
}

std::vector<dispatch::Endpoint> FleetRegistry::StreamKeepers(const std::string& key) const {
  std::vector<std::pair<std::uint64_t, const Peer*>> ranked;
  for (const auto& [instance, peer] : peers_) {
    if (instance == instance_ || !IsLive(instance)) continue;
    ranked.emplace_back(base::RendezvousWeight(key, instance.value), &peer);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  const auto elsewhere = std::find_if(ranked.begin(), ranked.end(), [&](const auto& one) {
    return one.second->data_centre != ranked.front().second->data_centre;
  });
  if (elsewhere != ranked.end()) {
    std::rotate(std::next(ranked.begin()), elsewhere, std::next(elsewhere));
  }
  std::vector<dispatch::Endpoint> keepers;
  keepers.reserve(ranked.size());
  for (const auto& [weight, peer] : ranked) keepers.push_back(peer->endpoint);
  return keepers;
}

std::vector<RelayCandidate> FleetRegistry::RelayCandidates() const {
  std::vector<RelayCandidate> candidates;
  for (const auto& [instance, peer] : peers_) {
    if (instance == instance_ || !IsLive(instance)) continue;
    candidates.push_back({peer.endpoint, peer.data_centre == data_centre_});
  }
  return candidates;
}

std::vector<fleet::CollectorCandidate> FleetRegistry::CollectorCandidates() const {
  std::vector<fleet::CollectorCandidate> candidates;
  for (const auto& [instance, peer] : peers_) {
    if (!peer.may_collect || instance == instance_ || !IsLive(instance)) continue;
    candidates.push_back({instance, ToText(peer.endpoint), peer.data_centre == data_centre_});
  }
  return candidates;
}

void FleetRegistry::UpdatePeer(const schema::ShareReport& report, const base::InstanceId& collector,
                               bool may_collect) {
  const auto known = peers_.find(report.instance);
  if (known != peers_.end() && known->second.process == report.process && !report.stopping) {
    known->second.last_heard_at = Now();
    known->second.collector = collector;
    return;
  }
  const auto endpoint = ParseEndpoint(report.peer);
  if (report.stopping || !endpoint) {
    if (known != peers_.end() && known->second.process == report.process) peers_.erase(known);
    return;
  }
  peers_[report.instance] = {*endpoint, report.data_centre, report.process,
                             Now(),     collector,          may_collect};
}

std::optional<dispatch::Endpoint> FleetRegistry::Collector() const {
  if (heartbeats_.Collector().empty()) return std::nullopt;
  const auto endpoint = ParseEndpoint(heartbeats_.Collector());
  if (!endpoint) return std::nullopt;
  return *endpoint;
}

std::size_t FleetRegistry::StoreReaders() const { return Holders() / (collector_.Members() + 1); }

fleet::ReaderRank FleetRegistry::StoreReaderRank() const {
  const std::string& key = data_centre_.value;
  const std::uint64_t own_weight = base::RendezvousWeight(key, instance_.value);
  fleet::ReaderRank place;
  for (const auto& [instance, peer] : peers_) {
    const bool is_neighbour = peer.data_centre == data_centre_ && instance != instance_;
    if (!is_neighbour || !IsLive(instance)) continue;
    ++place.instances;
    if (base::RendezvousWeight(key, instance.value) > own_weight) ++place.rank;
  }
  if (collector_.HasMembers(Now())) place.rank = 0;
  return place;
}

base::Duration FleetRegistry::PollInterval() const {
  return collector_.HasMembers(Now()) ? kCollectorPollInterval : kPollInterval;
}

awaitable<void> FleetRegistry::Run() {
  const base::TimePoint started_at = Now();
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
    co_await WriteCrashes();
    if (tables_read && reports_read) {
      co_await WriteTable();
    }
    crashes_.Expire(UnixMillis());
    const bool settled = shares_.HasLease(Now()) && Now() - started_at >= kStartTime;
    co_await Sleep(settled ? PollInterval() : kStartPollInterval);
  }
}

awaitable<void> FleetRegistry::RunReports() {
  while (!reports_.loaded) {
    co_await Sleep(kStartCheckInterval);
  }
  const auto first_candidates = CollectorCandidates();
  const bool knows_collector = std::any_of(first_candidates.begin(), first_candidates.end(),
                                           [](const auto& one) { return one.is_local; });
  if (!knows_collector) {
    std::uniform_int_distribution<int> delay_ms(0, static_cast<int>(kMaxFirstDelay.count()));
    std::random_device random;
    co_await Sleep(milliseconds{delay_ms(random)});
  }
  while (!stopping_) {
    const base::TimePoint now = Now();
    const bool may_collect = store_.Up() && now >= cannot_collect_until_;
    std::vector<fleet::CollectorCandidate> candidates;
    if (now >= heartbeats_.NextAt()) candidates = CollectorCandidates();
    const auto step = heartbeats_.Next(now, candidates, may_collect);
    if (step.send) SendHeartbeat(step.send->first, step.send->second);
    const bool collects = step.collects || collector_.HasMembers(now);
    if (collects && store_.Up()) {
      co_await Collect();
    }
    if (!collects && !heartbeats_.Collector().empty()) {
      co_await RetireRoster();
    }
    const base::TimePoint until = collects ? now + kCollectCheckInterval : step.next_at;
    report_timer_.expires_after(std::min<base::Duration>(until - Now(), kPollInterval));
    co_await report_timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

schema::ShareReport FleetRegistry::OwnReport(bool stopping) const {
  return {instance_, process_, data_centre_, ToText(peer_), shares_.Round(), stopping};
}

void FleetRegistry::SendHeartbeat(const std::string& collector, std::uint64_t sequence) {
  const auto endpoint = ParseEndpoint(collector);
  const auto peer = endpoint ? ToPeerEndpoint(*endpoint) : std::nullopt;
  if (!peer) return;
  const schema::InstanceHeartbeat heartbeat{sequence,     instance_,     process_,
                                            data_centre_, ToText(peer_), shares_.Round()};
  socket_.Send(heartbeat, *peer);
}

void FleetRegistry::Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
  if (const auto* heartbeat = std::get_if<schema::InstanceHeartbeat>(&message)) {
    const bool collected = collector_.HasMembers(Now());
    schema::InstanceHeartbeatAck ack{heartbeat->sequence, 0, true};
    if (store_.Up() && !stopping_) ack = collector_.OnHeartbeat(Now(), *heartbeat);
    socket_.Send(ack, sender);
    if (!collected) report_timer_.cancel();
  } else if (const auto* ack = std::get_if<schema::InstanceHeartbeatAck>(&message)) {
    const std::string before = heartbeats_.Collector();
    heartbeats_.OnAck(Now(), *ack);
    const auto stored = heartbeats_.StoredSentAt();
    if (stored) shares_.OnReportStored(*stored);
    if (heartbeats_.Collector() != before) {
      Log(Level::kInfo, "collector_changed",
          {{"before", before}, {"collector", heartbeats_.Collector()}});
    }
  }
}

awaitable<void> FleetRegistry::Collect() {
  auto entries = collector_.Next(Now(), OwnReport(false), Now() < plain_reports_until_);
  if (!entries) co_return;
  const base::TimePoint sent_at = Now();
  const auto result =
      co_await store_.AppendOnce(reports_.partition, Encode(std::move(*entries)), kReportTimeout);
  collector_.OnAppended(Now(), result.has_value());
  if (result) {
    shares_.OnReportStored(sent_at);
  } else {
    cannot_collect_until_ = Now() + kCollectRetryTime;
    Log(Level::kWarning, "roster_not_stored",
        {{"members", collector_.Members()}, {"error", result.error().message}});
  }
}

awaitable<void> FleetRegistry::RetireRoster() {
  auto entries = collector_.Retire();
  if (entries.empty()) co_return;
  co_await store_.AppendOnce(reports_.partition, Encode(std::move(entries)), kReportTimeout);
}

awaitable<void> FleetRegistry::ReportStopping(base::TimePoint deadline) {
  stopping_ = true;
  auto entries = collector_.Retire();
  entries.push_back({fleet::ReportKey(instance_), OwnReport(true)});
  co_await store_.Append(reports_.partition, Encode(std::move(entries)), deadline);
}

awaitable<bool> FleetRegistry::ReadNew(FollowedPartition& source, base::TimePoint deadline) {
  if (!source.loaded) {
    auto snapshot = co_await store_.ReadNewest(source.partition, Now() + kSnapshotTimeout);
    if (!snapshot) co_return false;
    // The stop of a process comes before the reports of the next one.
    std::sort(snapshot->records.begin(), snapshot->records.end(),
              [](const auto& a, const auto& b) { return a.offset < b.offset; });
    for (const auto& stored : snapshot->records) Apply(stored.record);
    source.next = snapshot->next;
    source.loaded = true;
  }
  for (;;) {
    const auto batch = co_await reads_.Read(source.partition, source.next, deadline);
    if (!batch) {
      if (batch.error().code == ErrorCode::kNotFound) source.loaded = false;
      co_return false;
    }
    for (const auto& stored : batch->records) Apply(stored.record);
    source.next = batch->next;
    if (batch->next >= batch->end) co_return true;
  }
}

void FleetRegistry::Apply(const KeyedRecord& record) {
  if (!record.value) {
    crashes_.ApplyDeletion(record.key);
    return;
  }
  const auto decoded = schema::DecodeState(*record.value);
  if (!decoded) {
    Log(Level::kWarning, "record_skipped", {{"key", record.key}});
    return;
  }
  if (const auto* report = std::get_if<schema::ShareReport>(&*decoded)) {
    Apply(record.key, *report);
  } else if (const auto* roster = std::get_if<schema::FleetRoster>(&*decoded)) {
    Apply(roster->collector, rosters_.OnRoster(Now(), *roster));
  } else if (const auto* beat = std::get_if<schema::RosterBeat>(&*decoded)) {
    Apply(beat->collector, rosters_.OnBeat(*beat));
  } else if (const auto* table = std::get_if<schema::ShareTable>(&*decoded)) {
    Apply(*table);
  } else if (const auto* crash = std::get_if<schema::CrashReport>(&*decoded)) {
    crashes_.Apply(*crash);
  }
}

void FleetRegistry::Apply(const std::string& key, const schema::ShareReport& report) {
  const bool is_plain = key.starts_with(fleet::kPlainReportPrefix);
  // Records of the first read may be old.
  if (is_plain && reports_.loaded && !report.stopping) {
    plain_reports_until_ = Now() + quota::kHolderTimeout;
  }
  if (report.stopping) {
    rosters_.OnStopped(Now(), report.process);
    collector_.OnStopped(report.instance, report.process);
  }
  allocator_.OnReport(Now(), report);
  UpdatePeer(report, {}, !is_plain);
}

void FleetRegistry::Apply(const base::InstanceId& collector, const fleet::RosterNews& news) {
  for (const auto* report : news.running) {
    allocator_.OnReport(Now(), *report);
    UpdatePeer(*report, collector, true);
  }
  for (const auto& instance : news.silent) {
    const auto it = peers_.find(instance);
    if (it != peers_.end() && it->second.collector == collector) it->second.last_heard_at = {};
  }
}

void FleetRegistry::Apply(const schema::ShareTable& table) {
  const base::TimePoint now = Now();
  allocator_.OnTable(now, table);
  const bool had_lease = shares_.HasLease(now);
  const std::uint64_t round = shares_.Round();
  shares_.Apply(table);
  if (shares_.Round() != round) {
    heartbeats_.ReportNow();
    report_timer_.cancel();
  }
  if (!had_lease) {
    Log(Level::kInfo, "shares_applied",
        {{"round", table.round}, {"holders", table.holders.size()}});
  }
}

awaitable<void> FleetRegistry::WriteCrashes() {
  auto records = crashes_.TakeUnsent();
  if (records.empty()) co_return;
  const auto result = co_await store_.Append(reports_.partition, records, Now() + kCallTimeout);
  if (!result) crashes_.PutBack(std::move(records));
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

}  // namespace persimmonstair::gateway
