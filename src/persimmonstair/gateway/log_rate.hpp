#ifndef PERSIMMONSTAIR_SRC_GATEWAY_LOG_RATE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_LOG_RATE_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::gateway {

/// @brief Bounds the lines that clients can cause in the log, each second anew.
class LogRate {
 public:
  static constexpr std::uint32_t kLinesPerSecond = 10;

  /// Returns the number of lines left out before this one; nothing if this one is left out too.
  std::optional<std::uint64_t> Take(base::TimePoint now) {
    if (now - second_ >= std::chrono::seconds{1}) {
      second_ = now;
      lines_ = 0;
    }
    if (lines_ == kLinesPerSecond) {
      ++left_out_;
      return std::nullopt;
    }
    ++lines_;
    return std::exchange(left_out_, 0);
  }

 private:
  base::TimePoint second_;
  std::uint32_t lines_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_LOG_RATE_HPP_
