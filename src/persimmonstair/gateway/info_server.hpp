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

namespace persimmonstair::gateway {

/// @brief Opens a listening socket; the error names the address.
base::Result<boost::asio::ip::tcp::acceptor> Listen(const boost::asio::any_io_executor& executor,
                                                    const dispatch::Endpoint& endpoint);

struct InfoResponse {
  unsigned status = 200;
  std::string body;
};

/// @brief Answers GET requests of the platform and of operators, for readiness and metrics.
///
/// Serves until the acceptor is closed.
boost::asio::awaitable<void> ServeInfo(boost::asio::ip::tcp::acceptor& acceptor,
                                       std::function<InfoResponse(std::string_view path)> answer);

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_INFO_SERVER_HPP_
