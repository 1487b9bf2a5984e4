#include "persimmonstair/service_clients/endpoint.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace persimmonstair::service_clients {
namespace {

constexpr std::string_view kScheme = "http://";
constexpr std::string_view kHex = "0123456789ABCDEF";

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> out{};
  return inet_pton(AF_INET, text.c_str(), out.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), out.data()) == 1;
}

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '.' || c == '_' || c == '~';
}

}  // namespace

base::Result<Endpoint> ParseEndpoint(std::string_view url) {
  const auto fail = [&url] {
    return base::Fail(base::ErrorCode::kInvalidRequest,
                      "expected http://<ip address>:<port>, got '" + std::string(url) + "'");
  };
  std::string_view rest = url;
  if (rest.starts_with(kScheme)) rest.remove_prefix(kScheme.size());
  if (rest.ends_with('/')) rest.remove_suffix(1);
  const auto colon = rest.rfind(':');
  if (colon == std::string_view::npos) return fail();
  std::string_view address = rest.substr(0, colon);
  const std::string_view port_text = rest.substr(colon + 1);
  const bool bracketed = address.starts_with('[') && address.ends_with(']');
  if (bracketed) address = address.substr(1, address.size() - 2);
  if (!bracketed && address.find(':') != std::string_view::npos) return fail();
  Endpoint out{std::string(address), 0};
  const char* end = port_text.data() + port_text.size();
  const auto [ptr, ec] = std::from_chars(port_text.data(), end, out.port);
  if (ec != std::errc() || ptr != end || out.port == 0 || !IsIpAddress(out.address)) return fail();
  return out;
}

std::string ToUrl(const Endpoint& endpoint) {
  const bool v6 = endpoint.address.find(':') != std::string::npos;
  return "http://" + (v6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" +
         std::to_string(endpoint.port);
}

std::string PercentEncode(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kHex[byte >> 4U];
    out += kHex[byte & 15U];
  }
  return out;
}

}  // namespace persimmonstair::service_clients
