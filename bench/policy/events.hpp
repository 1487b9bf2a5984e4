#ifndef PERSIMMONSTAIR_BENCH_POLICY_EVENTS_HPP_
#define PERSIMMONSTAIR_BENCH_POLICY_EVENTS_HPP_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace persimmonstair::bench {

/// @brief Event queue with virtual time. Actions run in order of time; those with equal times run
/// in order of insertion.
class EventQueue {
 public:
  /// Virtual time in seconds.
  double now() const { return now_; }
  void ScheduleAfter(double seconds, std::function<void()> action) {
    items_.push({now_ + seconds, next_++, std::move(action)});
  }
  /// Runs the next action. Returns false if none is due by `end_s`.
  bool RunNext(double end_s) {
    if (items_.empty() || items_.top().at > end_s) return false;
    Item item = std::move(const_cast<Item&>(items_.top()));
    items_.pop();
    now_ = item.at;
    item.action();
    return true;
  }

 private:
  struct Item {
    double at = 0;
    std::uint64_t number = 0;
    std::function<void()> action;
    /// Reversed, so that the priority queue returns the earliest item first.
    bool operator<(const Item& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  double now_ = 0;
  std::uint64_t next_ = 0;
  std::priority_queue<Item> items_;
};

}  // namespace persimmonstair::bench

#endif  // PERSIMMONSTAIR_BENCH_POLICY_EVENTS_HPP_
