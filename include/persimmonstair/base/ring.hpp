#ifndef PERSIMMONSTAIR_BASE_RING_HPP_
#define PERSIMMONSTAIR_BASE_RING_HPP_

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace persimmonstair::base {

/// @brief A bounded queue between threads, kept in a ring buffer. Several producers may push; one
/// consumer pops. A full ring rejects items, so that no producer waits for space.
///
///     Ring<Event> events{4096};
///     if (!events.TryPush(std::move(event))) Refuse(ErrorCode::kOverloaded);
template <class T>
class Ring {
 public:
  /// `capacity` is the largest number of queued items.
  explicit Ring(std::size_t capacity) : items_(capacity) {}

  /// Returns false, leaving `item` unchanged, if the ring is full or closed.
  bool TryPush(T&& item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || items_.full()) return false;
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    return true;
  }

  /// Waits up to `timeout` for an item or Close(), then removes and returns all queued items,
  /// oldest first. The result is empty if none arrived. Items queued before Close() are still
  /// returned.
  std::vector<T> PopAll(std::chrono::microseconds timeout) {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, timeout, [this] { return closed_ || !items_.empty(); });
    std::vector<T> out;
    out.reserve(items_.size());
    for (T& item : items_) out.push_back(std::move(item));
    items_.clear();
    return out;
  }

  /// Rejects further items and wakes the consumer.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
  }

  bool IsClosed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  boost::circular_buffer<T> items_;
  bool closed_ = false;
};

}  // namespace persimmonstair::base

#endif  // PERSIMMONSTAIR_BASE_RING_HPP_
