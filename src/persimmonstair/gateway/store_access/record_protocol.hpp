#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_PROTOCOL_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_PROTOCOL_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/gateway/record_store.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief Asks an instance for records of a partition that it holds, by an HTTP GET at its peer
/// port. The path is /records/STREAM/PART/OFFSET, or /newest/STREAM/PART for the newest record of
/// each key.
struct RecordRequest {
  Partition partition;
  /// Offset of the first record that is asked for.
  base::Offset from;
  /// Asks for the newest record of each key in place of the records from an offset on.
  bool newest = false;

  bool operator==(const RecordRequest&) const = default;
};

/// A schema::RecordTransfer follows, or a schema::SnapshotTransfer with the newest records.
inline constexpr unsigned kRecordsFollow = 200;
/// The instance does not hold the first record.
inline constexpr unsigned kRecordsNotHeld = 404;
/// The instance hands on records to as many others as it may.
inline constexpr unsigned kRecordsBusy = 503;

std::string SerializeRecordRequest(const RecordRequest& request);

/// @brief Parses the path of a request; nothing if it isn't one of SerializeRecordRequest().
std::optional<RecordRequest> ParseRecordPath(std::string_view path);

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_PROTOCOL_HPP_
