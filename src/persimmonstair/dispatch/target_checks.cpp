#include "persimmonstair/dispatch/target_checks.hpp"

#include <algorithm>

namespace persimmonstair::dispatch {
namespace {

/// Answers that are remembered. Beyond it, those that are too old to matter are dropped.
constexpr std::size_t kMaxAnswers = 1024;

}  // namespace

bool TargetChecks::IsDue(base::TimePoint now, const TargetKnowledge& knowledge,
                         const base::TargetId& target, std::int64_t started_ms) const {
  if (now - knowledge.list_confirmed_at < max_age_) return false;
  if (now - knowledge.store_answered_at >= kStoreAwayAfter) return false;
  const auto it = answers_.find(target);
  const bool known = it != answers_.end() && it->second.started_ms == started_ms;
  return !known || now - it->second.asked_at >= max_age_;
}

void TargetChecks::OnServing(base::TimePoint asked_at, const base::TargetId& target,
                             std::int64_t started_ms) {
  if (answers_.size() >= kMaxAnswers) {
    std::erase_if(answers_,
                  [&](const auto& one) { return asked_at - one.second.asked_at >= max_age_; });
  }
  Answer& answer = answers_[target];
  if (answer.started_ms == started_ms) asked_at = std::max(asked_at, answer.asked_at);
  answer = {started_ms, asked_at};
}

}  // namespace persimmonstair::dispatch
