#include "persimmonstair/fleet/record_tail.hpp"

#include <cstdint>
#include <utility>

namespace persimmonstair::fleet {
namespace {

/// Bytes of a record's lengths and of its flag.
constexpr std::size_t kRecordOverheadBytes = 9;

}  // namespace

std::size_t FeedBytes(const schema::FeedRecord& record) {
  return record.key.size() + record.value.size() + kRecordOverheadBytes;
}

void RecordTail::Add(base::Offset from, std::vector<schema::FeedRecord> records) {
  if (from != End()) {
    records_.clear();
    bytes_ = 0;
    first_ = from;
  }
  for (auto& record : records) Push(std::move(record));
}

void RecordTail::Push(schema::FeedRecord record) {
  const std::size_t size = FeedBytes(record);
  if (size > kMaxFeedRecordBytes) {
    first_ = {End().value + 1};
    records_.clear();
    bytes_ = 0;
    return;
  }
  bytes_ += size;
  records_.push_back(std::move(record));
  while (bytes_ > kMaxTailBytes) {
    bytes_ -= FeedBytes(records_.front());
    records_.pop_front();
    ++first_.value;
  }
}

std::vector<schema::FeedRecord> RecordTail::Since(base::Offset from) const {
  std::vector<schema::FeedRecord> found;
  if (from < first_) return found;
  std::size_t bytes = 0;
  for (std::uint64_t n = from.value - first_.value; n < records_.size(); ++n) {
    bytes += FeedBytes(records_[n]);
    if (bytes > kMaxFeedAnswerBytes) break;
    found.push_back(records_[n]);
  }
  return found;
}

}  // namespace persimmonstair::fleet
