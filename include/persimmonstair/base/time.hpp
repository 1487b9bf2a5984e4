#ifndef PERSIMMONSTAIR_BASE_TIME_HPP_
#define PERSIMMONSTAIR_BASE_TIME_HPP_

#include <chrono>
#include <cstdint>

namespace persimmonstair::base {

using Duration = std::chrono::microseconds;

/// @brief Clock types without a now(): the libraries receive the time as an argument and never read
/// a clock, so that tests and replays control it.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
};
struct WallClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WallClock, duration>;
};

/// Monotonic time of one process, in microseconds from an arbitrary start.
using TimePoint = MonotonicClock::time_point;
/// Wall clock time in microseconds since the Unix epoch; clocks of machines may differ.
using WallTime = WallClock::time_point;

/// @brief The current time, as passed to a library by its caller.
///
///     scheduler.Handle(Now{TimePoint{1s}, WallTime{1'700'000'000s}}, event);
struct Now {
  TimePoint monotonic;
  WallTime wall;
};

/// Whole milliseconds; fractions are cut off toward zero.
inline std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

inline std::int64_t UnixMillis(WallTime time) { return ToMillis(time.time_since_epoch()); }

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace persimmonstair::base

#endif  // PERSIMMONSTAIR_BASE_TIME_HPP_
