#ifndef PERSIMMONSTAIR_FLEET_PACKED_RECORD_HPP_
#define PERSIMMONSTAIR_FLEET_PACKED_RECORD_HPP_

#include <cstddef>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/schema/entry_peer.hpp"

namespace persimmonstair::fleet {

/// Largest length of a value that is unpacked, in bytes.
inline constexpr std::size_t kMaxUnpackedBytes = std::size_t{32} << 20U;

/// @brief Compresses the value of a record.
schema::PackedRecord Pack(const schema::FeedRecord& record);

/// @brief Restores the record of Pack(). Fails with kIncompleteAnswer if the length or the checksum
/// does not match, or if the value is longer than kMaxUnpackedBytes.
base::Result<schema::FeedRecord> Unpack(const schema::PackedRecord& record);

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_PACKED_RECORD_HPP_
