#ifndef PERSIMMONSTAIR_FLEET_ROSTER_COLLECTOR_HPP_
#define PERSIMMONSTAIR_FLEET_ROSTER_COLLECTOR_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/fleet/report_entry.hpp"
#include "persimmonstair/schema/entry_peer.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::fleet {

/// Time without a heartbeat after which an instance is left out of the roster.
inline constexpr std::chrono::milliseconds kMemberTimeout{2500};
/// Interval between two appends of a collector while its roster does not change.
inline constexpr std::chrono::milliseconds kBeatInterval{500};
/// Interval between two appends of a collector whose roster changes.
inline constexpr std::chrono::milliseconds kChangeInterval{300};
/// Largest number of instances in a roster, which must fit into one record.
inline constexpr std::size_t kMaxMembers = 1000;

/// @brief Reports the instances that send heartbeats to this one, in one append for all of them.
///
/// While nothing changes, the append holds a short beat that refers to the last roster. So neither
/// the number of appends nor their size grows with the number of instances.
///
///     collector.OnHeartbeat(now, heartbeat);
///     if (auto entries = collector.Next(now, own_report, false)) {
///       collector.OnAppended(now, Append(*entries));
///     }
class RosterCollector {
 public:
  /// `process` is the identifier of this start of the instance.
  RosterCollector(base::InstanceId self, std::string process)
      : self_(std::move(self)), process_(std::move(process)) {}

  /// Registers the sender and returns the answer.
  schema::InstanceHeartbeatAck OnHeartbeat(base::TimePoint now,
                                           const schema::InstanceHeartbeat& heartbeat);

  /// Removes a process that has stopped.
  void OnStopped(const base::InstanceId& instance, const std::string& process);

  /// True if other instances have sent heartbeats recently.
  bool HasMembers(base::TimePoint now) const;

  /// Returns the entries to append now; nothing if no append is due. `plain_reports` adds a report
  /// of each instance for builds that read no rosters. The append must end with OnAppended() before
  /// the next call.
  std::optional<std::vector<ReportEntry>> Next(base::TimePoint now, const schema::ShareReport& own,
                                               bool plain_reports);
  void OnAppended(base::TimePoint now, bool stored);

  /// Returns the entries that delete this collector's records; empty if it has none.
  std::vector<ReportEntry> Retire();

  std::size_t Members() const { return members_.size(); }

 private:
  /// An instance that sends heartbeats to this one.
  struct Member {
    schema::ShareReport report;
    base::TimePoint last_heard_at;
    std::uint64_t sequence = 0;
    /// Sequence number of the heartbeat that the append in progress reports.
    std::uint64_t appended_sequence = 0;
    std::uint64_t stored_sequence = 0;
  };

  void DropSilent(base::TimePoint now);
  std::vector<schema::ShareReport> CurrentMembers(const schema::ShareReport& own) const;

  base::InstanceId self_;
  std::string process_;
  std::map<base::InstanceId, Member> members_;
  /// The roster of the last append, and whether the store is known to hold it.
  schema::FleetRoster roster_;
  bool roster_stored_ = false;
  bool has_records_ = false;
  /// Time of the last append if it failed.
  std::optional<base::TimePoint> failed_at_;
  base::TimePoint appended_at_;
  base::TimePoint roster_written_at_;
};

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_ROSTER_COLLECTOR_HPP_
