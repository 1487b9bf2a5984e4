#ifndef PERSIMMONSTAIR_NET_CALLER_REQUEST_HPP_
#define PERSIMMONSTAIR_NET_CALLER_REQUEST_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/scheduler/actions.hpp"
#include "persimmonstair/scheduler/events.hpp"

namespace persimmonstair::net {

/// @brief An HTTP request as parsed from the connection: start line, headers and decoded body.
struct RawRequest {
  std::string method;
  /// Request target (path and query) exactly as sent, still percent-encoded.
  std::string target;
  /// Names and values in the order sent; a name may occur more than once.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// @brief Returns the SHA-256 digest of an API key.
scheduler::KeyDigest DigestKey(std::string_view key);

/// @brief Returns whether the text contains the key verbatim, percent-encoded, with JSON escapes,
/// or with both encodings.
bool ContainsKey(std::string_view text, std::string_view key);

/// @brief Matches the method and path of a request to a kind of call, then validates and parses its
/// headers and body. The `request` id of the result is left zero; the server assigns it.
///
/// The bearer key is checked first. Fails with kUnauthorized if the Authorization header is not a
/// valid bearer key, kInvalidRequest if the key also appears in the body, path, query or another
/// header or if a field is malformed, and kNotFound if no route matches.
///
///     auto request = ParseCallerRequest({"GET", "/v1/programs/p.dc1.7", {{"Authorization",
///     ...}}});
base::Result<scheduler::CallerRequest> ParseCallerRequest(RawRequest raw);

/// @brief Returns the JSON body of an error:
/// {"error":{"code","message","verdict","retry_after_ms"}}.
std::string ErrorBody(const base::Error& error);

/// @brief Returns the reply that reports an error. `Retry-After` is set if the error has a retry
/// delay.
scheduler::Reply ErrorReply(base::RequestId request, const base::Error& error);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_CALLER_REQUEST_HPP_
