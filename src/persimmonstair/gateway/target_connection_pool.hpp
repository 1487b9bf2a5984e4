#ifndef PERSIMMONSTAIR_SRC_GATEWAY_TARGET_CONNECTION_POOL_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_TARGET_CONNECTION_POOL_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <tl/expected.hpp>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/http_connection.hpp"

namespace persimmonstair::gateway {

/// @brief Whether a request may go out on a connection that the target may just be closing.
enum class IdleReuse {
  /// The request can be sent again.
  kAnyIdle,
  /// The request runs at most once: only connections used a moment ago, or new ones.
  kRecentlyUsed,
};

/// @brief Idle connections to targets.
class TargetConnectionPool {
 public:
  explicit TargetConnectionPool(const boost::asio::any_io_executor& executor)
      : executor_(executor) {}

  /// An idle connection that is still quiet, or a new one.
  boost::asio::awaitable<tl::expected<std::unique_ptr<HttpConnection>, boost::system::error_code>>
  Acquire(const dispatch::TargetEntry& target, IdleReuse reuse, base::Duration timeout);

  /// Takes back a connection after a complete answer; closes it unless it can be used again.
  void Release(const dispatch::TargetEntry& target, std::unique_ptr<HttpConnection> connection);

  /// Closes the idle connections of a target that failed: its others may be silent too.
  void DropTarget(const base::TargetId& target) { idle_.erase(target); }

  /// Closes connections that were idle for long.
  void CloseIdle();

  std::uint64_t Opened() const { return opened_; }

 private:
  struct Idle {
    std::unique_ptr<HttpConnection> connection;
    base::TimePoint since;
    base::Duration limit;
  };

  boost::asio::any_io_executor executor_;
  std::map<base::TargetId, std::deque<Idle>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_TARGET_CONNECTION_POOL_HPP_
