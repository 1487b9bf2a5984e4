#ifndef PERSIMMONSTAIR_SRC_GATEWAY_INFO_SERVER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_INFO_SERVER_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "request_memory.hpp"

namespace persimmonstair::gateway {

/// @brief Opens a listening socket. Fails with kInvalidRequest; the message states the address and
/// the reason.
base::Result<boost::asio::ip::tcp::acceptor> Listen(const boost::asio::any_io_executor& executor,
                                                    const dispatch::Endpoint& endpoint);

/// @brief Response of the readiness or the metrics endpoint, sent as text/plain.
struct InfoResponse {
  unsigned status = 200;
  std::string body;
};

/// @brief Serves the readiness or metrics endpoint until the acceptor is closed. `handler` gets the
/// path and query of each request.
/// Responses count in `memory` until they are written.
boost::asio::awaitable<void> ServeInfo(boost::asio::ip::tcp::acceptor& acceptor,
                                       RequestMemory& memory,
                                       std::function<InfoResponse(std::string_view path)> handler);

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_INFO_SERVER_HPP_
