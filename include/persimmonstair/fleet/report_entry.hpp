#ifndef PERSIMMONSTAIR_FLEET_REPORT_ENTRY_HPP_
#define PERSIMMONSTAIR_FLEET_REPORT_ENTRY_HPP_

#include <optional>
#include <string>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::fleet {

/// @brief A record to append to the partition of reports. An entry without a record deletes its
/// key.
struct ReportEntry {
  std::string key;
  std::optional<schema::StateRecord> record;
};

/// Prefix of the keys of reports by builds that write one for each instance and read no rosters.
inline constexpr char kPlainReportPrefix[] = "report/";

/// @brief Returns the key of an instance's own report. It differs from that of builds that read no
/// rosters, so that collectors know when to write in their format too.
inline std::string ReportKey(const base::InstanceId& instance) {
  return "report.v2/" + instance.value;
}

inline std::string RosterKey(const base::InstanceId& collector) {
  return "roster/" + collector.value;
}

inline std::string BeatKey(const base::InstanceId& collector) { return "beat/" + collector.value; }

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_REPORT_ENTRY_HPP_
