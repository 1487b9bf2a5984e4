#include "persimmonstair/quota/share_allocator.hpp"

#include <algorithm>

namespace persimmonstair::quota {

void ShareAllocator::OnReport(base::TimePoint now, const schema::ShareReport& report) {
  if (report.stopping) {
    holders_.erase(report.instance);
    return;
  }
  holders_[report.instance] = {report, now};
}

void ShareAllocator::OnTable(base::TimePoint now, const schema::ShareTable& table) {
  if (table.round <= table_.round) return;
  table_ = table;
  // A holder that was never heard of may have reported before this instance started to read.
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
    if (it == holders_.end()) return true;  // It stopped, which it reported itself.
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
  // A home that moved serves from the next round on, in which nobody takes the old one for it.
  const bool changed = next.holders != table_.holders || table_.holders != table_.previous_holders;
  if (!changed) return std::nullopt;
  return next;
}

}  // namespace persimmonstair::quota
