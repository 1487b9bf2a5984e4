#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_RELAY_CONNECTOR_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_RELAY_CONNECTOR_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <utility>
#include <vector>

#include "persimmonstair/gateway/store_connector.hpp"
#include "relay_peers.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief Opens connections to the record store that other instances relay (RelayServer).
class StoreRelayConnector : public StoreConnector {
 public:
  explicit StoreRelayConnector(const boost::asio::any_io_executor& executor)
      : executor_(executor) {}

  /// Sets the function that returns the instances to ask.
  void SetCandidates(std::function<std::vector<RelayCandidate>()> candidates) {
    candidates_ = std::move(candidates);
  }

  boost::asio::awaitable<StoreConnectResult> Open(base::Duration timeout) override;

 private:
  boost::asio::awaitable<bool> Ask(HttpConnection& connection, dispatch::Endpoint peer);

  boost::asio::any_io_executor executor_;
  std::function<std::vector<RelayCandidate>()> candidates_;
  RelayPeers peers_;
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_RELAY_CONNECTOR_HPP_
