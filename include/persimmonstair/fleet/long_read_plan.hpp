#ifndef PERSIMMONSTAIR_FLEET_LONG_READ_PLAN_HPP_
#define PERSIMMONSTAIR_FLEET_LONG_READ_PLAN_HPP_

#include <chrono>
#include <cstddef>
#include <optional>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::fleet {

/// Transfers of long records that an instance serves at a time. Each receiver soon serves others,
/// so that few fast transfers spread the records sooner than many slow ones.
inline constexpr std::size_t kMaxTransfersServed = 2;
/// Age of what an instance knows of a partition up to which it leaves the store to the reader of
/// its data centre: the reader's long poll, its own interval and a lost datagram.
inline constexpr std::chrono::milliseconds kMaxSharedAge{1700};
/// Time for which an instance that knows of a record tries to get it from others only, since it
/// learned of it or an instance was busy handing it on.
inline constexpr std::chrono::milliseconds kMaxTransferTime{1000};
/// Time since its start after which an instance no longer relies on the reader alone, if it has not
/// learned of any record: the reader's answer and the time in which it is applied.
inline constexpr std::chrono::milliseconds kStartLead{600};
/// Longest time for which busy instances are waited for.
inline constexpr std::chrono::milliseconds kMaxBusyTime{2500};
/// Time from one turn to read the store to the next one.
inline constexpr std::chrono::milliseconds kStoreTurn{250};
/// Time without any answer after which an instance that asks in vain takes itself for cut off.
inline constexpr std::chrono::milliseconds kAloneTime{1500};
/// Instances of a data centre that have their turn together.
inline constexpr std::size_t kReadersInTurn = 4;

/// @brief Place of an instance among those of its data centre that could read the store for the
/// others.
struct ReaderRank {
  /// The first one, with rank 0, reads for the others.
  std::size_t rank = 0;
  /// Number of instances, this one included.
  std::size_t instances = 1;

  bool IsReader() const { return rank == 0; }
};

/// @brief How an instance reads a partition from the store next.
enum class StoreUse {
  /// Not at all: other instances are asked.
  kNone,
  /// Once, without waiting there for new records.
  kOnce,
  /// By a read that the store may hold open until there are new records.
  kHeldOpen,
};

/// @brief Whom an instance asks for the records of a partition.
enum class RecordSource { kCollector, kNeighbour, kAnywhere };

/// @brief Decides how an instance gets the records of a partition whose records are so long that
/// the store must not send each of them to each instance.
///
/// One instance of a data centre reads the store. The others ask it, and each other while it is
/// busy. They read the store only if no instance brings news for some time, and then in turn, so
/// that few copies are asked for at a time, however many instances lack the records. An instance
/// that no other one answers reads the store itself.
class LongReadPlan {
 public:
  /// `confirmed_at` is the time at which the records read so far were last known to be all of the
  /// partition.
  StoreUse NextStoreUse(base::TimePoint now, base::TimePoint confirmed_at, ReaderRank place) const;

  /// Time at which the next instance is to be asked.
  base::TimePoint NextAskAt() const { return next_ask_at_; }
  RecordSource NextSource(base::TimePoint now) const;

  /// Registers that this instance has none of the records, as at its start. They are left to the
  /// reader for kStartLead, and then to one instance more with each turn, until some instance is
  /// known to have them.
  void OnStart(base::TimePoint now);
  /// Registers that an instance has read the partition up to `end`, beyond what this one has.
  void OnMissing(base::TimePoint now, base::Offset end);
  /// Registers that an instance hands the records on to as many others as it may.
  void OnBusy(base::TimePoint now);
  /// True if some instance has read records from `next` on.
  bool IsMissing(base::Offset next) const { return next < known_end_; }
  /// Registers a read of the store by this instance.
  void OnStoreRead(base::TimePoint now);
  /// Registers that the instance that was asked has answered, or that it has not.
  void OnAnswer(base::TimePoint now, RecordSource source, bool answered);
  /// Registers that an ask brought all records that are known of, or the certainty that there are
  /// none.
  void OnNews(base::TimePoint now);
  /// Registers an ask that brought nothing. `fraction`, from 0 to 1, is random.
  void OnNothing(base::TimePoint now, double fraction);
  /// Registers that the instances are of a build that passes on no long records.
  void OnUnsupported(base::TimePoint now);

 private:
  /// True if this instance reaches no other one, as far as it knows.
  bool IsAlone(base::TimePoint now) const;
  /// True if this instance's turn has come since `first_turn_at`, and it has not read the store
  /// in the present round of turns.
  bool HasTurn(base::TimePoint now, base::TimePoint first_turn_at, ReaderRank place) const;

  base::TimePoint next_ask_at_;
  /// The largest end of the partition that an instance has told.
  base::Offset known_end_;
  /// Time since which a record is known to be missing; nothing if none is.
  std::optional<base::TimePoint> missing_since_;
  /// Time until which a missing record is left to others.
  base::TimePoint left_until_;
  /// True from a start until some instance is known to have records.
  bool starting_ = false;
  /// Asks in a row that brought nothing.
  unsigned fruitless_asks_ = 0;
  /// Asks in a row without an answer.
  unsigned unanswered_ = 0;
  /// Time of the last answer, or of the start.
  base::TimePoint answered_at_;
  /// Time until which the collector isn't asked, because it did not answer.
  base::TimePoint collector_avoided_until_;
  /// Time until which the store is read, because the others pass on no long records.
  base::TimePoint store_until_;
  /// Time of this instance's last read of the store.
  base::TimePoint store_read_at_;
};

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_LONG_READ_PLAN_HPP_
