#ifndef PERSIMMONSTAIR_SCHEMA_CODEC_HPP_
#define PERSIMMONSTAIR_SCHEMA_CODEC_HPP_

#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/schema/peer.hpp"
#include "persimmonstair/schema/records.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::schema {

/// @brief Returns a log record as one line of JSON with its fields and its "type".
std::string EncodeRecord(const Record& record);

/// @brief Decodes the text of EncodeRecord(). Returns kInvalidRequest for an unknown type or
/// malformed text; readers of the log skip and count such records.
base::Result<Record> DecodeRecord(std::string_view text);

/// @brief Returns the portable binary form of a message between instances, without authentication.
std::string EncodePeer(const PeerMessage& message);

/// @brief Decodes the bytes of EncodePeer(). Returns kInvalidRequest for malformed bytes, lengths
/// above the limits and trailing bytes.
base::Result<PeerMessage> DecodePeer(std::string_view bytes);

/// @brief Returns the portable binary form of a record in the platform's store.
std::string EncodeState(const StateRecord& record);

/// @brief Decodes the bytes of EncodeState(). Returns kInvalidRequest for any other bytes.
base::Result<StateRecord> DecodeState(std::string_view bytes);

}  // namespace persimmonstair::schema

#endif  // PERSIMMONSTAIR_SCHEMA_CODEC_HPP_
