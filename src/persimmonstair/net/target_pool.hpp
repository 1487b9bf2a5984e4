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

/// @brief Idle connections of one input/output thread. Each is watched: a byte or an end that
/// arrives while it is idle closes it, so that a late answer cannot be taken for another one.
class TargetPool : public std::enable_shared_from_this<TargetPool> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  TargetPool(boost::asio::io_context& context, std::chrono::milliseconds idle_age,
             std::size_t max_idle)
      : context_(context), sweep_(context), idle_age_(idle_age), max_idle_(max_idle) {}

  boost::asio::io_context& context() { return context_; }

  /// A connection without unread bytes, or null.
  std::unique_ptr<Socket> Take(const Endpoint& endpoint);
  void Put(const Endpoint& endpoint, std::unique_ptr<Socket> socket);
  void CloseIdle(const Endpoint& endpoint);
  void CloseAll();

 private:
  struct Idle {
    std::unique_ptr<Socket> socket;
    std::chrono::steady_clock::time_point since;
    std::uint64_t id = 0;
  };

  void Watch(const Endpoint& endpoint, Idle& idle);
  void Remove(const Endpoint& endpoint, std::uint64_t id);
  void Sweep();

  boost::asio::io_context& context_;
  boost::asio::steady_timer sweep_;
  std::chrono::milliseconds idle_age_;
  std::size_t max_idle_;
  bool sweeping_ = false;
  std::uint64_t next_id_ = 0;
  /// Oldest first.
  std::map<Endpoint, std::list<Idle>> idle_;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_TARGET_POOL_HPP_
