#ifndef PERSIMMONSTAIR_TURNS_STREAM_COPIES_HPP_
#define PERSIMMONSTAIR_TURNS_STREAM_COPIES_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::turns {

/// Time after the last event for which a copy is kept. Callers take a stream up within seconds.
inline constexpr std::chrono::seconds kStreamCopyTime{90};

/// @brief A stream, whichever attempts of its caller brought it.
struct StreamKey {
  base::WorkspaceId workspace;
  /// The attempt that brought the first event.
  base::TurnId stream;

  auto operator<=>(const StreamKey&) const = default;
};

/// @brief Where an event ends in the output of its stream.
struct EventEnd {
  std::uint64_t event = 0;
  /// Bytes of the output up to the end of the event.
  std::uint64_t size = 0;
};

/// @brief An event of a stream, or a part of one.
struct StreamPart {
  /// Fencing token of the attempt that sends the part, see StreamTakeUps.
  std::uint64_t fence = 0;
  /// Bytes of the output before this part.
  std::uint64_t offset = 0;
  std::uint64_t event = 0;
  /// True if the event's output ends with this part.
  bool ends = false;
  std::string_view data;
};

/// @brief Copies of the output of kept turns whose streams may be taken up at another instance.
///
/// The instance that takes a stream up stores the whole turn, so it needs what callers received
/// before. The same event may have another text in each attempt, so a copy belongs to one attempt,
/// which sends it whole: what its caller had received before, and then its own events. Copies that
/// are incomplete at the asked event count as unknown.
///
///     copies.Add(now, key, {0, 0, 1, true, "one\n"});
///     const auto output = copies.Find(key, 1, 0);
class StreamCopies {
 public:
  /// `max_bytes` limits the output in all copies.
  explicit StreamCopies(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Adds a part that continues the copy of its attempt. Parts that were added before, leave a gap
  /// or come from an earlier attempt change nothing. The copy of a later attempt replaces the one
  /// that is held once it holds an event. Returns the size of the attempt's copy in bytes.
  std::uint64_t Add(base::TimePoint now, const StreamKey& key, const StreamPart& part);

  /// Returns the output up to the end of the event; nothing if the copy doesn't reach it, or if it
  /// is that of an attempt with a lower fencing token than `least_fence`.
  std::optional<std::string_view> Find(const StreamKey& key, std::uint64_t event,
                                       std::uint64_t least_fence) const;

  /// Returns the fencing token of the copy that is held, if there is one.
  std::optional<std::uint64_t> FenceOf(const StreamKey& key) const;

  /// Drops the copy of a stream.
  void Drop(const StreamKey& key);

  /// Drops copies whose last part is older than kStreamCopyTime.
  void Expire(base::TimePoint now);

  std::size_t Bytes() const { return bytes_; }

 private:
  /// The stream's output as one attempt sends it.
  struct Output {
    std::uint64_t fence = 0;
    std::string data;
    std::vector<EventEnd> ends;
    /// Two runs with one fencing token have sent different data.
    bool contradictory = false;
  };
  struct Copy {
    Output held;
    /// The copy of a later attempt, as long as it holds no event.
    std::optional<Output> incoming;
    base::TimePoint changed_at;
  };
  using Copies = std::map<StreamKey, Copy>;

  /// Returns the output that the part belongs to, or null if it isn't to be added.
  Output* OutputFor(Copy& copy, const StreamPart& part);
  /// Adds a part to an output; false if it doesn't continue it.
  bool Append(Output& output, const StreamPart& part);
  void Erase(Copies::iterator it);
  void DropOldest();

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  Copies copies_;
};

}  // namespace persimmonstair::turns

#endif  // PERSIMMONSTAIR_TURNS_STREAM_COPIES_HPP_
