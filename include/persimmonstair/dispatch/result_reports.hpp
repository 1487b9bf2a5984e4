#ifndef PERSIMMONSTAIR_DISPATCH_RESULT_REPORTS_HPP_
#define PERSIMMONSTAIR_DISPATCH_RESULT_REPORTS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// @brief What an instance tells others about one target.
struct ResultReport {
  base::TargetId target;
  /// Start time of the target in Unix milliseconds.
  std::int64_t started_ms = 0;
  /// Requests that failed, and probes that were answered, since the last report.
  std::uint32_t failures = 0;
  std::uint32_t answers = 0;
  /// Time at which the last of these requests was sent.
  base::TimePoint sent_at;
  /// How many times as long as usual work takes; 0 if the report doesn't say.
  double work_time = 0;
};

/// @brief Reports that wait to be sent, at most one for each target.
class ResultReports {
 public:
  /// Reports beyond this number are dropped; other instances see the failures too.
  static constexpr std::size_t kMaxWaiting = 64;

  /// Adds the counts of `report` to what waits for its target.
  void Add(const ResultReport& report);
  /// Removes and returns the reports of up to `max` targets.
  std::vector<ResultReport> Take(std::size_t max);
  bool Empty() const { return waiting_.empty(); }

 private:
  std::map<base::TargetId, ResultReport> waiting_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_RESULT_REPORTS_HPP_
