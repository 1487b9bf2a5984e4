#include "simulated_fleet_test.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::fleet {
namespace {

using std::chrono::milliseconds;

/// Time that a partition needs for one append.
constexpr milliseconds kAppendTime{4};
constexpr milliseconds kNetworkDelay{1};
constexpr milliseconds kAppendTimeout{1500};
constexpr milliseconds kPeerTimeout{5000};
constexpr std::chrono::seconds kStartTime{4};

}  // namespace

void SimulatedStore::AppendReports(const base::InstanceId& from, std::vector<ReportEntry> entries,
                                   std::function<void(bool)> done) {
  if (Refuses(from)) {
    time_.After(kNetworkDelay, [done] { done(false); });
    return;
  }
  ++appends;
  busy_until_ = std::max(busy_until_, time_.Now()) + kAppendTime;
  const base::Duration took = busy_until_ - time_.Now();
  longest_append = std::max(longest_append, took);
  time_.At(busy_until_, [this, entries = std::move(entries)] {
    for (const auto& entry : entries) {
      reports.push_back(entry);
      newest_reports[entry.key] = entry;
    }
  });
  // The caller gives up; the store goes on with the append.
  const bool in_time = took <= kAppendTimeout;
  time_.After(std::min<base::Duration>(took, kAppendTimeout), [done, in_time] { done(in_time); });
}

void SimulatedStore::AppendTable(const base::InstanceId& from, schema::ShareTable table,
                                 std::size_t expected) {
  if (Refuses(from)) return;
  time_.After(kAppendTime, [this, table = std::move(table), expected] {
    if (tables.size() == expected) tables.push_back(table);
  });
}

SimulatedInstance::SimulatedInstance(SimulatedFleet& fleet, std::size_t index, std::string process)
    : fleet_(fleet),
      id_{"i" + std::to_string(1000 + index)},
      data_centre_{"dc" + std::to_string(index % fleet.data_centres)},
      process_(std::move(process)),
      shares_(id_),
      sender_(id_, data_centre_.value, std::hash<std::string>{}(process_)),
      collector_(id_, process_) {}

void SimulatedInstance::Start() {
  started_at_ = fleet_.time.Now();
  ReadLoop();
  const int delay_ms =
      heard_.empty() ? std::uniform_int_distribution<int>(0, 400)(fleet_.random) : 0;
  fleet_.time.After(milliseconds{delay_ms}, [this] { ReportLoop(); });
}

bool SimulatedInstance::HasLease() const { return shares_.HasLease(fleet_.time.Now()); }

std::size_t SimulatedInstance::LiveInstances() const {
  const base::TimePoint now = fleet_.time.Now();
  return static_cast<std::size_t>(
      std::count_if(heard_.begin(), heard_.end(),
                    [now](const auto& one) { return now - one.second.second < kPeerTimeout; }));
}

schema::ShareReport SimulatedInstance::OwnReport() const {
  const std::string peer = std::to_string(std::stoul(id_.value.substr(1)) - 1000);
  return {id_, process_, data_centre_, peer, shares_.Round(), false};
}

std::vector<CollectorCandidate> SimulatedInstance::Candidates() const {
  std::vector<CollectorCandidate> candidates;
  if (!fleet_.uses_collectors) return candidates;
  const base::TimePoint now = fleet_.time.Now();
  for (const auto& [instance, heard] : heard_) {
    const bool live = now - heard.second < kPeerTimeout;
    const bool is_local = heard.first.data_centre == data_centre_;
    if (live && instance != id_) candidates.push_back({instance, heard.first.peer, is_local});
  }
  return candidates;
}

void SimulatedInstance::ReadLoop() {
  if (killed_) return;
  if (fleet_.store.Refuses(id_)) {
    // Without reports to read, silence says nothing about the others.
    for (auto& [instance, heard] : heard_) heard.second = fleet_.time.Now();
  } else {
    Read();
  }
  const bool settled = HasLease() && fleet_.time.Now() - started_at_ >= kStartTime;
  const milliseconds pause{settled ? 1000 : 200};
  fleet_.time.After(pause, [this] { ReadLoop(); });
}

void SimulatedInstance::Read() {
  const SimulatedStore& store = fleet_.store;
  if (!next_report_) {
    for (const auto& [key, entry] : store.newest_reports) Apply(entry);
    next_report_ = store.reports.size();
    if (!store.tables.empty()) next_table_ = store.tables.size() - 1;
  }
  for (; *next_report_ < store.reports.size(); ++*next_report_) {
    Apply(store.reports[*next_report_]);
  }
  const std::uint64_t round = shares_.Round();
  for (; next_table_ < store.tables.size(); ++next_table_) {
    allocator_.OnTable(fleet_.time.Now(), store.tables[next_table_]);
    shares_.Apply(store.tables[next_table_]);
  }
  if (shares_.Round() != round) sender_.ReportNow();
  auto table = allocator_.NextTable(fleet_.time.Now(), id_);
  if (table) fleet_.store.AppendTable(id_, std::move(*table), next_table_);
}

