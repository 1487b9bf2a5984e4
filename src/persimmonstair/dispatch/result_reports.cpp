#include "persimmonstair/dispatch/result_reports.hpp"

#include <algorithm>

namespace persimmonstair::dispatch {

void ResultReports::Add(const ResultReport& report) {
  const auto it = waiting_.find(report.target);
  if (it == waiting_.end()) {
    if (waiting_.size() < kMaxWaiting) waiting_[report.target] = report;
    return;
  }
  ResultReport& waiting = it->second;
  if (waiting.started_ms != report.started_ms) {
    waiting = report;
    return;
  }
  waiting.failures += report.failures;
  waiting.answers += report.answers;
  waiting.sent_at = std::max(waiting.sent_at, report.sent_at);
  if (report.work_time > 0) waiting.work_time = report.work_time;
}

std::vector<ResultReport> ResultReports::Take(std::size_t max) {
  std::vector<ResultReport> taken;
  while (taken.size() < max && !waiting_.empty()) {
    taken.push_back(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
  }
  return taken;
}

}  // namespace persimmonstair::dispatch
