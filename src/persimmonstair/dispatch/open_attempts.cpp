#include "persimmonstair/dispatch/open_attempts.hpp"

namespace persimmonstair::dispatch {

void OpenAttempts::Begin(base::TimePoint now, const base::TargetId& target,
                         const std::string& request) {
  if (!request.empty()) open_[{target, request}] = {now, false};
}

void OpenAttempts::OnResponse(const base::TargetId& target, const std::string& request) {
  const auto it = open_.find({target, request});
  // One that was overdue stays so until its end.
  if (it != open_.end() && !it->second.was_overdue) open_.erase(it);
}

bool OpenAttempts::End(const base::TargetId& target, const std::string& request) {
  const auto it = open_.find({target, request});
  if (it == open_.end()) return false;
  const bool was_overdue = it->second.was_overdue;
  open_.erase(it);
  return was_overdue;
}

}  // namespace persimmonstair::dispatch
