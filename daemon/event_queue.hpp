#ifndef PERSIMMONSTAIR_DAEMON_EVENT_QUEUE_HPP_
#define PERSIMMONSTAIR_DAEMON_EVENT_QUEUE_HPP_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <thread>
#include <utility>
#include <vector>

#include "persimmonstair/base/ring.hpp"
#include "persimmonstair/scheduler/events.hpp"

namespace persimmonstair::daemon {

/// @brief The bounded ring of events for the scheduler thread. New requests may fill half of it;
/// the rest is kept for events that must not be lost, such as the end of an attempt.
class EventQueue {
 public:
  explicit EventQueue(std::size_t capacity) : ring_(capacity), capacity_(capacity) {}

  /// For new requests: false when they have to be refused.
  bool PushRequest(scheduler::Event event) {
    return used_.load() < capacity_ / 2 && TryPush(std::move(event));
  }

  /// False, and `event` unchanged, when the ring is full.
  bool TryPush(scheduler::Event&& event) {
    ++used_;
    if (ring_.TryPush(std::move(event))) return true;
    --used_;
    return false;
  }

  /// Waits for room. The scheduler thread empties the ring at once and never waits for a producer,
  /// so the wait is short; it must not be called on that thread.
  void Push(scheduler::Event event) {
    while (!TryPush(std::move(event)) && !ring_.IsClosed()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  std::vector<scheduler::Event> PopAll(std::chrono::microseconds timeout) {
    auto events = ring_.PopAll(timeout);
    used_ -= events.size();
    return events;
  }

  void Close() { ring_.Close(); }
  std::size_t size() const { return used_; }
  std::size_t capacity() const { return capacity_; }

 private:
  base::Ring<scheduler::Event> ring_;
  std::size_t capacity_;
  std::atomic<std::size_t> used_{0};
};

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_EVENT_QUEUE_HPP_
