#ifndef PERSIMMONSTAIR_SRC_NET_JSON_SCAN_HPP_
#define PERSIMMONSTAIR_SRC_NET_JSON_SCAN_HPP_

#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::net {

/// Maximum nesting depth of a request body. Deeper documents are rejected, because serializing them
/// again recurses once per level and could overflow the stack.
inline constexpr int kMaxJsonDepth = 64;

/// @brief Top-level fields of a chat completion request that the scheduler needs.
struct BodyFields {
  std::string model;
  bool stream = false;
};

/// @brief Checks that the text is a JSON object nested at most kMaxJsonDepth levels deep, and
/// returns its top-level fields `model` and `stream`. Does not build the document in memory. Fails
/// with kInvalidRequest.
base::Result<BodyFields> ScanJsonBody(std::string_view body);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_JSON_SCAN_HPP_
