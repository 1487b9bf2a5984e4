#include "persimmonstair/fleet/record_tail.hpp"

#include <cstdint>
#include <utility>

#include "persimmonstair/fleet/packed_record.hpp"

namespace persimmonstair::fleet {
namespace {

/// Bytes of a record's lengths and of its flag.
constexpr std::size_t kRecordOverheadBytes = 9;

bool IsLong(const schema::FeedRecord& record) { return FeedBytes(record) > kMaxFeedRecordBytes; }

std::size_t PackedBytes(const schema::PackedRecord& record) {
  return record.key.size() + record.data.size();
}

}  // namespace

std::size_t FeedBytes(const schema::FeedRecord& record) {
  return record.key.size() + record.value.size() + kRecordOverheadBytes;
}

void RecordTail::Add(base::Offset from, std::vector<schema::FeedRecord> records) {
  BeginAt(from);
  for (auto& record : records) {
    if (IsLong(record)) {
      Push(Pack(record));
    } else {
      Push(std::move(record));
    }
  }
}

void RecordTail::AddPacked(base::Offset from, std::vector<schema::PackedRecord> packed,
                           const std::vector<schema::FeedRecord>& records) {
  BeginAt(from);
  for (std::size_t n = 0; n < records.size(); ++n) {
    if (IsLong(records[n])) {
      Push(std::move(packed[n]));
    } else {
      Push(records[n]);
    }
  }
}

void RecordTail::BeginAt(base::Offset from) {
  if (from == End()) return;
  records_.clear();
  short_bytes_ = 0;
  packed_bytes_ = 0;
  first_ = from;
  short_from_ = from;
}

void RecordTail::Push(Record record) {
  if (const auto* packed = std::get_if<schema::PackedRecord>(&record)) {
    packed_bytes_ += PackedBytes(*packed);
    short_from_ = {End().value + 1};
  } else {
    short_bytes_ += FeedBytes(std::get<schema::FeedRecord>(record));
  }
  records_.push_back(std::move(record));
  while (records_.size() > 1 &&
         (short_bytes_ > kMaxTailBytes || packed_bytes_ > kMaxPackedTailBytes)) {
    DropFirst();
  }
}

void RecordTail::DropFirst() {
  if (const auto* packed = std::get_if<schema::PackedRecord>(&records_.front())) {
    packed_bytes_ -= PackedBytes(*packed);
  } else {
    short_bytes_ -= FeedBytes(std::get<schema::FeedRecord>(records_.front()));
  }
  records_.pop_front();
  ++first_.value;
}

std::vector<schema::FeedRecord> RecordTail::Since(base::Offset from) const {
  std::vector<schema::FeedRecord> found;
  if (from < std::max(first_, short_from_)) return found;
  std::size_t bytes = 0;
  for (std::uint64_t n = from.value - first_.value; n < records_.size(); ++n) {
    const auto& record = std::get<schema::FeedRecord>(records_[n]);
    bytes += FeedBytes(record);
    if (bytes > kMaxFeedAnswerBytes) break;
    found.push_back(record);
  }
  return found;
}

std::vector<schema::PackedRecord> RecordTail::PackedSince(base::Offset from) const {
  std::vector<schema::PackedRecord> found;
  if (from < first_) return found;
  std::size_t bytes = 0;
  for (std::uint64_t n = from.value - first_.value; n < records_.size(); ++n) {
    const auto* packed = std::get_if<schema::PackedRecord>(&records_[n]);
    found.push_back(packed != nullptr ? *packed : Pack(std::get<schema::FeedRecord>(records_[n])));
    bytes += PackedBytes(found.back());
    if (bytes > kMaxTransferBytes) break;
  }
  return found;
}

}  // namespace persimmonstair::fleet
