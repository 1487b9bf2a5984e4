#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_KEY_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_KEY_HPP_

#include <initializer_list>
#include <string>
#include <string_view>

namespace persimmonstair::gateway::store_access {

/// @brief Returns a name that differs for different lists of parts.
inline std::string JoinParts(std::initializer_list<std::string_view> parts) {
  std::string name;
  for (const auto& part : parts) {
    name += std::to_string(part.size()) + ":";
    name += part;
  }
  return name;
}

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_KEY_HPP_
