#ifndef PERSIMMONSTAIR_SCHEMA_CODEC_HPP_
#define PERSIMMONSTAIR_SCHEMA_CODEC_HPP_

#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/schema/peer.hpp"
#include "persimmonstair/schema/records.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::schema {

/// @brief One line of JSON: the record's fields and its "type".
std::string EncodeRecord(const Record& record);

/// @brief Reads what EncodeRecord() wrote. An unknown type or malformed text is kInvalidRequest;
/// readers skip and count such records.
base::Result<Record> DecodeRecord(std::string_view text);

/// @brief Portable binary form of a message between instances, without authentication.
std::string EncodePeer(const PeerMessage& message);

/// @brief Reads what EncodePeer() wrote. Hostile sizes and trailing bytes are kInvalidRequest.
base::Result<PeerMessage> DecodePeer(std::string_view bytes);

/// @brief Portable binary form of a record that instances keep in the platform's store.
std::string EncodeState(const StateRecord& record);

/// @brief Reads what EncodeState() wrote; anything else is kInvalidRequest.
base::Result<StateRecord> DecodeState(std::string_view bytes);

}  // namespace persimmonstair::schema

#endif  // PERSIMMONSTAIR_SCHEMA_CODEC_HPP_
