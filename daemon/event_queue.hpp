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

/// @brief Bounded queue of events for the scheduler thread. New requests may use at most half of
/// the capacity; the rest is reserved for events that must not be lost, such as the end of an
/// attempt.
class EventQueue {
 public:
  /// `capacity` is the largest number of queued events, including requests.
  explicit EventQueue(std::size_t capacity) : ring_(capacity), capacity_(capacity) {}

  /// Adds a new request. Returns false if it must be refused: half of the capacity is in use, or
  /// the queue is closed.
  bool PushRequest(scheduler::Event event) {
    return used_.load() < capacity_ / 2 && TryPush(std::move(event));
  }

  /// Adds an event, which may use the whole capacity. Returns false, leaving `event` unchanged, if
  /// the queue is full or closed.
  bool TryPush(scheduler::Event&& event) {
    ++used_;
    if (ring_.TryPush(std::move(event))) return true;
    --used_;
    return false;
  }

  /// Waits until the queue has space and adds the event; drops it if the queue is closed. The wait
  /// is short, because the scheduler thread takes all events at once and never waits for a
  /// producer. Must not be called on the scheduler thread, which would then wait for itself.
  void Push(scheduler::Event event) {
    while (!TryPush(std::move(event)) && !ring_.IsClosed()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  /// Waits up to `timeout` for events and removes all of them, oldest first.
  std::vector<scheduler::Event> PopAll(std::chrono::microseconds timeout) {
    auto events = ring_.PopAll(timeout);
    used_ -= events.size();
    return events;
  }

  /// Makes the queue reject further events and wakes all waiting threads. Queued events can still
  /// be removed.
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
