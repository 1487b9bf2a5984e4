#ifndef PERSIMMONSTAIR_SRC_GATEWAY_TARGET_CONNECTOR_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_TARGET_CONNECTOR_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <tl/expected.hpp>
#include <utility>

#include "fleet_registry.hpp"
#include "persimmonstair/dispatch/direct_path.hpp"
#include "persimmonstair/gateway/http_connection.hpp"
#include "relay_peers.hpp"
#include "relay_protocol.hpp"

namespace persimmonstair::gateway {

using ConnectResult = tl::expected<std::unique_ptr<HttpConnection>, boost::system::error_code>;

/// @brief Opens connections to targets, directly or, where that fails, through another instance.
///
/// An instance that has lost its links to the targets asks another one to open the connection
/// and to pass bytes on both ways (RelayServer). All decisions about a request stay here: its rate,
/// its tokens, what may run twice. No byte of a request leaves before the connection to the target
/// is open, so a failure means that the request has not run.
class TargetConnector {
 public:
  TargetConnector(const boost::asio::any_io_executor& executor, const FleetRegistry& fleet)
      : executor_(executor), fleet_(fleet) {}

  /// Opens a connection within `timeout`. A direct attempt has a head start, unless the direct
  /// path is lost.
  boost::asio::awaitable<ConnectResult> Open(dispatch::TargetEntry target, base::Duration timeout);

  /// Returns true if the target takes no connection, neither from this instance nor from two others
  /// that are asked: it has ended, and it isn't this instance that has lost its links.
  boost::asio::awaitable<bool> HasEnded(dispatch::TargetEntry target);

  /// Sets the function that is called when the path is lost while connections hang, so that open
  /// ones may hang too.
  void OnHangingPath(std::function<void()> callback) { on_hanging_path_ = std::move(callback); }

  /// Records the end of a direct connection attempt.
  void OnDirect(const base::TargetId& target, bool connected);
  /// Records an answer of the target on an open direct connection.
  void OnAnswer(const base::TargetId& target) { path_.OnAnswer(target); }

  dispatch::PathState Path() const { return path_.State(); }
  /// True if Open() fails at once, but for one attempt in each dispatch::kPathProbeInterval.
  bool IsUnreachable(const base::TargetId& target) const { return path_.IsUnreachable(target); }
  /// Connections that other instances have relayed for this one so far.
  std::uint64_t Relayed() const { return relayed_; }

 private:
  /// Attempts to open one connection; the first that succeeds wins.
  struct Race {
    explicit Race(const boost::asio::any_io_executor& executor) : changed(executor) {}
    std::unique_ptr<HttpConnection> winner;
    /// Error of the direct attempt.
    boost::system::error_code error;
    int running = 0;
    /// The caller has left with its result.
    bool over = false;
    boost::asio::steady_timer changed;
  };
  using RacePtr = std::shared_ptr<Race>;

  boost::asio::awaitable<void> OpenDirectly(RacePtr race, dispatch::TargetEntry target);
  boost::asio::awaitable<void> OpenByRelay(RacePtr race, dispatch::TargetEntry target,
                                           base::TimePoint deadline);
  /// Asks one instance to open the connection, and returns the status of its answer; 0 for none.
  boost::asio::awaitable<unsigned> AskRelay(HttpConnection& connection, dispatch::Endpoint peer,
                                            RelayRequest request);
  /// Waits until an attempt ends, at most until `until`.
  static boost::asio::awaitable<void> WaitForChange(RacePtr race, base::TimePoint until);
  void OnRelayed(const base::TargetId& target, bool connected);
  /// Logs a change of the path's state and acts on it.
  void FollowPath(dispatch::PathState before);

  boost::asio::any_io_executor executor_;
  const FleetRegistry& fleet_;
  dispatch::DirectPath path_;
  RelayPeers peers_;
  std::function<void()> on_hanging_path_;
  /// The last direct attempt that failed had no answer.
  bool last_miss_hung_ = false;
  std::uint64_t relayed_ = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_TARGET_CONNECTOR_HPP_
