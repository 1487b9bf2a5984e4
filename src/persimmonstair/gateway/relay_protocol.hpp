#ifndef PERSIMMONSTAIR_SRC_GATEWAY_RELAY_PROTOCOL_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_RELAY_PROTOCOL_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "persimmonstair/base/ids.hpp"

namespace persimmonstair::gateway {

/// @brief Asks an instance to open a connection to a target and to pass bytes on both ways: an HTTP
/// CONNECT whose authority is the target's id and, in place of a port, its start time.
///
/// The instance takes the address from its own list of targets, so that it connects to nothing
/// else.
struct RelayRequest {
  base::TargetId target;
  /// Start time of the target in Unix milliseconds; another start isn't connected to.
  std::int64_t started_ms = 0;
};

/// The connection to the target is open; all further bytes are the target's.
inline constexpr unsigned kRelayOpened = 200;
/// The instance doesn't know the target, or the target leaves or has started again.
inline constexpr unsigned kRelayUnknownTarget = 404;
/// The instance did not reach the target.
inline constexpr unsigned kRelayTargetUnreachable = 502;
/// The instance stops, relays enough, or reaches no target itself.
inline constexpr unsigned kRelayUnavailable = 503;

/// @brief True if the id consists of characters that an authority may hold.
bool IsRelayable(const base::TargetId& target);

/// @brief Asks an instance to open a connection to the record store. The authority is none that a
/// target can have.
std::string SerializeStoreRelayRequest();

/// @brief True if the authority of a CONNECT names the record store.
bool IsStoreAuthority(std::string_view authority);

std::string SerializeRelayRequest(const RelayRequest& request);

/// @brief Parses the authority of a CONNECT; nothing if it isn't one of SerializeRelayRequest().
std::optional<RelayRequest> ParseRelayAuthority(std::string_view authority);

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_RELAY_PROTOCOL_HPP_
