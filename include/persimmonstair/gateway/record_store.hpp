#ifndef PERSIMMONSTAIR_GATEWAY_RECORD_STORE_HPP_
#define PERSIMMONSTAIR_GATEWAY_RECORD_STORE_HPP_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::gateway {

/// @brief One ordered part of a stream of keyed records.
struct Partition {
  base::StreamName stream;
  std::uint32_t part = 0;

  auto operator<=>(const Partition&) const = default;
};

/// @brief A record; without a value it drops its key.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;
};

/// @brief A list of one record, for appends.
inline std::vector<KeyedRecord> OneRecord(std::string key, std::optional<std::string> value) {
  std::vector<KeyedRecord> records;
  records.push_back({std::move(key), std::move(value)});
  return records;
}

struct StoredRecord {
  base::Offset offset;
  KeyedRecord record;
};

/// @brief Records of a partition from an offset on.
struct RecordBatch {
  std::vector<StoredRecord> records;
  /// Offset at which to go on.
  base::Offset next;
};

/// @brief The newest record of each key. Reading on at `next` misses nothing.
struct RecordSnapshot {
  std::vector<StoredRecord> records;
  base::Offset next;
};

struct ReadOptions {
  /// How long the store may wait for a record.
  base::Duration wait{0};
  base::Duration timeout{0};
};

/// @brief A store of keyed records: what it has acknowledged is kept, in one order for all readers.
///
/// Failures: kOverloaded (refused, nothing was done), kConflict (the condition doesn't hold),
/// kNotFound (the records from this offset on are no longer there), and with the verdict
/// kMayHaveRun kTimeout or kTargetFailed.
class RecordStore {
 public:
  virtual ~RecordStore() = default;

  /// Appends all records or none; returns the offset of the first. With `expected`, only if that
  /// is where the partition ends.
  virtual boost::asio::awaitable<base::Result<base::Offset>> Append(
      const Partition& partition, const std::vector<KeyedRecord>& records, base::Duration timeout,
      std::optional<base::Offset> expected) = 0;

  virtual boost::asio::awaitable<base::Result<RecordBatch>> Read(const Partition& partition,
                                                                 base::Offset from,
                                                                 ReadOptions options) = 0;

  virtual boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewest(
      const Partition& partition, base::Duration timeout) = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_RECORD_STORE_HPP_
