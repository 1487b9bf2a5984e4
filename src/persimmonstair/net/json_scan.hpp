#ifndef PERSIMMONSTAIR_SRC_NET_JSON_SCAN_HPP_
#define PERSIMMONSTAIR_SRC_NET_JSON_SCAN_HPP_

#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::net {

/// Deeper documents are refused: writing them again uses the stack once for each level.
inline constexpr int kMaxJsonDepth = 64;

/// @brief Fields of a chat completion request that the scheduler needs.
struct BodyFields {
  std::string model;
  bool stream = false;
};

/// @brief Checks that the text is a JSON object no deeper than kMaxJsonDepth and reads `model` and
/// `stream` of the outermost level, without building the document.
base::Result<BodyFields> ScanJsonBody(std::string_view body);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_JSON_SCAN_HPP_
