#ifndef PERSIMMONSTAIR_SRC_GATEWAY_CLOCK_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_CLOCK_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::gateway {

/// @brief Monotonic time that also advances while the machine is suspended, as leases and deadlines
/// require.
inline base::TimePoint Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return base::TimePoint{
      std::chrono::seconds{time.tv_sec} +
      std::chrono::duration_cast<base::Duration>(std::chrono::nanoseconds{time.tv_nsec})};
}

/// @brief Milliseconds since the Unix epoch by this machine's wall clock.
inline std::int64_t UnixMillis() {
  return base::ToMillis(std::chrono::duration_cast<base::Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

inline boost::asio::awaitable<void> Sleep(base::Duration time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

/// @brief An event that coroutines of one thread can wait for. Once set, it stays set.
class OneShotEvent {
 public:
  explicit OneShotEvent(const boost::asio::any_io_executor& executor)
      : timer_(executor, boost::asio::steady_timer::time_point::max()) {}

  void Set() {
    set_ = true;
    timer_.cancel();
  }
  bool IsSet() const { return set_; }

  boost::asio::awaitable<void> Wait() {
    while (!set_) {
      co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }

  /// Waits until the event is set, at most until `deadline`. Only one coroutine may wait like this.
  boost::asio::awaitable<void> WaitUntil(base::TimePoint deadline) {
    if (set_) co_return;
    timer_.expires_after(deadline - Now());
    co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }

 private:
  boost::asio::steady_timer timer_;
  bool set_ = false;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_CLOCK_HPP_
