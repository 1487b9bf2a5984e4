#ifndef PERSIMMONSTAIR_SRC_NET_RESPONSE_TEXT_HPP_
#define PERSIMMONSTAIR_SRC_NET_RESPONSE_TEXT_HPP_

#include <map>
#include <string>
#include <string_view>

#include "persimmonstair/scheduler/actions.hpp"

namespace persimmonstair::net {

/// @brief Properties of a request that determine how its response is written.
struct ResponseOptions {
  /// HTTP version: 11 for HTTP/1.1, 10 for HTTP/1.0.
  unsigned version = 11;
  /// Whether the connection stays open after the response. Has no effect on a stream in HTTP/1.0,
  /// whose end is marked by closing the connection.
  bool keep_alive = true;
  /// The response to a HEAD request has no body.
  bool is_head_request = false;
};

/// @brief Returns whether a header may be forwarded: its name and value contain only valid
/// characters, and it is none of the headers that this hop sets itself (framing, connection, host).
bool IsForwardableHeader(std::string_view name, std::string_view value);

/// @brief Returns a complete response with Content-Length. Headers that may not be forwarded are
/// left out, and a status outside 200 to 599 becomes 500.
std::string SerializeResponse(const scheduler::Reply& reply, const ResponseOptions& options);

/// @brief Returns the status line and headers of a stream of server-sent events.
std::string SerializeStreamHeader(const ResponseOptions& options);

/// @brief Returns a part of a stream's body: a chunk in HTTP/1.1, the plain data in HTTP/1.0. Empty
/// data gives an empty text, because an empty chunk would end the body.
std::string SerializeStreamChunk(std::string_view data, const ResponseOptions& options);

/// @brief Returns the last chunk of a stream's body, empty in HTTP/1.0. Those `headers` whose names
/// begin with `persimmonstair-` are sent as trailers, as the response header is already sent.
std::string SerializeStreamEnd(const std::map<std::string, std::string>& headers,
                               const ResponseOptions& options);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_RESPONSE_TEXT_HPP_
