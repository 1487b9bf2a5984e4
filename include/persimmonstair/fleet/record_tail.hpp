#ifndef PERSIMMONSTAIR_FLEET_RECORD_TAIL_HPP_
#define PERSIMMONSTAIR_FLEET_RECORD_TAIL_HPP_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <variant>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/schema/entry_peer.hpp"

namespace persimmonstair::fleet {

/// Largest size of key and value of a record that is passed on in a datagram, in bytes. Longer ones
/// are held in compressed form and passed on over connections.
inline constexpr std::size_t kMaxFeedRecordBytes = 1000;
/// Largest size of all records of an answer, in bytes.
inline constexpr std::size_t kMaxFeedAnswerBytes = 1200;
/// Largest size of the short records that are held for each partition, in bytes.
inline constexpr std::size_t kMaxTailBytes = std::size_t{128} << 10U;
/// Largest size of the long records that are held for each partition, in bytes as compressed. The
/// newest one is held whatever its size.
inline constexpr std::size_t kMaxPackedTailBytes = std::size_t{1} << 20U;
/// Size of the records of a transfer above which no further one is added, in bytes.
inline constexpr std::size_t kMaxTransferBytes = std::size_t{1} << 20U;

/// @brief Returns the bytes that a record takes in an answer.
std::size_t FeedBytes(const schema::FeedRecord& record);

/// @brief The newest records of a partition that an instance has read, kept for instances that ask
/// it in place of the store.
///
/// The records are consecutive. Datagrams carry only the records after the last long one.
class RecordTail {
 public:
  /// Adds the records that begin at `from`. Forgets the earlier ones if there is a gap.
  void Add(base::Offset from, std::vector<schema::FeedRecord> records);
  /// The same with records that another instance has packed, beside the values that they hold.
  void AddPacked(base::Offset from, std::vector<schema::PackedRecord> packed,
                 const std::vector<schema::FeedRecord>& records);
  /// Registers that the partition had no records after the last one at `time`.
  void Confirm(base::TimePoint time) { confirmed_at_ = std::max(confirmed_at_, time); }

  /// Returns the records from `from` on that fit into an answer; empty if there is a long one among
  /// them, or if the first one isn't held.
  std::vector<schema::FeedRecord> Since(base::Offset from) const;
  /// Returns the records from `from` on for a transfer; empty if the first one isn't held.
  std::vector<schema::PackedRecord> PackedSince(base::Offset from) const;

  /// Offset after the last record.
  base::Offset End() const { return {first_.value + records_.size()}; }
  /// Time at which the partition was last known to have no more records.
  base::TimePoint ConfirmedAt() const { return confirmed_at_; }

 private:
  /// A long record is packed.
  using Record = std::variant<schema::FeedRecord, schema::PackedRecord>;

  void BeginAt(base::Offset from);
  void Push(Record record);
  void DropFirst();

  /// Offset of the first record that is held.
  base::Offset first_;
  /// Offset after the last long record.
  base::Offset short_from_;
  std::deque<Record> records_;
  std::size_t short_bytes_ = 0;
  std::size_t packed_bytes_ = 0;
  base::TimePoint confirmed_at_;
};

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_RECORD_TAIL_HPP_
