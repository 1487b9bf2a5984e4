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

/// @brief Passes a stream's records on once each in offset order. Where earlier records have
/// expired, it buffers until a StreamSnapshot that covers the gap, restores it and replays the
/// records behind it, so that a late reader reaches the state of one that read everything.
class StreamReader {
 public:
  using Record = std::pair<base::Offset, schema::Record>;
  /// Takes over a snapshot's state; false if it is not usable.
  using Restore = std::function<bool(const std::string& state)>;

  /// `needs_snapshot`: the state depends on all records from offset 0.
  explicit StreamReader(bool needs_snapshot) : needs_snapshot_(needs_snapshot) {}

  /// Records to apply now.
  std::vector<Record> OnRead(const LogRead& read, const Restore& restore);

  /// The state now contains all records before `next`, for example from a peer.
  void SkipTo(base::Offset next);

  /// First offset that was not passed on.
  base::Offset NextOffset() const { return next_; }
  /// All records up to the end of the stream were passed on at least once, or a snapshot was taken.
  bool CaughtUp() const { return caught_up_; }
  /// Records that could not be read as any known type.
  std::uint64_t SkippedRecords() const { return skipped_records_; }
  /// Records since the newest snapshot in the stream.
  std::uint64_t RecordsSinceSnapshot() const { return next_.value - newest_snapshot_next_.value; }

 private:
  std::optional<schema::Record> Decode(const LogEntry& entry);
  bool TryRestore(const schema::StreamSnapshot& snapshot, const Restore& restore,
                  std::vector<Record>& out);

  bool needs_snapshot_;
  bool caught_up_ = false;
  /// Earlier records are missing; records are buffered until a snapshot is found.
  bool has_gap_ = false;
  base::Offset next_;
  base::Offset newest_snapshot_next_;
  std::vector<Record> buffered_;
  std::uint64_t skipped_records_ = 0;
};

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_STREAM_READER_HPP_
