#ifndef PERSIMMONSTAIR_STANDIN_REQUEST_LOG_HPP_
#define PERSIMMONSTAIR_STANDIN_REQUEST_LOG_HPP_

#include <cstdint>
#include <deque>
#include <string>

#include "standin/exchange.hpp"

namespace persimmonstair::standin {

/// @brief The latest requests that a role received. Tests search them for leaked keys.
class RequestLog {
 public:
  explicit RequestLog(std::size_t capacity) : capacity_(capacity) {}

  void Add(const HttpRequest& request);
  /// Returns {"total", "dropped", "matched", "requests": [{"method", "path", "headers", "body"}]}
  /// with the requests whose target, headers or body contain `text`; all if `text` is empty.
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
