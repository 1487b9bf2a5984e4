#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_PROBES_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_PROBES_HPP_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <map>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief Decides by small reads, the probes, whether reads that get no answer are lost.
///
/// A large read may wait long at a store that works, behind those of other instances, and must not
/// be sent again then. Probes cost next to nothing. A busy store answers each of them, sooner or
/// later, and in their order. If a probe is answered while an earlier one is not, the store was
/// silent when it got the earlier one, so whatever was sent until then is lost.
///
///     if (probes.IsDue(now)) id = probes.OnSent(now);
///     probes.OnAnswered(id);
///     if (probes.IsLost(sent_at)) SendAgain();
class StoreProbes {
 public:
  /// Pause between two probes. With it, a lost read is sent again within a second of the store's
  /// return, a third of the time that the platform's sites allow an instance for coming back.
  static constexpr std::chrono::milliseconds kInterval{1000};

  /// True if no probe was sent within kInterval.
  bool IsDue(base::TimePoint now) const { return sent_ == 0 || now - last_sent_at_ >= kInterval; }

  /// Returns the number of the probe that is sent at `now`.
  std::uint64_t OnSent(base::TimePoint now) {
    last_sent_at_ = now;
    unanswered_[++sent_] = now;
    return sent_;
  }

  /// Records an answer of the store to the probe.
  void OnAnswered(std::uint64_t probe) {
    const auto it = unanswered_.find(probe);
    if (it == unanswered_.end()) return;
    if (it != unanswered_.begin()) lost_until_ = std::max(lost_until_, std::prev(it)->second);
    unanswered_.erase(unanswered_.begin(), std::next(it));
  }

  /// Forgets a probe that was refused or could not be sent: it says nothing about earlier ones.
  void OnRefused(std::uint64_t probe) { unanswered_.erase(probe); }

  /// True if a read that was sent then is lost, unless it has been answered.
  bool IsLost(base::TimePoint sent_at) const { return sent_at <= lost_until_; }

 private:
  std::uint64_t sent_ = 0;
  base::TimePoint last_sent_at_;
  base::TimePoint lost_until_;
  /// Times at which the unanswered probes were sent, by their numbers.
  std::map<std::uint64_t, base::TimePoint> unanswered_;
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_PROBES_HPP_
