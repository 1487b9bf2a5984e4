#ifndef PERSIMMONSTAIR_SRC_NET_TARGET_REQUEST_HPP_
#define PERSIMMONSTAIR_SRC_NET_TARGET_REQUEST_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "persimmonstair/net/target_client.hpp"

namespace persimmonstair::net {

/// @brief Correlation id of an attempt.
std::string CorrelationId(const TargetClientOptions& options, base::AttemptId attempt);

/// @brief The bytes to send. Its headers are those of the Dispatch except framing and
/// authorization, the named credential and the correlation id. Fails for an unknown credential and
/// for a path, method or header that could change the framing.
base::Result<std::string> SerializeRequest(const scheduler::Dispatch& dispatch,
                                           const TargetClientOptions& options);

base::Result<boost::asio::ip::tcp::endpoint> TargetEndpoint(const std::string& address,
                                                            std::uint32_t port);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_TARGET_REQUEST_HPP_
