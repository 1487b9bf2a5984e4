#ifndef PERSIMMONSTAIR_SCHEMA_ENTRY_PEER_CODEC_HPP_
#define PERSIMMONSTAIR_SCHEMA_ENTRY_PEER_CODEC_HPP_

#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/schema/entry_peer.hpp"

namespace persimmonstair::schema {

/// @brief Returns the portable binary form of a message between entry instances, without
/// authentication.
std::string EncodeEntryPeer(const EntryPeerMessage& message);

/// @brief Decodes the bytes of EncodeEntryPeer(). Returns kInvalidRequest for malformed bytes,
/// lengths above the limits and trailing bytes.
base::Result<EntryPeerMessage> DecodeEntryPeer(std::string_view bytes);

}  // namespace persimmonstair::schema

#endif  // PERSIMMONSTAIR_SCHEMA_ENTRY_PEER_CODEC_HPP_
