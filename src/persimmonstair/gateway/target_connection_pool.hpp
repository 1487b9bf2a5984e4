#ifndef PERSIMMONSTAIR_SRC_GATEWAY_TARGET_CONNECTION_POOL_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_TARGET_CONNECTION_POOL_HPP_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <tl/expected.hpp>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/http_connection.hpp"
#include "target_connector.hpp"

namespace persimmonstair::gateway {

/// @brief Which idle connections a request may use. The target may be closing an idle connection
/// while the request is being sent on it.
enum class IdleReuse {
  /// Any idle connection, for requests that can be sent again.
  kAnyIdle,
  /// Only recently used or new connections, for requests that run at most once.
  kRecentlyUsed,
};

/// @brief Pool of idle connections to targets.
class TargetConnectionPool {
 public:
  explicit TargetConnectionPool(TargetConnector& connector) : connector_(connector) {}

  /// Returns an idle connection that is still usable, or opens a new one. With kRecentlyUsed, the
  /// last request on the connection was not the one with `request_id`: a copy of its response would
  /// be taken as the response to the request's next attempt.
  boost::asio::awaitable<tl::expected<std::unique_ptr<HttpConnection>, boost::system::error_code>>
  Acquire(const dispatch::TargetEntry& target, IdleReuse reuse, const std::string& request_id,
          base::Duration timeout);

  /// Returns a connection, on which the request was sent, to the pool, or closes it if it cannot be
  /// reused.
  void Release(const dispatch::TargetEntry& target, std::unique_ptr<HttpConnection> connection,
               const std::string& request_id);

  /// Returns true if Acquire() probably finds an idle connection. Whether the target has closed it
  /// is not checked.
  bool HasIdle(const base::TargetId& target, IdleReuse reuse, const std::string& request_id) const;

  /// Closes the idle connections to a target that have carried no response since `at`: a request
  /// that was sent then got no answer in time, and they may be lost too.
  void DropIdleSince(const base::TargetId& target, base::TimePoint at);

  /// Closes the idle connections to a target that failed, restarted or was removed, as they may not
  /// work either, or that leaves, as they won't be used again.
  void DropTarget(const base::TargetId& target) { idle_.erase(target); }

  /// Closes all idle connections, because the path to the targets is lost.
  void DropAll() { idle_.clear(); }

  /// Closes the connections whose idle limit has passed.
  void CloseIdle();

  /// Number of connections opened so far.
  std::uint64_t Opened() const { return opened_; }

 private:
  struct Idle {
    std::unique_ptr<HttpConnection> connection;
    base::TimePoint since;
    base::Duration limit;
    /// Id of the last request that was sent.
    std::string request_id;
  };

  static bool IsFresh(const Idle& one, base::TimePoint now, IdleReuse reuse);

  /// Takes the connection that was used last and is usable for the request; closes those that are
  /// of no use to any request.
  std::unique_ptr<HttpConnection> TakeIdle(std::deque<Idle>& idle, IdleReuse reuse,
                                           const std::string& request_id);

  TargetConnector& connector_;
  std::map<base::TargetId, std::deque<Idle>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_TARGET_CONNECTION_POOL_HPP_
