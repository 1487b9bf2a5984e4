#include "persimmonstair/fleet/newest_records.hpp"

#include <algorithm>

#include "persimmonstair/fleet/packed_record.hpp"

namespace persimmonstair::fleet {

void NewestRecords::Reset(const std::vector<schema::FeedRecord>& records,
                          const std::vector<base::Offset>& offsets, base::Offset end) {
  records_.clear();
  end_ = end;
  for (std::size_t n = 0; n < records.size(); ++n) {
    if (!records[n].deleted) records_[records[n].key] = {offsets[n], Pack(records[n])};
  }
}

void NewestRecords::Add(base::Offset from, const std::vector<schema::FeedRecord>& records) {
  if (!end_) return;
  if (from > *end_) {
    records_.clear();
    end_.reset();
    return;
  }
  base::Offset offset = from;
  for (const auto& record : records) {
    if (offset == *end_) {
      if (record.deleted) {
        records_.erase(record.key);
      } else {
        records_[record.key] = {offset, Pack(record)};
      }
      ++end_->value;
    }
    ++offset.value;
  }
}

std::optional<schema::SnapshotTransfer> NewestRecords::Snapshot(std::uint32_t age_ms) const {
  if (!end_ || records_.empty()) return std::nullopt;
  std::vector<const Newest*> ordered;
  ordered.reserve(records_.size());
  for (const auto& [key, newest] : records_) ordered.push_back(&newest);
  std::sort(ordered.begin(), ordered.end(),
            [](const auto* a, const auto* b) { return a->offset < b->offset; });
  schema::SnapshotTransfer snapshot{{}, {}, *end_, age_ms};
  for (const auto* newest : ordered) {
    snapshot.records.push_back(newest->record);
    snapshot.offsets.push_back(newest->offset);
  }
  return snapshot;
}

}  // namespace persimmonstair::fleet
