#include "persimmonstair/fleet/roster_collector.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::fleet {
namespace {

/// Interval at which an unchanged roster is written in full again.
constexpr std::chrono::seconds kRosterInterval{30};
/// Time after a failed append for which heartbeats are declined.
constexpr std::chrono::seconds kFailedTime{3};

}  // namespace

schema::InstanceHeartbeatAck RosterCollector::OnHeartbeat(
    base::TimePoint now, const schema::InstanceHeartbeat& heartbeat) {
  const bool has_room = members_.size() < kMaxMembers || members_.contains(heartbeat.instance);
  const bool failed = failed_at_ && now - *failed_at_ < kFailedTime;
  if (failed || !has_room) return {heartbeat.sequence, 0, true};
  Member& member = members_[heartbeat.instance];
  if (member.report.process != heartbeat.process) {
    member = {};
  } else if (heartbeat.sequence < member.sequence) {
    return {heartbeat.sequence, member.stored_sequence, false};
  }
  member.report = {heartbeat.instance, heartbeat.process,       heartbeat.data_centre,
                   heartbeat.peer,     heartbeat.applied_round, false};
  member.sequence = heartbeat.sequence;
  member.last_heard_at = now;
  return {heartbeat.sequence, member.stored_sequence, false};
}

void RosterCollector::OnStopped(const base::InstanceId& instance, const std::string& process) {
  const auto it = members_.find(instance);
  if (it != members_.end() && it->second.report.process == process) members_.erase(it);
}

bool RosterCollector::HasMembers(base::TimePoint now) const {
  return std::any_of(members_.begin(), members_.end(), [now](const auto& one) {
    return now - one.second.last_heard_at < kMemberTimeout;
  });
}

void RosterCollector::DropSilent(base::TimePoint now) {
  std::erase_if(members_, [now](const auto& one) {
    return now - one.second.last_heard_at >= kMemberTimeout;
  });
}

std::vector<schema::ShareReport> RosterCollector::CurrentMembers(
    const schema::ShareReport& own) const {
  std::vector<schema::ShareReport> current{own};
  for (const auto& [instance, member] : members_) {
    if (instance != own.instance) current.push_back(member.report);
  }
  return current;
}

std::optional<std::vector<ReportEntry>> RosterCollector::Next(base::TimePoint now,
                                                              const schema::ShareReport& own,
                                                              bool plain_reports) {
  DropSilent(now);
  auto current = CurrentMembers(own);
  const bool changed = !roster_stored_ || current != roster_.members;
  const base::Duration interval = changed ? kChangeInterval : kBeatInterval;
  if (has_records_ && now - appended_at_ < interval) return std::nullopt;
  std::vector<ReportEntry> entries;
  if (changed) {
    roster_ = {self_, process_, roster_.number + 1, std::move(current)};
    roster_stored_ = false;
  }
  if (changed || now - roster_written_at_ >= kRosterInterval) {
    entries.push_back({RosterKey(self_), roster_});
    roster_written_at_ = now;
  } else {
    entries.push_back({BeatKey(self_), schema::RosterBeat{self_, process_, roster_.number}});
  }
  for (const auto& report : roster_.members) {
    if (plain_reports) entries.push_back({ReportKey(report.instance), report});
  }
  for (auto& [instance, member] : members_) member.appended_sequence = member.sequence;
  appended_at_ = now;
  has_records_ = true;
  return entries;
}

void RosterCollector::OnAppended(base::TimePoint now, bool stored) {
  failed_at_ = stored ? std::nullopt : std::optional{now};
  if (!stored) return;
  roster_stored_ = true;
  for (auto& [instance, member] : members_) member.stored_sequence = member.appended_sequence;
}

std::vector<ReportEntry> RosterCollector::Retire() {
  if (!std::exchange(has_records_, false)) return {};
  roster_stored_ = false;
  return {{RosterKey(self_), std::nullopt}, {BeatKey(self_), std::nullopt}};
}

}  // namespace persimmonstair::fleet
