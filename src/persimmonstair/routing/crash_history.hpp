#ifndef PERSIMMONSTAIR_SRC_ROUTING_CRASH_HISTORY_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_CRASH_HISTORY_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/routing/settings.hpp"

namespace persimmonstair::routing {

/// @brief Records which requests were running at which targets when these crashed, as seen by all
/// instances, and decides which requests are poison requests.
///
/// A crash ends every request that runs at the target. Crashes of one target within a short time
/// therefore form one episode, and a request counts as poison only after it took part in episodes
/// of several targets. An episode is explained if one of its requests also took part in an episode
/// of another target. If a target has several unexplained episodes, its crashes are attributed to
/// the target itself and don't count against requests.
class CrashHistory {
 public:
  using Fingerprint = std::pair<base::WorkspaceId, std::uint64_t>;

  explicit CrashHistory(const Settings& settings)
      : expiry_(settings.poison_expiry),
        poison_targets_(settings.poison_targets),
        self_crash_episodes_(settings.self_crash_episodes) {}

  /// Records that `target` crashed at `now` while it ran `request`.
  void Add(base::TimePoint now, const Fingerprint& request, const base::TargetId& target);
  /// Forgets the crashes of a request after it got a complete response.
  void Clear(const Fingerprint& request);
  /// True if the request crashed enough different targets to be refused.
  bool IsPoison(const Fingerprint& request) const;
  /// True if the request took part in any crash, whatever its cause.
  bool InvolvedInCrash(const Fingerprint& request) const {
    return crashed_targets_.contains(request);
  }
  /// True if the target crashes for reasons other than a particular request.
  bool CrashesByItself(const base::TargetId& target) const;
  /// Drops crashes older than Settings::poison_expiry.
  void Expire(base::TimePoint now);

 private:
  struct Episode {
    base::TimePoint begin;
    std::set<Fingerprint> requests;
  };

  bool IsExplained(const Episode& episode) const;

  base::Duration expiry_;
  std::uint32_t poison_targets_;
  std::uint32_t self_crash_episodes_;
  std::map<base::TargetId, std::deque<Episode>> episodes_;
  /// Targets that crashed with each request, with the time of the last crash.
  std::map<Fingerprint, std::map<base::TargetId, base::TimePoint>> crashed_targets_;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_CRASH_HISTORY_HPP_
