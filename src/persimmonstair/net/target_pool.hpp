#ifndef PERSIMMONSTAIR_SRC_NET_TARGET_POOL_HPP_
#define PERSIMMONSTAIR_SRC_NET_TARGET_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <list>
#include <map>
#include <memory>

namespace persimmonstair::net {

/// @brief Keeps the idle connections of one I/O thread. A connection on which a byte or the end of
/// the stream arrives while it is idle is closed, so that a late response to an earlier request is
/// not taken for the response to the next one.
class TargetPool : public std::enable_shared_from_this<TargetPool> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  TargetPool(boost::asio::io_context& context, std::chrono::milliseconds idle_timeout,
             std::size_t max_idle_per_address)
      : context_(context),
        expiry_timer_(context),
        idle_timeout_(idle_timeout),
        max_idle_per_address_(max_idle_per_address) {}

  boost::asio::io_context& Context() { return context_; }

  /// Removes and returns the most recently used connection that is open and without unread data;
  /// null if there is none.
  std::unique_ptr<Socket> Acquire(const Endpoint& endpoint);
  /// Adds an idle connection; closes the oldest one if the address then has too many.
  void Release(const Endpoint& endpoint, std::unique_ptr<Socket> socket);
  void CloseIdle(const Endpoint& endpoint);
  void CloseAll();

 private:
  struct IdleConnection {
    std::unique_ptr<Socket> socket;
    std::chrono::steady_clock::time_point idle_since;
    std::uint64_t id = 0;
  };

  /// Closes the connection when it becomes readable.
  void Watch(const Endpoint& endpoint, IdleConnection& idle);
  void Remove(const Endpoint& endpoint, std::uint64_t id);
  /// Closes connections idle for longer than the timeout and schedules the next check.
  void CloseExpired();

  boost::asio::io_context& context_;
  boost::asio::steady_timer expiry_timer_;
  std::chrono::milliseconds idle_timeout_;
  std::size_t max_idle_per_address_;
  bool expiry_scheduled_ = false;
  std::uint64_t next_id_ = 0;
  /// The longest idle connection comes first.
  std::map<Endpoint, std::list<IdleConnection>> idle_connections_;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_TARGET_POOL_HPP_
