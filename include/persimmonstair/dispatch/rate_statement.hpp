#ifndef PERSIMMONSTAIR_DISPATCH_RATE_STATEMENT_HPP_
#define PERSIMMONSTAIR_DISPATCH_RATE_STATEMENT_HPP_

#include <cstdint>
#include <optional>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// @brief What a target stated in a response about the rate of requests that it takes.
struct RateStatement {
  /// Requests per second that the target takes from all instances together; empty if it names no
  /// limit.
  std::optional<double> limit_per_s;
  /// Time at which the answered request was sent. Of two statements, the one with the later time is
  /// valid, so that a response that arrives late does not bring back a limit that has ended.
  base::TimePoint as_of;
  /// Start time of the target in Unix milliseconds, as in its entry.
  std::int64_t started_ms = 0;

  bool operator==(const RateStatement&) const = default;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_RATE_STATEMENT_HPP_
