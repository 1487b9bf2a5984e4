#ifndef PERSIMMONSTAIR_TURNS_STREAM_TAKE_UPS_HPP_
#define PERSIMMONSTAIR_TURNS_STREAM_TAKE_UPS_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::turns {

/// @brief What the order of a stream's attempts says about one that takes it up.
struct TakeUpOrder {
  /// Fencing token of the attempt; greater than those of all attempts before it. The attempt that
  /// brought the first event has 0.
  std::uint64_t fence = 0;
  /// Fencing token of the attempt that brought the last event which the caller has received. Copies
  /// of this attempt and of later ones hold the events up to there as the caller received them.
  std::uint64_t least_fence = 0;
  /// True if an earlier record names a later event, so that the caller has gone on without this
  /// attempt.
  bool overtaken = false;
};

/// @brief The order of the attempts that took up streams of kept turns, computed from the records
/// of one partition of the store.
///
/// A caller makes one attempt after the other, so the events that it names never decrease.
///
///     StreamTakeUps take_ups;
///     take_ups.Apply(record, offset);
///     const TakeUpOrder order = take_ups.Find(record);
class StreamTakeUps {
 public:
  /// Applies the record at `offset`, in any order. The last record of an attempt counts.
  void Apply(const schema::StreamTakeUp& record, base::Offset offset);

  /// Returns the order of an attempt whose record was applied.
  TakeUpOrder Find(const schema::StreamTakeUp& record) const;

  /// Removes streams whose records expired before `now_ms` (Unix milliseconds).
  void Expire(std::int64_t now_ms);

  std::size_t size() const { return streams_.size(); }

 private:
  /// A stream, known only by its own workspace and program.
  struct Key {
    base::WorkspaceId workspace;
    base::ProgramId program;
    base::TurnId stream;

    auto operator<=>(const Key&) const = default;
  };
  struct Attempt {
    base::TurnId id;
    std::uint64_t event = 0;
  };
  struct Stream {
    /// Attempts by their fencing tokens.
    std::map<std::uint64_t, Attempt> attempts;
    std::int64_t expires_ms = 0;
  };

  static Key KeyOf(const schema::StreamTakeUp& record);

  std::map<Key, Stream> streams_;
};

}  // namespace persimmonstair::turns

#endif  // PERSIMMONSTAIR_TURNS_STREAM_TAKE_UPS_HPP_
