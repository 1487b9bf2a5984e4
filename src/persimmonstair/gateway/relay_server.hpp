#ifndef PERSIMMONSTAIR_SRC_GATEWAY_RELAY_SERVER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_RELAY_SERVER_HPP_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "newest_connections.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "relay_protocol.hpp"
#include "target_connector.hpp"

namespace persimmonstair::gateway {

/// @brief Opens connections to targets for instances that have lost their own links to them, and
/// passes bytes on both ways until one side closes.
///
/// It also opens connections to the record store, for instances that have lost only that.
///
/// Other requests at the same port are passed to a function (SetGet).
///
/// It connects only directly and only to the store and to targets of its own list that take new
/// requests. It reads nothing of what it passes on. An end of the target's connection by a reset is
/// passed on as a reset, so that a response which broke off doesn't look complete.
class RelayServer {
 public:
  /// `store` is the address of the record store. `stopping` is true once a planned stop has begun.
  /// At most `max_open` connections are relayed at a time.
  RelayServer(const dispatch::TargetRegistry& targets, TargetConnector& connector,
              dispatch::Endpoint store, std::size_t max_open, const bool& stopping)
      : targets_(targets),
        connector_(connector),
        store_endpoint_(std::move(store)),
        max_open_(max_open),
        stopping_(stopping) {}

  /// Sets the function that says whether this instance reaches the store directly.
  void SetReachesStore(std::function<bool()> reaches_store) {
    reaches_store_ = std::move(reaches_store);
  }

  /// Serves a GET for a path. Keeps the stream until it returns.
  using ServeGet = std::function<boost::asio::awaitable<void>(boost::beast::tcp_stream& stream,
                                                              std::string path)>;
  /// Sets what serves requests that are no CONNECT; without it, their connections are closed.
  void SetGet(ServeGet serve) { serve_get_ = std::move(serve); }

  /// Accepts connections until the acceptor is closed.
  boost::asio::awaitable<void> Run(boost::asio::ip::tcp::acceptor& acceptor);

  /// Connections that are relayed now.
  std::uint32_t Open() const { return open_; }
  /// Connections relayed so far.
  std::uint64_t Opened() const { return opened_; }

 private:
  static constexpr std::size_t kMaxAsking = 64;

  /// The two connections of one relay.
  struct Tunnel;

  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> ServeTarget(std::shared_ptr<Tunnel> tunnel, RelayRequest request);
  boost::asio::awaitable<void> ServeStore(std::shared_ptr<Tunnel> tunnel);
  /// Answers the asking instance and, if the target is connected, passes bytes on.
  boost::asio::awaitable<void> Relay(std::shared_ptr<Tunnel> tunnel, bool connected);
  /// Passes on what the asking instance sends, until the target's data centre is evacuated and it
  /// sends another request.
  boost::asio::awaitable<void> PumpRequests(std::shared_ptr<Tunnel> tunnel);
  /// Returns the status to answer instead of relaying; 0 if the target may be connected to.
  unsigned Check(const RelayRequest& request) const;

  const dispatch::TargetRegistry& targets_;
  TargetConnector& connector_;
  dispatch::Endpoint store_endpoint_;
  std::function<bool()> reaches_store_;
  ServeGet serve_get_;
  /// Bounded, so that the asking instances spread over the fleet.
  std::size_t max_open_;
  const bool& stopping_;
  /// Connections whose request was not read yet.
  NewestConnections asking_{kMaxAsking};
  std::uint32_t open_ = 0;
  std::uint64_t opened_ = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_RELAY_SERVER_HPP_
