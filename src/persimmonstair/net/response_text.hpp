#ifndef PERSIMMONSTAIR_SRC_NET_RESPONSE_TEXT_HPP_
#define PERSIMMONSTAIR_SRC_NET_RESPONSE_TEXT_HPP_

#include <map>
#include <string>
#include <string_view>

#include "persimmonstair/scheduler/actions.hpp"

namespace persimmonstair::net {

/// @brief What the request says about the form of its answer.
struct ResponseOptions {
  /// 11 for HTTP/1.1, 10 for HTTP/1.0.
  unsigned version = 11;
  bool keep_alive = true;
  /// A HEAD request: the answer has no body.
  bool is_head_request = false;
};

/// @brief True if a header may be passed on: valid characters, and not one that frames the message.
bool IsForwardableHeader(std::string_view name, std::string_view value);

/// @brief A whole response with its length.
std::string SerializeResponse(const scheduler::Reply& reply, const ResponseOptions& options);

/// @brief Status line and headers of a stream of server-sent events.
std::string SerializeStreamHeader(const ResponseOptions& options);

/// @brief A part of a stream's body.
std::string SerializeStreamChunk(std::string_view data, const ResponseOptions& options);

/// @brief End of a stream's body; headers that became known at its end are sent as trailers.
std::string SerializeStreamEnd(const std::map<std::string, std::string>& headers,
                               const ResponseOptions& options);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_RESPONSE_TEXT_HPP_
