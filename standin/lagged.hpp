#ifndef PERSIMMONSTAIR_STANDIN_LAGGED_HPP_
#define PERSIMMONSTAIR_STANDIN_LAGGED_HPP_

#include <chrono>
#include <deque>
#include <utility>

namespace persimmonstair::standin {

/// @brief A value with its history, so that readers can get it as it was some time ago.
template <class T>
class Lagged {
 public:
  using Clock = std::chrono::steady_clock;

  explicit Lagged(T first) : current_(first) {
    history_.emplace_back(Clock::time_point::min(), std::move(first));
  }

  const T& current() const { return current_; }

  void Set(T value) {
    current_ = value;
    history_.emplace_back(Clock::now(), std::move(value));
    if (history_.size() > kMaxHistory) history_.pop_front();
  }

  /// The value as of `lag` ago, or the oldest one known.
  const T& DelayedBy(std::chrono::milliseconds lag) const {
    if (lag.count() == 0) return current_;
    const auto when = Clock::now() - lag;
    auto it = history_.rbegin();
    while (std::next(it) != history_.rend() && it->first > when) ++it;
    return it->second;
  }

 private:
  /// Covers 30 s of a value that changes 300 times a second.
  static constexpr std::size_t kMaxHistory = 10'000;

  T current_;
  std::deque<std::pair<Clock::time_point, T>> history_;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_LAGGED_HPP_
