#include "persimmonstair/fleet/long_read_plan.hpp"

#include <algorithm>
#include <cstdint>

namespace persimmonstair::fleet {
namespace {

using std::chrono::milliseconds;

/// Interval at which an instance asks while nothing is missing.
constexpr milliseconds kAskInterval{400};
/// Pause after an ask that brought no certainty, while no record is known to be missing.
constexpr milliseconds kDoubtPause{200};
/// Bounds of the pause while a record is known to be missing, or if there was no answer.
constexpr milliseconds kMinPause{20};
constexpr milliseconds kMaxPause{80};
/// One of so many fruitless asks goes to any data centre.
constexpr unsigned kAsksElsewhere = 6;
/// Time for which the store is read by instances whose neighbours pass on no long records.
constexpr std::chrono::seconds kUnsupportedTime{2};
/// Time for which a collector that did not answer isn't asked.
constexpr milliseconds kCollectorAvoidTime{1000};
/// Asks without an answer after which an instance may take itself for cut off from the others.
constexpr unsigned kMaxUnanswered = 3;

}  // namespace

bool LongReadPlan::IsAlone(base::TimePoint now) const {
  // Some of the others may have ended, so a few of them that don't answer show nothing.
  return unanswered_ >= kMaxUnanswered && now - answered_at_ >= kAloneTime;
}

bool LongReadPlan::HasTurn(base::TimePoint now, base::TimePoint first_turn_at,
                           ReaderRank place) const {
  const std::size_t waiting = std::max<std::size_t>(place.instances, 2) - 1;
  const std::size_t together = starting_ ? 1 : kReadersInTurn;
  const std::size_t turns = (waiting + together - 1) / together;
  const std::size_t turn = (place.rank - 1) / together;
  const base::TimePoint earliest = std::max(first_turn_at + turn * base::Duration{kStoreTurn},
                                            store_read_at_ + turns * base::Duration{kStoreTurn});
  return now >= earliest;
}

StoreUse LongReadPlan::NextStoreUse(base::TimePoint now, base::TimePoint confirmed_at,
                                    ReaderRank place) const {
  const bool is_alone = now < store_until_ || IsAlone(now);
  if (place.IsReader() || is_alone) return StoreUse::kHeldOpen;
  const base::TimePoint turns_begin = missing_since_ ? left_until_ : confirmed_at + kMaxSharedAge;
  return HasTurn(now, turns_begin, place) ? StoreUse::kOnce : StoreUse::kNone;
}

void LongReadPlan::OnStoreRead(base::TimePoint now) {
  store_read_at_ = now;
  // The next ask shows whether the others answer again.
  unanswered_ = std::min(unanswered_, kMaxUnanswered - 1);
}

RecordSource LongReadPlan::NextSource(base::TimePoint now) const {
  const bool avoids_collector = now < collector_avoided_until_;
  if (fruitless_asks_ % 2 == 0 && !avoids_collector) return RecordSource::kCollector;
  const bool elsewhere = fruitless_asks_ % kAsksElsewhere == kAsksElsewhere - 1;
  return elsewhere ? RecordSource::kAnywhere : RecordSource::kNeighbour;
}

void LongReadPlan::OnAnswer(base::TimePoint now, RecordSource source, bool answered) {
  unanswered_ = answered ? 0 : unanswered_ + 1;
  if (answered) answered_at_ = now;
  if (!answered && source == RecordSource::kCollector) {
    collector_avoided_until_ = now + kCollectorAvoidTime;
  }
}

void LongReadPlan::OnStart(base::TimePoint now) {
  starting_ = true;
  missing_since_ = now;
  left_until_ = now + kStartLead;
  answered_at_ = now;
}

void LongReadPlan::OnMissing(base::TimePoint now, base::Offset end) {
  known_end_ = std::max(known_end_, end);
  if (missing_since_ && !starting_) return;
  starting_ = false;
  missing_since_ = now;
  left_until_ = now + kMaxTransferTime;
}

void LongReadPlan::OnBusy(base::TimePoint now) {
  if (!missing_since_) return;
  left_until_ = std::min(now + kMaxTransferTime, *missing_since_ + kMaxBusyTime);
}

void LongReadPlan::OnNews(base::TimePoint now) {
  starting_ = false;
  missing_since_.reset();
  fruitless_asks_ = 0;
  next_ask_at_ = now + kAskInterval;
}

void LongReadPlan::OnNothing(base::TimePoint now, double fraction) {
  ++fruitless_asks_;
  const std::chrono::duration<double, std::milli> spread = fraction * (kMaxPause - kMinPause);
  const base::Duration pause = kMinPause + std::chrono::duration_cast<base::Duration>(spread);
  const bool hurries = missing_since_ || unanswered_ > 0;
  next_ask_at_ = now + (hurries ? pause : base::Duration{kDoubtPause});
}

void LongReadPlan::OnUnsupported(base::TimePoint now) { store_until_ = now + kUnsupportedTime; }

}  // namespace persimmonstair::fleet
