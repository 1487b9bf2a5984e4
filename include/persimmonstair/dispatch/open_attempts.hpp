#ifndef PERSIMMONSTAIR_DISPATCH_OPEN_ATTEMPTS_HPP_
#define PERSIMMONSTAIR_DISPATCH_OPEN_ATTEMPTS_HPP_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// @brief Attempts of this instance that wait for a response, so that one that is overdue counts as
/// a failure before its timeout.
class OpenAttempts {
 public:
  struct Overdue {
    base::TargetId target;
    base::TimePoint begun_at;
  };

  /// Attempts without a request name aren't followed.
  void Begin(base::TimePoint now, const base::TargetId& target, const std::string& request);
  /// Records that the response has begun; the attempt can't become overdue.
  void OnResponse(const base::TargetId& target, const std::string& request);
  /// Ends an attempt. Returns true if it was returned as overdue.
  bool End(const base::TargetId& target, const std::string& request);

  /// Returns the attempts that wait for longer than `limit(target)`, each once. An empty limit
  /// means that no time is known.
  template <class Limit>
  std::vector<Overdue> TakeOverdue(base::TimePoint now, Limit limit) {
    std::vector<Overdue> overdue;
    for (auto& [key, attempt] : open_) {
      if (attempt.was_overdue) continue;
      const auto time = limit(key.first);
      if (!time || now - attempt.begun_at <= *time) continue;
      attempt.was_overdue = true;
      overdue.push_back({key.first, attempt.begun_at});
    }
    return overdue;
  }

 private:
  struct Attempt {
    base::TimePoint begun_at;
    bool was_overdue = false;
  };

  std::map<std::pair<base::TargetId, std::string>, Attempt> open_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_OPEN_ATTEMPTS_HPP_
