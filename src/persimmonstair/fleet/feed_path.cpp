#include "persimmonstair/fleet/feed_path.hpp"

#include <algorithm>

namespace persimmonstair::fleet {
namespace {

using std::chrono::milliseconds;

/// Bounds of the time for which a collector isn't asked. It doubles with each failure.
constexpr milliseconds kMinAvoidTime{1000};
constexpr milliseconds kMaxAvoidTime{8000};
/// One datagram may be lost.
constexpr int kMaxUnanswered = 2;

}  // namespace

bool FeedPath::IsOpen(base::TimePoint now, const std::string& collector) {
  if (collector != collector_) {
    collector_ = collector;
    avoided_until_ = {};
    OnAnswer();
  }
  const bool reads_store = now - store_read_at_ < kMaxTimeBetweenReads;
  return !collector_.empty() && reads_store && now >= avoided_until_;
}

void FeedPath::OnAnswer() {
  unanswered_ = 0;
  avoid_time_ = {};
}

void FeedPath::OnSilence(base::TimePoint now) {
  if (++unanswered_ >= kMaxUnanswered) OnRefusal(now);
}

void FeedPath::OnRefusal(base::TimePoint now) {
  unanswered_ = 0;
  avoid_time_ = std::clamp<base::Duration>(2 * avoid_time_, kMinAvoidTime, kMaxAvoidTime);
  avoided_until_ = now + avoid_time_;
}

}  // namespace persimmonstair::fleet
