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

/// @brief Which requests crashed which targets, over all instances.
///
/// A crash ends every request that runs at the target, so crashes of one target that are close
/// together form one episode, and a request is only stopped after it took part in episodes of
/// several targets. A target with several episodes that no request of another target's episode
/// explains crashes by itself; its episodes do not count.
class CrashHistory {
 public:
  using Fingerprint = std::pair<base::WorkspaceId, std::uint64_t>;

  explicit CrashHistory(const Settings& settings)
      : expiry_(settings.poison_expiry),
        poison_targets_(settings.poison_targets),
        self_crash_episodes_(settings.self_crash_episodes) {}

  void Add(base::TimePoint now, const Fingerprint& request, const base::TargetId& target);
  /// A complete response clears the request.
  void Clear(const Fingerprint& request);
  bool IsPoison(const Fingerprint& request) const;
  /// True after any crash with this request, however explained.
  bool InvolvedInCrash(const Fingerprint& request) const {
    return crashed_targets_.contains(request);
  }
  bool CrashesByItself(const base::TargetId& target) const;
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
  /// Targets whose episodes a request took part in, with the time of the last one.
  std::map<Fingerprint, std::map<base::TargetId, base::TimePoint>> crashed_targets_;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_CRASH_HISTORY_HPP_
