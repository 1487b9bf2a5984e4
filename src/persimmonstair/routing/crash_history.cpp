#include "crash_history.hpp"

#include <algorithm>

namespace persimmonstair::routing {
namespace {

// Closed connections of one crash are noticed within this time by all instances.
constexpr base::Duration kEpisodeLength{1'000'000};
// Bounds the memory that one crashing target takes; older episodes are dropped first.
constexpr std::size_t kMaxEpisodes = 64;
// Bounds the memory taken by callers that send ever new crashing requests.
constexpr std::size_t kMaxFingerprints = 10'000;

}  // namespace

void CrashHistory::Add(base::TimePoint now, const Fingerprint& request,
                       const base::TargetId& target) {
  if (crashed_targets_.size() >= kMaxFingerprints && !crashed_targets_.contains(request)) return;
  auto& episodes = episodes_[target];
  if (episodes.empty() || now - episodes.back().begin > kEpisodeLength) {
    episodes.push_back({now, {}});
    if (episodes.size() > kMaxEpisodes) episodes.pop_front();
  }
  episodes.back().requests.insert(request);
  crashed_targets_[request][target] = now;
}

void CrashHistory::Clear(const Fingerprint& request) { crashed_targets_.erase(request); }

bool CrashHistory::IsPoison(const Fingerprint& request) const {
  const auto it = crashed_targets_.find(request);
  if (it == crashed_targets_.end()) return false;
  const auto counted = std::ranges::count_if(
      it->second, [this](const auto& entry) { return !CrashesByItself(entry.first); });
  return counted >= static_cast<std::ptrdiff_t>(poison_targets_);
}

bool CrashHistory::IsExplained(const Episode& episode) const {
  return std::ranges::any_of(episode.requests, [this](const Fingerprint& request) {
    const auto it = crashed_targets_.find(request);
    return it != crashed_targets_.end() && it->second.size() > 1;
  });
}

bool CrashHistory::CrashesByItself(const base::TargetId& target) const {
  const auto it = episodes_.find(target);
  if (it == episodes_.end()) return false;
  const auto unexplained = std::ranges::count_if(
      it->second, [this](const Episode& episode) { return !IsExplained(episode); });
  return unexplained >= static_cast<std::ptrdiff_t>(self_crash_episodes_);
}

void CrashHistory::Expire(base::TimePoint now) {
  for (auto& [target, episodes] : episodes_) {
    while (!episodes.empty() && now - episodes.front().begin > expiry_) episodes.pop_front();
  }
  std::erase_if(episodes_, [](const auto& entry) { return entry.second.empty(); });
  for (auto& [request, targets] : crashed_targets_) {
    std::erase_if(targets, [&](const auto& entry) { return now - entry.second > expiry_; });
  }
  std::erase_if(crashed_targets_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace persimmonstair::routing
