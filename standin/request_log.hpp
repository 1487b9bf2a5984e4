#ifndef PERSIMMONSTAIR_STANDIN_REQUEST_LOG_HPP_
#define PERSIMMONSTAIR_STANDIN_REQUEST_LOG_HPP_

#include <cstdint>
#include <deque>
#include <string>

#include "standin/exchange.hpp"

namespace persimmonstair::standin {

/// @brief The last requests that a target received, for tests that look for leaked keys.
class RequestLog {
 public:
  explicit RequestLog(std::size_t capacity) : capacity_(capacity) {}

  void Add(const HttpRequest& request);
  /// {"total", "dropped", "matched", "requests": [{"method", "path", "headers", "body"}]}; only the
  /// requests with `text` in target, headers or body, all if it is empty.
  Json ToJson(const std::string& text) const;
  void Clear();

 private:
  std::size_t capacity_;
  std::uint64_t total_ = 0;
  std::size_t bytes_ = 0;
  std::deque<HttpRequest> requests_;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_REQUEST_LOG_HPP_
