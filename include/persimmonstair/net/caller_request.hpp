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

/// @brief An HTTP request without its framing.
struct RawRequest {
  std::string method;
  /// Path and query as sent.
  std::string target;
  /// In the order sent; names may repeat.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// @brief SHA-256 of a key.
scheduler::KeyDigest DigestKey(std::string_view key);

/// @brief True if the text contains the key as it is, percent-encoded or with JSON escapes.
bool ContainsKey(std::string_view text, std::string_view key);

/// @brief Finds the route of a request and checks and reads its fields. `request` is left zero.
/// The key is checked first: one that also appears in the body, path, query or another header is
/// kInvalidRequest. Other errors are kInvalidRequest and kNotFound.
///
///     auto request = ParseCallerRequest({"GET", "/v1/programs/p.dc1.7", {{"Authorization",
///     ...}}});
base::Result<scheduler::CallerRequest> ParseCallerRequest(RawRequest raw);

/// @brief JSON body of an error: {"error":{"code","message","verdict","retry_after_ms"}}.
std::string ErrorBody(const base::Error& error);

/// @brief The reply that reports an error, with `Retry-After` when a retry is of use.
scheduler::Reply ErrorReply(base::RequestId request, const base::Error& error);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_CALLER_REQUEST_HPP_
