#ifndef PERSIMMONSTAIR_SRC_NET_DEADLINE_HPP_
#define PERSIMMONSTAIR_SRC_NET_DEADLINE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace persimmonstair::net {

/// @brief A deadline that is moved often and rarely reached. Moving it later does not touch the
/// timer queue: the timer looks again when it fires.
class Deadline {
 public:
  explicit Deadline(boost::asio::io_context& context) : timer_(context) {}

  /// `on_expired` is called on the context's thread while `owner` exists.
  void Bind(std::weak_ptr<void> owner, std::function<void()> on_expired) {
    owner_ = std::move(owner);
    on_expired_ = std::move(on_expired);
  }

  void Set(std::chrono::steady_clock::duration time) {
    expiry_ = std::chrono::steady_clock::now() + time;
    if (expiry_ < timer_expiry_) StartTimer();
  }

  void Clear() { expiry_ = kNever; }

  /// Clears and takes the timer out of the context's queue.
  void Stop() {
    Clear();
    timer_.cancel();
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
  TimePoint timer_expiry_ = kNever;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_DEADLINE_HPP_
