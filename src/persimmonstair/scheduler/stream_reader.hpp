#ifndef PERSIMMONSTAIR_SCHEDULER_STREAM_READER_HPP_
#define PERSIMMONSTAIR_SCHEDULER_STREAM_READER_HPP_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/scheduler/events.hpp"
#include "persimmonstair/schema/records.hpp"

namespace persimmonstair::scheduler {

/// @brief Delivers each record of a stream once, in offset order. If earlier records have expired,
/// it buffers records until a StreamSnapshot covers the missing ones, restores that snapshot and
/// delivers the records after it. The state is then the same as if all records had been read.
class StreamReader {
 public:
  using Record = std::pair<base::Offset, schema::Record>;
  /// Replaces the state by that of a snapshot; returns false if the snapshot is invalid.
  using Restore = std::function<bool(const std::string& state)>;

  /// `needs_snapshot`: the state depends on all records from offset 0, so missing records have to
  /// be replaced by a snapshot.
  explicit StreamReader(bool needs_snapshot) : needs_snapshot_(needs_snapshot) {}

  /// Decodes the records of a read and returns those to apply now.
  std::vector<Record> OnRead(const LogRead& read, const Restore& restore);

  /// To be called after the state was restored from another source, for example a peer, and
  /// contains all records before `next`.
  void SkipTo(base::Offset next);

  /// Offset after the last record that was read.
  base::Offset NextOffset() const { return next_; }
  /// The end of the stream was reached at least once without missing records, or SkipTo() was
  /// called.
  bool CaughtUp() const { return caught_up_; }
  /// Number of records that could not be decoded as a known type.
  std::uint64_t SkippedRecords() const { return skipped_records_; }
  /// Number of offsets read that the newest snapshot in the stream does not cover. Offsets without
  /// a record count too.
  std::uint64_t RecordsSinceSnapshot() const { return next_.value - newest_snapshot_next_.value; }

 private:
  std::optional<schema::Record> Decode(const LogEntry& entry);
  bool TryRestore(const schema::StreamSnapshot& snapshot, const Restore& restore,
                  std::vector<Record>& out);

  bool needs_snapshot_;
  bool caught_up_ = false;
  /// Earlier records have expired; records are buffered until a snapshot replaces them.
  bool has_gap_ = false;
  base::Offset next_;
  /// First offset that the newest snapshot in the stream does not cover.
  base::Offset newest_snapshot_next_;
  std::vector<Record> buffered_;
  std::uint64_t skipped_records_ = 0;
};

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_STREAM_READER_HPP_
