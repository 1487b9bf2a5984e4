#include "crash_record.hpp"

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

void CrashRecord::Add(base::TimePoint now, const Fingerprint& request,
                      const base::TargetId& target) {
  if (targets_of_.size() >= kMaxFingerprints && !targets_of_.contains(request)) return;
  auto& episodes = episodes_[target];
  if (episodes.empty() || now - episodes.back().begin > kEpisodeLength) {
    episodes.push_back({now, {}});
    if (episodes.size() > kMaxEpisodes) episodes.pop_front();
  }
  episodes.back().requests.insert(request);
  targets_of_[request][target] = now;
}

void CrashRecord::Clear(const Fingerprint& request) { targets_of_.erase(request); }

bool CrashRecord::IsPoison(const Fingerprint& request) const {
  const auto it = targets_of_.find(request);
  if (it == targets_of_.end()) return false;
  const auto counted = std::ranges::count_if(
      it->second, [this](const auto& entry) { return !CrashesByItself(entry.first); });
  return counted >= static_cast<std::ptrdiff_t>(poison_targets_);
}

bool CrashRecord::Explained(const Episode& episode) const {
  return std::ranges::any_of(episode.requests, [this](const Fingerprint& request) {
    const auto it = targets_of_.find(request);
    return it != targets_of_.end() && it->second.size() > 1;
  });
}

bool CrashRecord::CrashesByItself(const base::TargetId& target) const {
  const auto it = episodes_.find(target);
  if (it == episodes_.end()) return false;
  const auto unexplained = std::ranges::count_if(
      it->second, [this](const Episode& episode) { return !Explained(episode); });
  return unexplained >= static_cast<std::ptrdiff_t>(self_crash_episodes_);
}

void CrashRecord::Expire(base::TimePoint now) {
  for (auto& [target, episodes] : episodes_) {
    while (!episodes.empty() && now - episodes.front().begin > expiry_) episodes.pop_front();
  }
  std::erase_if(episodes_, [](const auto& entry) { return entry.second.empty(); });
  for (auto& [request, targets] : targets_of_) {
    std::erase_if(targets, [&](const auto& entry) { return now - entry.second > expiry_; });
  }
  std::erase_if(targets_of_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace persimmonstair::routing
