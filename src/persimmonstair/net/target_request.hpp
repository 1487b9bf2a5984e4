#ifndef PERSIMMONSTAIR_SRC_NET_TARGET_REQUEST_HPP_
#define PERSIMMONSTAIR_SRC_NET_TARGET_REQUEST_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "persimmonstair/net/target_client.hpp"

namespace persimmonstair::net {

/// @brief Correlation id of an attempt.
std::string CorrelationId(const TargetClientOptions& options, base::AttemptId attempt);

/// @brief Serializes the HTTP request of a dispatch. It has the headers of the Dispatch except
/// malformed ones and those for framing and authorization, which are dropped, the token of the
/// named credential and the correlation id. Returns kInvalidRequest for an unknown credential and
/// for a malformed path or method.
base::Result<std::string> SerializeRequest(const scheduler::Dispatch& dispatch,
                                           const TargetClientOptions& options);

/// @brief Endpoint of a target; kInvalidRequest if `address` is not an IP address or the port is
/// out of range. Host names are not resolved.
base::Result<boost::asio::ip::tcp::endpoint> TargetEndpoint(const std::string& address,
                                                            std::uint32_t port);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_TARGET_REQUEST_HPP_
