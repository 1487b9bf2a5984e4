#ifndef PERSIMMONSTAIR_GATEWAY_HTTP_HPP_
#define PERSIMMONSTAIR_GATEWAY_HTTP_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstair::gateway {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// @brief Returns the value of the first header with this name, ignoring case, or an empty string.
std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/// @brief Compares ASCII strings, ignoring case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// @brief Returns true if a header must not be forwarded: hop-by-hop headers, and Content-Length,
/// which the forwarding side sets itself. `connection` is the value of the message's Connection
/// header, which may list further hop-by-hop headers.
bool IsHopByHop(std::string_view name, std::string_view connection);

/// @brief A complete HTTP request.
struct HttpRequest {
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// @brief Status line and headers of an HTTP response.
struct HttpHead {
  unsigned status = 0;
  std::string reason;
  std::vector<HttpHeader> headers;
};

/// @brief Serializes a request. Adds the Content-Length header, except for a GET or HEAD request
/// without a body.
std::string SerializeRequest(const HttpRequest& request);

/// @brief The same for a body of `body_bytes`, which is sent separately.
std::string SerializeRequestHead(const HttpRequest& request, std::size_t body_bytes);

/// @brief Returns true if responses with this status have a body, except those to HEAD requests.
bool StatusHasBody(unsigned status);

/// @brief Serializes status line and headers, with the empty line that ends them. If the response
/// has a body, `head` must contain the header that states its length: Content-Length or
/// Transfer-Encoding.
std::string SerializeHead(const HttpHead& head);

/// @brief Serializes the line before a chunk of `bytes` in a body with chunked transfer encoding;
/// kChunkEnd follows the chunk.
std::string SerializeChunkLine(std::size_t bytes);
inline constexpr std::string_view kChunkEnd = "\r\n";

/// @brief Serializes one chunk of a body with chunked transfer encoding.
std::string SerializeChunk(std::string_view data);

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_HTTP_HPP_
