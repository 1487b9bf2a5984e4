#include "persimmonstair/fleet/roster_reader.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace persimmonstair::fleet {
namespace {

/// Longer than any collector reports a process that has stopped.
constexpr std::chrono::seconds kStoppedRetention{60};
/// Time after which a roster that was not written again is dropped.
constexpr std::chrono::seconds kRosterRetention{120};

}  // namespace

std::vector<const schema::ShareReport*> RosterReader::Running(
    const schema::FleetRoster& roster) const {
  std::vector<const schema::ShareReport*> running;
  running.reserve(roster.members.size());
  for (const auto& member : roster.members) {
    if (!stopped_.contains(member.process)) running.push_back(&member);
  }
  return running;
}

RosterNews RosterReader::OnRoster(base::TimePoint now, const schema::FleetRoster& roster) {
  RosterNews news;
  std::set<base::InstanceId> members;
  for (const auto& member : roster.members) members.insert(member.instance);
  const auto before = rosters_.find(roster.collector);
  if (before != rosters_.end()) {
    for (const auto& member : before->second.roster.members) {
      if (!members.contains(member.instance)) news.silent.push_back(member.instance);
    }
  }
  Known& known = rosters_[roster.collector];
  known = {roster, now};
  news.running = Running(known.roster);
  std::erase_if(rosters_,
                [now](const auto& one) { return now - one.second.read_at >= kRosterRetention; });
  return news;
}

RosterNews RosterReader::OnBeat(const schema::RosterBeat& beat) const {
  const auto it = rosters_.find(beat.collector);
  if (it == rosters_.end()) return {};
  const schema::FleetRoster& roster = it->second.roster;
  if (roster.process != beat.process || roster.number != beat.number) return {};
  return {Running(roster), {}};
}

void RosterReader::OnStopped(base::TimePoint now, const std::string& process) {
  std::erase_if(stopped_, [now](const auto& one) { return one.second <= now; });
  stopped_[process] = now + kStoppedRetention;
}

}  // namespace persimmonstair::fleet
