#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_ENDPOINT_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_ENDPOINT_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::service_clients {

/// @brief IP address and port of an HTTP service.
struct Endpoint {
  /// IPv4 address, or IPv6 address without brackets.
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

/// @brief Parses "http://<ip>:<port>" or "<ip>:<port>". Returns kInvalidRequest for anything else,
/// including host names and paths other than "/".
///
///     auto log = ParseEndpoint("http://127.0.0.1:7001");
base::Result<Endpoint> ParseEndpoint(std::string_view url);

/// @brief Formats an endpoint as "http://<ip>:<port>", with brackets around an IPv6 address.
std::string ToUrl(const Endpoint& endpoint);

/// @brief Percent-encodes all characters except unreserved ones (RFC 3986).
std::string PercentEncode(std::string_view text);

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_ENDPOINT_HPP_
