#ifndef PERSIMMONSTAIR_SRC_NET_DEADLINE_HPP_
#define PERSIMMONSTAIR_SRC_NET_DEADLINE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace persimmonstair::net {

/// @brief Timeout that is extended often and rarely expires. Extending it only stores the new
/// expiry: when the timer fires early, it is started again for the rest, so the timer queue is
/// rarely changed. Used on the thread of its context only.
class Deadline {
 public:
  explicit Deadline(boost::asio::io_context& context) : timer_(context) {}

  /// Sets the function to call when the deadline expires; call this before Set(). It runs on the
  /// context's thread, and only while `owner` exists. `owner` must keep this object alive.
  void Bind(std::weak_ptr<void> owner, std::function<void()> on_expired) {
    owner_ = std::move(owner);
    on_expired_ = std::move(on_expired);
  }

  /// Makes the deadline expire after `timeout`, instead of at the previous expiry.
  void Set(std::chrono::steady_clock::duration timeout) {
    expiry_ = std::chrono::steady_clock::now() + timeout;
    if (expiry_ < timer_expiry_) StartTimer();
  }

  /// Disables the deadline. The timer may still fire, without effect.
  void Clear() { expiry_ = kNever; }

  /// Disables the deadline and cancels the timer, so that no pending wait keeps the context
  /// running.
  void Stop() {
    Clear();
    timer_.cancel();
    timer_expiry_ = kNever;
  }

 private:
  using TimePoint = std::chrono::steady_clock::time_point;
  static constexpr TimePoint kNever = TimePoint::max();

  void StartTimer() {
    timer_expiry_ = expiry_;
    timer_.expires_at(expiry_);
    timer_.async_wait([this, owner = owner_](boost::system::error_code ec) {
      const auto alive = owner.lock();
      if (ec || !alive) return;
      OnTimer();
    });
  }

  void OnTimer() {
    timer_expiry_ = kNever;
    if (expiry_ == kNever) return;
    if (expiry_ > std::chrono::steady_clock::now()) return StartTimer();
    expiry_ = kNever;
    on_expired_();
  }

  boost::asio::steady_timer timer_;
  std::weak_ptr<void> owner_;
  std::function<void()> on_expired_;
  TimePoint expiry_ = kNever;
  // The time for which the timer was last started; kNever once it has fired.
  TimePoint timer_expiry_ = kNever;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_DEADLINE_HPP_
