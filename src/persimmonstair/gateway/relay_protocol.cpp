#include "relay_protocol.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace persimmonstair::gateway {
namespace {

constexpr std::size_t kMaxIdBytes = 200;
constexpr std::string_view kStoreAuthority = "~record-store:0";

bool IsAuthorityCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '.' || c == '_';
}

}  // namespace

bool IsRelayable(const base::TargetId& target) {
  const std::string& id = target.value;
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), IsAuthorityCharacter);
}

std::string SerializeStoreRelayRequest() {
  return fmt::format("CONNECT {0} HTTP/1.1\r\nHost: {0}\r\n\r\n", kStoreAuthority);
}

bool IsStoreAuthority(std::string_view authority) { return authority == kStoreAuthority; }

std::string SerializeRelayRequest(const RelayRequest& request) {
  const std::string authority = fmt::format("{}:{}", request.target.value, request.started_ms);
  return fmt::format("CONNECT {0} HTTP/1.1\r\nHost: {0}\r\n\r\n", authority);
}

std::optional<RelayRequest> ParseRelayAuthority(std::string_view authority) {
  const auto colon = authority.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  RelayRequest request{{std::string(authority.substr(0, colon))}, 0};
  const std::string_view number = authority.substr(colon + 1);
  const char* const end = number.data() + number.size();
  const auto [rest, ec] = std::from_chars(number.data(), end, request.started_ms);
  if (ec != std::errc{} || rest != end || !IsRelayable(request.target)) return std::nullopt;
  return request;
}

}  // namespace persimmonstair::gateway
