#ifndef PERSIMMONSTAIR_FLEET_NEWEST_RECORDS_HPP_
#define PERSIMMONSTAIR_FLEET_NEWEST_RECORDS_HPP_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/entry_peer.hpp"

namespace persimmonstair::fleet {

/// @brief The newest record of each key of a partition, kept for instances that start and ask this
/// one in place of the store.
///
/// It is complete from a full read on, for as long as no record is missed.
class NewestRecords {
 public:
  /// Begins anew with the records of a full read, whose offsets are `offsets`.
  void Reset(const std::vector<schema::FeedRecord>& records,
             const std::vector<base::Offset>& offsets, base::Offset end);
  /// Adds the consecutive records that begin at `from`; those that are known already are skipped.
  /// If there is a gap before them, nothing is held until the next full read.
  void Add(base::Offset from, const std::vector<schema::FeedRecord>& records);

  /// Returns all newest records; nothing if they aren't complete or there are none.
  std::optional<schema::SnapshotTransfer> Snapshot(std::uint32_t age_ms) const;

 private:
  struct Newest {
    base::Offset offset;
    schema::PackedRecord record;
  };

  std::map<std::string, Newest> records_;
  /// Offset after the last record; nothing while the records aren't complete.
  std::optional<base::Offset> end_;
};

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_NEWEST_RECORDS_HPP_
