#ifndef REVIEW_SUPPORT_3_RECORD_HPP_
#define REVIEW_SUPPORT_3_RECORD_HPP_

#include <fstream>
#include <mutex>
#include <string>

#include "net.hpp"

namespace review {

/// @brief What was sent, answered and run, a line each, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path, std::ios::trunc) {}

  void Line(const std::string& text);
  /// Milliseconds since the start.
  std::int64_t Now() const;

 private:
  Clock::time_point started_ = Clock::now();
  std::mutex mutex_;
  std::ofstream out_;
};

/// @brief False if the case is to run without its disruption (TROUBLE=0).
bool WithTrouble();

}  // namespace review

#endif  // REVIEW_SUPPORT_3_RECORD_HPP_
