#include "stream_reader.hpp"

#include <algorithm>

#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::scheduler {

std::optional<schema::Record> StreamReader::Decode(const LogEntry& entry) {
  auto record = schema::DecodeRecord(entry.body);
  if (record) return std::move(*record);
  ++skipped_records_;
  return std::nullopt;
}

bool StreamReader::TryRestore(const schema::StreamSnapshot& snapshot, const Restore& restore,
                              std::vector<Record>& out) {
  // If the snapshot ends before the first buffered record, the records between them are missing.
  if (!buffered_.empty() && buffered_.front().first > snapshot.next) return false;
  if (!restore(snapshot.state)) return false;
  for (auto& record : buffered_) {
    if (record.first >= snapshot.next) out.push_back(std::move(record));
  }
  buffered_.clear();
  has_gap_ = false;
  return true;
}

std::vector<StreamReader::Record> StreamReader::OnRead(const LogRead& read,
                                                       const Restore& restore) {
  std::vector<Record> out;
  if (needs_snapshot_ && read.oldest > next_) has_gap_ = true;
  for (const LogEntry& entry : read.entries) {
    if (entry.offset < next_) continue;
    next_ = {entry.offset.value + 1};
    auto record = Decode(entry);
    if (!record) continue;
    if (const auto* snapshot = std::get_if<schema::StreamSnapshot>(&*record)) {
      newest_snapshot_next_ = std::max(newest_snapshot_next_, snapshot->next);
      if (has_gap_) TryRestore(*snapshot, restore, out);
      continue;
    }
    (has_gap_ ? buffered_ : out).emplace_back(entry.offset, std::move(*record));
  }
  next_ = std::max(next_, read.next);
  if (read.at_end && !has_gap_) caught_up_ = true;
  return out;
}

void StreamReader::SkipTo(base::Offset next) {
  next_ = std::max(next_, next);
  buffered_.clear();
  has_gap_ = false;
  caught_up_ = true;
}

}  // namespace persimmonstair::scheduler
