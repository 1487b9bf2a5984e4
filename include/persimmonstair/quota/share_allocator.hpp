#ifndef PERSIMMONSTAIR_QUOTA_SHARE_ALLOCATOR_HPP_
#define PERSIMMONSTAIR_QUOTA_SHARE_ALLOCATOR_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/quota/local_shares.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::quota {

/// Time without a report after which an instance's shares are given to others. It exceeds
/// kShareLease by the longest time that the delivery of a report may take.
inline constexpr std::chrono::seconds kHolderTimeout{18};
/// Time without a report after which another instance takes over the writing of tables.
inline constexpr std::chrono::seconds kWriterTimeout{4};

/// @brief Computes tables of the instances that may hold shares, from the instances' reports.
///
/// Every instance reads all reports and tables. The live instance with the first name writes the
/// next table, if the partition of tables is unchanged since it was read. The next table is written
/// only when all holders of the current one have applied it, so at any time all instances use one
/// of two consecutive tables.
///
///     allocator.OnReport(now, report);
///     if (auto table = allocator.NextTable(now, {"i1"})) AppendIfUnchanged(*table);
class ShareAllocator {
 public:
  void OnReport(base::TimePoint now, const schema::ShareReport& report);
  void OnTable(base::TimePoint now, const schema::ShareTable& table);

  /// Restarts the report timeouts, because no instance could write reports during the outage.
  void OnOutageEnded(base::TimePoint now);

  /// Returns the next table if `self` has to write it now and it differs from the current one.
  std::optional<schema::ShareTable> NextTable(base::TimePoint now,
                                              const base::InstanceId& self) const;

  const schema::ShareTable& Table() const { return table_; }

 private:
  struct Holder {
    schema::ShareReport report;
    base::TimePoint last_heard_at;
  };
  /// True if `self` is the first live instance by name.
  bool IsWriter(base::TimePoint now, const base::InstanceId& self) const;
  /// True if every holder of the current table has applied it, has stopped or has timed out.
  bool AllApplied(base::TimePoint now) const;

  schema::ShareTable table_;
  std::map<base::InstanceId, Holder> holders_;
};

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_SHARE_ALLOCATOR_HPP_
