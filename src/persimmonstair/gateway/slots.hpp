#ifndef PERSIMMONSTAIR_SRC_GATEWAY_SLOTS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_SLOTS_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <utility>

#include "clock.hpp"

namespace persimmonstair::gateway {

/// @brief Bounds the number of coroutines of one thread that do something at the same time. Those
/// that wait follow in the order of their calls.
///
///     const Slot slot = co_await slots.Acquire();
class Slots {
 public:
  Slots(const boost::asio::any_io_executor& executor, std::size_t count)
      : state_(std::make_shared<State>(executor, count)) {}

 private:
  struct State {
    State(const boost::asio::any_io_executor& executor_used, std::size_t count)
        : executor(executor_used), free(count) {}

    void Release() {
      if (waiting.empty()) {
        ++free;
        return;
      }
      // The slot passes to the next one.
      waiting.front()->Set();
      waiting.pop_front();
    }

    boost::asio::any_io_executor executor;
    std::size_t free;
    std::deque<std::shared_ptr<OneShotEvent>> waiting;
  };

 public:
  /// @brief A slot that is returned when this object ends.
  class Slot {
   public:
    explicit Slot(std::shared_ptr<State> state) : state_(std::move(state)) {}
    ~Slot() {
      if (state_) state_->Release();
    }
    Slot(Slot&&) = default;
    Slot& operator=(Slot&&) = delete;
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

   private:
    std::shared_ptr<State> state_;
  };

  /// Waits until a slot is free.
  boost::asio::awaitable<Slot> Acquire() {
    const auto state = state_;
    if (state->free > 0) {
      --state->free;
    } else {
      const auto event = std::make_shared<OneShotEvent>(state->executor);
      state->waiting.push_back(event);
      co_await event->Wait();
    }
    co_return Slot(state);
  }

 private:
  std::shared_ptr<State> state_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_SLOTS_HPP_
