#ifndef PERSIMMONSTAIR_GATEWAY_RECORD_STORE_HPP_
#define PERSIMMONSTAIR_GATEWAY_RECORD_STORE_HPP_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::gateway {

/// @brief One partition of a stream; its records are totally ordered.
struct Partition {
  base::StreamName stream;
  std::uint32_t part = 0;

  auto operator<=>(const Partition&) const = default;
};

/// @brief A record of the store. A record without a value deletes its key.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;
};

/// @brief Returns a list of one record, for an append.
inline std::vector<KeyedRecord> OneRecord(std::string key, std::optional<std::string> value) {
  std::vector<KeyedRecord> records;
  records.push_back({std::move(key), std::move(value)});
  return records;
}

/// @brief What the store accepts.
struct StoreLimits {
  /// Largest record: the length of its key (1 byte), the key and the value.
  std::size_t record_bytes = 262'144;
  /// Largest sum of the records of one append.
  std::size_t call_bytes = 2'097'152;
};

/// @brief Length of a record as the store counts it, in bytes.
inline std::size_t SizeOf(const KeyedRecord& record) {
  return 1 + record.key.size() + (record.value ? record.value->size() : 0);
}

/// @brief Tells whether a reader needs a record. May be asked about one more than once.
using RecordFilter = std::function<bool(const KeyedRecord& record)>;

/// @brief A record with its offset in the partition.
struct StoredRecord {
  base::Offset offset;
  KeyedRecord record;
};

/// @brief Consecutive records of a partition.
struct RecordBatch {
  std::vector<StoredRecord> records;
  /// Offset from which to read on.
  base::Offset next;
  /// Offset after the last record of the partition.
  base::Offset end;
};

/// @brief The newest record of each key. Later records start at `next`.
struct RecordSnapshot {
  std::vector<StoredRecord> records;
  base::Offset next;
  /// Bytes of the records that a filter left out.
  std::size_t skipped_bytes = 0;
};

struct ReadOptions {
  /// How long the store may wait for a record if there is none yet.
  base::Duration wait{0};
  base::Duration timeout{0};
};

class StoreConnector;

/// @brief The platform's store of keyed records. Acknowledged records are durable, and all readers
/// see the records of a partition in the same order.
///
/// Errors: kInvalidRequest (exceeds StoreLimits), kOverloaded (refused without effect), kConflict
/// (the partition doesn't end at `expected`), kNotFound (the records at this offset were dropped),
/// and, with the verdict kMayHaveRun, kTimeout and kTargetFailed.
class RecordStore {
 public:
  virtual ~RecordStore() = default;

  /// Appends all records or none and returns the offset of the first. With `expected`, appends only
  /// if the partition ends at that offset.
  virtual boost::asio::awaitable<base::Result<base::Offset>> Append(
      const Partition& partition, const std::vector<KeyedRecord>& records, base::Duration timeout,
      std::optional<base::Offset> expected) = 0;

  virtual boost::asio::awaitable<base::Result<RecordBatch>> Read(const Partition& partition,
                                                                 base::Offset from,
                                                                 ReadOptions options) = 0;

  virtual boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewest(
      const Partition& partition, base::Duration timeout) = 0;

  /// Returns those of the newest records that `filter` accepts. A store that reads them piece by
  /// piece never holds the others together.
  virtual boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewestOf(
      const Partition& partition, base::Duration timeout, RecordFilter filter);

  /// Returns the same store over connections that `connector` opens, which must outlive it; null if
  /// the store uses no connections.
  virtual std::unique_ptr<RecordStore> Through(StoreConnector& /*connector*/) { return nullptr; }
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_RECORD_STORE_HPP_
