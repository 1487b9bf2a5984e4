#ifndef PERSIMMONSTAIR_GATEWAY_HTTP_HPP_
#define PERSIMMONSTAIR_GATEWAY_HTTP_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace persimmonstair::gateway {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// @brief Value of the first header with this name, ignoring case; empty if there is none.
std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/// @brief ASCII comparison without case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// @brief True if a header concerns only one connection and is never forwarded. `connection` is the
/// value of the message's Connection header, which may name further ones.
bool IsHopByHop(std::string_view name, std::string_view connection);

/// @brief A caller's whole request.
struct HttpRequest {
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// @brief Status line and headers of an answer.
struct HttpHead {
  unsigned status = 0;
  std::string reason;
  std::vector<HttpHeader> headers;
};

/// @brief Request line, headers and body as sent to a target. Adds the length of the body for
/// methods that have one.
std::string SerializeRequest(const HttpRequest& request);

/// @brief Status line and headers; ends with the empty line. The caller adds the framing headers.
std::string SerializeHead(const HttpHead& head);

/// @brief A chunk of a chunked body.
std::string SerializeChunk(std::string_view data);

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_HTTP_HPP_
