#ifndef PERSIMMONSTAIR_FLEET_RECORD_TAIL_HPP_
#define PERSIMMONSTAIR_FLEET_RECORD_TAIL_HPP_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/schema/entry_peer.hpp"

namespace persimmonstair::fleet {

/// Largest size of key and value of a record that is passed on, in bytes. Longer ones don't fit
/// into a datagram, and each instance reads them from the store.
inline constexpr std::size_t kMaxFeedRecordBytes = 1000;
/// Largest size of all records of an answer, in bytes.
inline constexpr std::size_t kMaxFeedAnswerBytes = 1200;
/// Largest size of the records that are held for each partition, in bytes.
inline constexpr std::size_t kMaxTailBytes = std::size_t{128} << 10U;

/// @brief Returns the bytes that a record takes in an answer.
std::size_t FeedBytes(const schema::FeedRecord& record);

/// @brief The newest records of a partition that an instance has read, kept for instances that ask
/// it in place of the store.
///
/// The records are consecutive. A record that is too long to be passed on ends what is held: only
/// the records after it are.
class RecordTail {
 public:
  /// Adds the records that begin at `from`. Forgets the earlier ones if there is a gap.
  void Add(base::Offset from, std::vector<schema::FeedRecord> records);
  /// Registers that the partition had no records after the last one at `time`.
  void Confirm(base::TimePoint time) { confirmed_at_ = std::max(confirmed_at_, time); }

  /// Returns the records from `from` on that fit into an answer; empty if the first one isn't held.
  std::vector<schema::FeedRecord> Since(base::Offset from) const;

  /// Offset after the last record.
  base::Offset End() const { return {first_.value + records_.size()}; }
  /// Time at which the partition was last known to have no more records.
  base::TimePoint ConfirmedAt() const { return confirmed_at_; }

 private:
  void Push(schema::FeedRecord record);

  /// Offset of the first record that is held.
  base::Offset first_;
  std::deque<schema::FeedRecord> records_;
  std::size_t bytes_ = 0;
  base::TimePoint confirmed_at_;
};

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_RECORD_TAIL_HPP_
