#include "fleet_keeper.hpp"

#include <utility>
#include <vector>

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/gateway/settings_load.hpp"
#include "persimmonstair/quota/home.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using boost::asio::awaitable;
using diagnostics::Level;
using diagnostics::Log;
using std::chrono::milliseconds;

constexpr milliseconds kInterval{1000};
/// Until the instance has shares it reads tables more often, so that a start is quick.
constexpr milliseconds kStartInterval{200};
constexpr milliseconds kCallTime{900};
/// Time without a report after which an instance isn't asked any more.
constexpr milliseconds kPeerSilence{5000};
constexpr std::int64_t kCrashKeepMs = 120'000;

constexpr char kTableKey[] = "table";

std::string CrashKey(const schema::CrashReport& report) {
  return "crash/" + std::to_string(report.fingerprint) + "/" + report.target.value;
}

}  // namespace

FleetKeeper::FleetKeeper(DurableStore& store, const GatewaySettings& settings, std::string process)
    : store_(store),
      instance_(settings.instance),
      data_centre_(settings.data_centre),
      process_(std::move(process)),
      peer_(settings.peer_listen),
      use_(settings.instance) {}

Lenders FleetKeeper::LendersOf(const base::WorkspaceId& workspace) {
  const schema::ShareTable& table = allocator_.Table();
  if (homes_round_ != table.round) homes_.clear();
  homes_round_ = table.round;
  auto it = homes_.find(workspace);
  if (it == homes_.end()) {
    it = homes_.emplace(workspace, quota::HomesOf(workspace, table.holders)).first;
  }
  const base::TimePoint now = Now();
  Lenders lenders;
  for (const auto& home : it->second) {
    if (home.instance == instance_) lenders.self = true;
    const auto peer = peers_.find(home.instance);
    const bool heard = peer != peers_.end() && now - peer->second.heard_at < kPeerSilence;
    if (home.instance == instance_ || !heard) continue;
    if (home.data_centre == data_centre_) {
      lenders.near = peer->second.endpoint;
    } else {
      lenders.far.push_back(peer->second.endpoint);
    }
  }
  return lenders;
}

void FleetKeeper::NotePeer(const schema::ShareReport& report) {
  const auto endpoint = ParseEndpoint(report.peer);
  if (report.stopping || !endpoint) {
    peers_.erase(report.instance);
    return;
  }
  peers_[report.instance] = {*endpoint, Now()};
}

awaitable<void> FleetKeeper::Run() {
  for (;;) {
    const base::TimePoint deadline = Now() + kCallTime;
    const bool tables_read = co_await ReadNew(tables_, deadline);
    const bool reports_read = co_await ReadNew(reports_, deadline);
    if (store_.RegainedAt() != outage_seen_ && reports_read) {
      outage_seen_ = store_.RegainedAt();
      allocator_.OnOutageEnded(Now());
    }
    if (!reports_read) {
      // Nobody can be heard of now, so that silence says nothing.
      for (auto& [instance, peer] : peers_) peer.heard_at = Now();
    }
    if (Now() - reported_at_ >= kInterval) {
      co_await Report(false, deadline);
    }
    if (tables_read && reports_read) {
      co_await WriteTable();
    }
    ExpireCrashes();
    co_await Sleep(use_.HasLease(Now()) ? kInterval : kStartInterval);
  }
}

awaitable<void> FleetKeeper::Leave(base::TimePoint deadline) { co_await Report(true, deadline); }

awaitable<bool> FleetKeeper::ReadNew(Source& source, base::TimePoint deadline) {
  if (!source.loaded) {
    const auto snapshot = co_await store_.Newest(source.partition, deadline);
    if (!snapshot) co_return false;
    for (const auto& placed : snapshot->records) Apply(placed.record);
    source.next = snapshot->next;
    source.loaded = true;
  }
  for (;;) {
    const auto batch = co_await store_.Read(source.partition, source.next, deadline);
    if (!batch) {
      if (batch.error().code == ErrorCode::kNotFound) source.loaded = false;
      co_return false;
    }
    for (const auto& placed : batch->records) Apply(placed.record);
    if (batch->records.empty()) co_return true;
    source.next = batch->next;
  }
}

void FleetKeeper::Apply(const KeyedRecord& record) {
  if (!record.value) return;
  const auto decoded = schema::DecodeState(*record.value);
  if (!decoded) {
    Log(Level::kWarning, "record_skipped", {{"key", record.key}});
    return;
  }
  const base::TimePoint now = Now();
  if (const auto* report = std::get_if<schema::ShareReport>(&*decoded)) {
    allocator_.OnReport(now, *report);
    NotePeer(*report);
  } else if (const auto* table = std::get_if<schema::ShareTable>(&*decoded)) {
    allocator_.OnTable(now, *table);
    const bool had_lease = use_.HasLease(now);
    use_.Apply(*table);
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

awaitable<void> FleetKeeper::Report(bool stopping, base::TimePoint deadline) {
  const base::TimePoint sent_at = Now();
  reported_at_ = sent_at;
  const schema::ShareReport report{instance_,    process_,
                                   data_centre_, peer_.address + ":" + std::to_string(peer_.port),
                                   use_.Round(), stopping};
  std::vector<KeyedRecord> records;
  records.push_back({"report/" + instance_.value, schema::EncodeState(report)});
  const auto crashes = std::exchange(unsent_crashes_, {});
  for (const auto& crash : crashes) {
    records.push_back({CrashKey(crash), schema::EncodeState(crash)});
  }
  const auto result = co_await store_.Append(reports_.partition, std::move(records), deadline);
  if (result) {
    use_.OnReported(sent_at);
  } else {
    unsent_crashes_.insert(unsent_crashes_.end(), crashes.begin(), crashes.end());
  }
}

awaitable<void> FleetKeeper::WriteTable() {
  const auto table = allocator_.Next(Now(), instance_);
  if (!table) co_return;
  const auto result = co_await store_.AppendIf(
      tables_.partition, OneRecord(kTableKey, schema::EncodeState(*table)), tables_.next);
  Log(Level::kInfo, "share_table_written",
      {{"round", table->round},
       {"holders", table->holders.size()},
       {"result", result ? "written" : result.error().message}});
}

void FleetKeeper::ReportCrash(std::uint64_t fingerprint, const base::TargetId& target) {
  const schema::CrashReport report{fingerprint, target, UnixMillis() + kCrashKeepMs};
  Crashes& crashes = crashes_[fingerprint];
  crashes.targets.insert(target);
  crashes.expires_ms = report.expires_ms;
  unsent_crashes_.push_back(report);
}

bool FleetKeeper::IsPoison(std::uint64_t fingerprint) const {
  const auto it = crashes_.find(fingerprint);
  return it != crashes_.end() && it->second.targets.size() >= kMaxCrashedTargets;
}

void FleetKeeper::ExpireCrashes() {
  const std::int64_t now_ms = UnixMillis();
  std::erase_if(crashes_, [now_ms](const auto& one) { return one.second.expires_ms < now_ms; });
}

}  // namespace persimmonstair::gateway
