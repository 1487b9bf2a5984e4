#include "record.hpp"

#include <cstdlib>
#include <iostream>
#include <string_view>

namespace review {

std::int64_t Record::Now() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - started_).count();
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  const std::string line = std::to_string(Now()) + " ms  " + text;
  out_ << line << std::endl;
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

}  // namespace review
