#ifndef PERSIMMONSTAIR_GATEWAY_STORE_CONNECTOR_HPP_
#define PERSIMMONSTAIR_GATEWAY_STORE_CONNECTOR_HPP_

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <tl/expected.hpp>

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/gateway/http_connection.hpp"

namespace persimmonstair::gateway {

using StoreConnectResult = tl::expected<std::unique_ptr<HttpConnection>, boost::system::error_code>;

/// @brief Opens connections to the record store in another way than by its address.
class StoreConnector {
 public:
  virtual ~StoreConnector() = default;

  /// Opens a connection within `timeout`.
  virtual boost::asio::awaitable<StoreConnectResult> Open(base::Duration timeout) = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_STORE_CONNECTOR_HPP_
