#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_ENDPOINT_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_ENDPOINT_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::service_clients {

/// @brief Address of an HTTP service. Host names are not resolved.
struct Endpoint {
  /// IPv4 address, or IPv6 address without brackets.
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

/// @brief Reads "http://<ip>:<port>" or "<ip>:<port>"; kInvalidRequest for anything else, also for
/// a path other than "/".
///
///     auto log = ParseEndpoint("http://127.0.0.1:7001");
base::Result<Endpoint> ParseEndpoint(std::string_view url);

/// @brief "http://<ip>:<port>".
std::string ToUrl(const Endpoint& endpoint);

/// @brief Percent-encodes everything but unreserved characters (RFC 3986).
std::string PercentEncode(std::string_view text);

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_ENDPOINT_HPP_
