#ifndef PERSIMMONSTAIR_SRC_GATEWAY_TURN_RECORDS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_TURN_RECORDS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "persimmonstair/gateway/record_store.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::gateway {

// A turn that fits into a record is stored as a KeptTurn under its key. The text of a longer one is
// divided into records of type TurnPart in the same partition, and a LongTurn under the turn's key
// makes them valid. It is written with the last of them or after them, so that a turn is there
// whole or not at all. To extend a long turn, only its LongTurn is written again: parts last as
// long as that.

/// @brief Key of a turn's record: its id, which the caller chose, and a hash of its workspace, so
/// that a workspace can't overwrite the turns of another one. Builds before used the id alone; all
/// builds go by the record and not by its key.
std::string TurnKey(const base::WorkspaceId& workspace, const base::TurnId& turn);

/// @brief Start of the keys of all parts of the turn with this key.
std::string PartPrefix(const std::string& turn_key);

/// @brief True if the key is that of a part.
bool IsPartKey(std::string_view key);

/// @brief Returns the PartPrefix() that the key of a part begins with.
std::string PrefixOfPart(const std::string& part_key);

/// @brief True if the record may belong to one of the turns, as a turn or as a part of one.
bool BelongsTo(const KeyedRecord& record, const std::set<std::string>& turn_keys);

/// @brief Returns the record of a turn; nothing if it exceeds `max_bytes`.
std::optional<KeyedRecord> EncodeWhole(const schema::KeptTurn& turn, std::size_t max_bytes);

/// @brief Describes a turn that is divided into records of at most `max_bytes`.
schema::LongTurn DivideTurn(const schema::KeptTurn& turn, std::size_t max_bytes);

/// @brief Number of parts of a turn.
std::size_t CountParts(const schema::LongTurn& turn);

/// @brief Returns the record of one part of a turn that was divided.
KeyedRecord EncodePart(const schema::KeptTurn& turn, const schema::LongTurn& divided,
                       std::size_t index);

/// @brief Returns the record that makes the parts of a turn valid.
KeyedRecord EncodeLongTurn(const schema::LongTurn& turn);

/// @brief Returns the expiry of a turn, of one of its parts or of its settlement, in Unix
/// milliseconds; nothing for other records.
std::optional<std::int64_t> ExpiryOf(const schema::StateRecord& record);

/// @brief Parts by their keys.
using TurnParts = std::map<std::string, schema::TurnPart>;

/// @brief Joins the parts of a turn; nothing if one is missing or damaged. Takes them out of
/// `parts`.
std::optional<schema::KeptTurn> JoinTurn(const schema::LongTurn& turn, TurnParts& parts);

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_TURN_RECORDS_HPP_
