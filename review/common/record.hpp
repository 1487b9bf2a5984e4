#ifndef PERSIMMONSTAIR_REVIEW_COMMON_RECORD_HPP_
#define PERSIMMONSTAIR_REVIEW_COMMON_RECORD_HPP_

#include <cstdio>
#include <mutex>
#include <string>

#include "net.hpp"

namespace review {

/// @brief What was sent, answered and run, a line each, with milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) throw std::runtime_error("can't write " + path);
  }
  ~Record() { std::fclose(file_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  std::int64_t NowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start_).count();
  }

  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%7lld %s\n", static_cast<long long>(NowMs()), text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  Clock::time_point start_ = Clock::now();
};

}  // namespace review

#endif  // PERSIMMONSTAIR_REVIEW_COMMON_RECORD_HPP_