void SimulatedInstance::Apply(const ReportEntry& entry) {
  if (!entry.record) return;
  if (const auto* roster = std::get_if<schema::FleetRoster>(&*entry.record)) {
    Apply(reader_.OnRoster(fleet_.time.Now(), *roster));
  } else if (const auto* beat = std::get_if<schema::RosterBeat>(&*entry.record)) {
    Apply(reader_.OnBeat(*beat));
  }
}

void SimulatedInstance::Apply(const RosterNews& news) {
  const base::TimePoint now = fleet_.time.Now();
  for (const auto* report : news.running) {
    allocator_.OnReport(now, *report);
    auto& [known, heard_at] = heard_[report->instance];
    known = *report;
    heard_at = now;
  }
}

void SimulatedInstance::ReportLoop() {
  if (killed_) return;
  const base::TimePoint now = fleet_.time.Now();
  const bool may_collect = !fleet_.store.Refuses(id_) && now >= cannot_collect_until_;
  std::vector<CollectorCandidate> candidates;
  if (now >= sender_.NextAt()) candidates = Candidates();
  const HeartbeatStep step = sender_.Next(now, candidates, may_collect);
  if (step.send) {
    const schema::ShareReport own = OwnReport();
    const schema::InstanceHeartbeat heartbeat{step.send->second, id_,      process_,
                                              data_centre_,      own.peer, own.applied_round};
    fleet_.Send(step.send->first, [heartbeat](auto& peer) { peer.Receive(heartbeat); });
  }
  const bool collects = step.collects || collector_.HasMembers(now);
  if (collects && !appending_) Collect();
  fleet_.time.After(milliseconds{collects ? 100 : 20}, [this] { ReportLoop(); });
}

void SimulatedInstance::Collect() {
  auto entries = collector_.Next(fleet_.time.Now(), OwnReport(), false);
  if (!entries) return;
  appending_ = true;
  const base::TimePoint sent_at = fleet_.time.Now();
  fleet_.store.AppendReports(id_, std::move(*entries), [this, sent_at](bool stored) {
    if (killed_) return;
    appending_ = false;
    collector_.OnAppended(fleet_.time.Now(), stored);
    if (stored) shares_.OnReportStored(sent_at);
    if (!stored) cannot_collect_until_ = fleet_.time.Now() + std::chrono::seconds{3};
  });
}

void SimulatedInstance::Receive(const schema::InstanceHeartbeat& heartbeat) {
  schema::InstanceHeartbeatAck ack{heartbeat.sequence, 0, true};
  if (!fleet_.store.Refuses(id_)) ack = collector_.OnHeartbeat(fleet_.time.Now(), heartbeat);
  fleet_.Send(heartbeat.peer, [ack](auto& peer) { peer.Receive(ack); });
}

void SimulatedInstance::Receive(const schema::InstanceHeartbeatAck& ack) {
  sender_.OnAck(fleet_.time.Now(), ack);
  if (const auto stored = sender_.StoredSentAt()) shares_.OnReportStored(*stored);
}

SimulatedFleet::SimulatedFleet(std::size_t count, std::size_t data_centres_used, std::uint32_t seed)
    : random(seed), data_centres(data_centres_used), instances(count) {}

void SimulatedFleet::StartAll() {
  for (std::size_t n = 0; n < instances.size(); ++n) {
    if (instances[n] && !instances[n]->Killed()) continue;
    if (instances[n]) replaced_.push_back(std::move(instances[n]));
    instances[n] = std::make_unique<SimulatedInstance>(*this, n, "p" + std::to_string(++starts_));
    const int delay_ms = std::uniform_int_distribution<int>(0, 300)(random);
    time.After(milliseconds{delay_ms}, [instance = instances[n].get()] { instance->Start(); });
  }
}

base::Duration SimulatedFleet::RunUntilReady(base::Duration limit) {
  const base::TimePoint begun_at = time.Now();
  const auto is_ready = [](const auto& one) { return one->Killed() || one->HasLease(); };
  while (time.Now() - begun_at < limit) {
    if (std::all_of(instances.begin(), instances.end(), is_ready)) break;
    RunFor(milliseconds{50});
  }
  return time.Now() - begun_at;
}

void SimulatedFleet::Send(const std::string& peer,
                          std::function<void(SimulatedInstance&)> deliver) {
  if (std::uniform_real_distribution<double>(0, 1)(random) < loss) return;
  time.After(kNetworkDelay, [this, index = std::stoul(peer), deliver = std::move(deliver)] {
    if (!instances[index]->Killed()) deliver(*instances[index]);
  });
}

}  // namespace persimmonstair::fleet
