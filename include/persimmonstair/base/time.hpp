#ifndef PERSIMMONSTAIR_BASE_TIME_HPP_
#define PERSIMMONSTAIR_BASE_TIME_HPP_

#include <chrono>
#include <cstdint>

namespace persimmonstair::base {

using Duration = std::chrono::microseconds;

/// @brief Clock tags without a now(): pure libraries receive the time and never read it.
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

/// Time of one process, in microseconds from an arbitrary start; never goes back.
using TimePoint = MonotonicClock::time_point;
/// Time since the Unix epoch in microseconds; may differ between machines.
using WallTime = WallClock::time_point;

/// @brief The current time as a caller of a pure library states it.
///
///     scheduler.Handle(Now{TimePoint{1s}, WallTime{1'700'000'000s}}, event);
struct Now {
  TimePoint monotonic;
  WallTime wall;
};

inline std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

inline std::int64_t UnixMillis(WallTime time) { return ToMillis(time.time_since_epoch()); }

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace persimmonstair::base

#endif  // PERSIMMONSTAIR_BASE_TIME_HPP_
