#include "persimmonstair/quota/share_allocator.hpp"

#include <algorithm>
#include <string>

namespace persimmonstair::quota {

void ShareAllocator::OnReport(base::TimePoint now, const schema::ShareReport& report) {
  if (report.stopping) {
    const auto it = holders_.find(report.instance);
    if (it == holders_.end()) return;
    // The record of an earlier process may be read after reports of the one that runs now.
    const std::string& known = it->second.report.process;
    if (known.empty() || known == report.process) holders_.erase(it);
    return;
  }
  // Assigned in place: a report of each instance comes about twice a second.
  Holder& holder = holders_[report.instance];
  holder.report = report;
  holder.last_heard_at = now;
}

void ShareAllocator::OnTable(base::TimePoint now, const schema::ShareTable& table) {
  if (table.round <= table_.round) return;
  table_ = table;
  // A holder without a known report may have reported before this instance started to read.
  for (const auto& one : table.holders) {
    if (!holders_.contains(one.instance)) {
      holders_[one.instance] = {{one.instance, {}, one.data_centre, {}, 0, false}, now};
    }
  }
}

void ShareAllocator::OnOutageEnded(base::TimePoint now) {
  for (auto& [instance, holder] : holders_) holder.last_heard_at = now;
}

bool ShareAllocator::IsWriter(base::TimePoint now, const base::InstanceId& self) const {
  for (const auto& [instance, holder] : holders_) {
    if (instance == self) return true;
    if (now - holder.last_heard_at < kWriterTimeout) return false;
  }
  return false;
}

bool ShareAllocator::AllApplied(base::TimePoint now) const {
  return std::all_of(table_.holders.begin(), table_.holders.end(), [&](const auto& one) {
    const auto it = holders_.find(one.instance);
    if (it == holders_.end()) return true;  // It reported that it stopped.
    return it->second.report.applied_round >= table_.round ||
           now - it->second.last_heard_at >= kHolderTimeout;
  });
}

std::optional<schema::ShareTable> ShareAllocator::NextTable(base::TimePoint now,
                                                            const base::InstanceId& self) const {
  if (!IsWriter(now, self) || !AllApplied(now)) return std::nullopt;
  schema::ShareTable next{table_.round + 1, {}, table_.holders};
  for (const auto& [instance, holder] : holders_) {
    if (now - holder.last_heard_at < kHolderTimeout) {
      next.holders.push_back({instance, holder.report.data_centre});
    }
  }
  if (next.holders.empty()) return std::nullopt;
  // A new coordinator has its share only once both tables name it. That takes another round.
  const bool changed = next.holders != table_.holders || table_.holders != table_.previous_holders;
  if (!changed) return std::nullopt;
  return next;
}

}  // namespace persimmonstair::quota
