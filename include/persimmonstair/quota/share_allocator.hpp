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
/// kShareLease by the longest time that a report may be on its way.
inline constexpr std::chrono::seconds kHolderTimeout{18};
/// Time without a report after which an instance doesn't compute tables.
inline constexpr std::chrono::seconds kWriterTimeout{4};

/// @brief Computes tables of the instances that may hold shares, from the instances' reports.
///
/// Every instance reads all reports and tables; the first live one by name writes the next table
/// if the store still is as it was read. A table follows another only when all its holders use
/// that one, so that at any time instances use one of two tables that follow each other.
///
///     allocator.OnReport(now, report);
///     if (auto table = allocator.NextTable(now, {"i1"})) AppendIfUnchanged(*table);
class ShareAllocator {
 public:
  void OnReport(base::TimePoint now, const schema::ShareReport& report);
  void OnTable(base::TimePoint now, const schema::ShareTable& table);

  /// The store could not be read until now: instances could not report either.
  void OnOutageEnded(base::TimePoint now);

  /// The next table if `self` is to write it now and it differs from the present one.
  std::optional<schema::ShareTable> NextTable(base::TimePoint now,
                                              const base::InstanceId& self) const;

  const schema::ShareTable& Table() const { return table_; }

 private:
  struct Holder {
    schema::ShareReport report;
    base::TimePoint last_heard_at;
  };
  bool IsWriter(base::TimePoint now, const base::InstanceId& self) const;
  bool AllApplied(base::TimePoint now) const;

  schema::ShareTable table_;
  std::map<base::InstanceId, Holder> holders_;
};

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_SHARE_ALLOCATOR_HPP_
