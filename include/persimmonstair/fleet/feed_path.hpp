#ifndef PERSIMMONSTAIR_FLEET_FEED_PATH_HPP_
#define PERSIMMONSTAIR_FLEET_FEED_PATH_HPP_

#include <chrono>
#include <string>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::fleet {

/// Longest time since the collector last read a partition to its end. A collector that is further
/// behind may have lost the store, and is not relied on.
inline constexpr std::chrono::milliseconds kMaxFeedAge{900};
/// Longest time without a read of the store by this instance itself, which shows whether it still
/// reaches the store.
inline constexpr std::chrono::milliseconds kMaxTimeBetweenReads{1000};

/// @brief Decides whether an instance asks its collector for new records, or the store.
///
/// A collector that declines, or whose records are old, is left alone for some time, and one that
/// does not answer from the second time on. That time grows, because a collector of an older build
/// never answers.
class FeedPath {
 public:
  /// True if the collector with this address is to be asked. An instance without one passes an
  /// empty address.
  bool IsOpen(base::TimePoint now, const std::string& collector);

  /// Registers a read of the store by this instance.
  void OnStoreRead(base::TimePoint now) { store_read_at_ = now; }
  /// Registers a current answer of the collector.
  void OnAnswer();
  /// Registers that the collector did not answer.
  void OnSilence(base::TimePoint now);
  /// Registers that the collector declined, or that its records are old.
  void OnRefusal(base::TimePoint now);

 private:
  std::string collector_;
  base::TimePoint store_read_at_;
  base::TimePoint avoided_until_;
  base::Duration avoid_time_{0};
  /// Messages in a row without an answer.
  int unanswered_ = 0;
};

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_FEED_PATH_HPP_
