#ifndef PERSIMMONSTAIR_TRACE_REPLAY_HPP_
#define PERSIMMONSTAIR_TRACE_REPLAY_HPP_

#include <concepts>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/trace/trace.hpp"

namespace persimmonstair::trace {

/// @brief Type that handles the replayed events and returns the resulting actions, such as
/// scheduler::Scheduler.
template <class T>
concept EventHandler = requires(T handler, const base::Now& now, scheduler::Event event) {
  { handler.Handle(now, std::move(event)) } -> std::same_as<std::vector<scheduler::Action>>;
};

/// @brief Counts of a replay.
struct ReplaySummary {
  /// Number of events by type name, for example "Tick".
  std::map<std::string, std::uint64_t> events;
  /// Number of actions by type name, for example "Reply".
  std::map<std::string, std::uint64_t> actions;
  /// Number of replies by HTTP status.
  std::map<std::uint32_t, std::uint64_t> reply_statuses;
  /// 64-bit hash of all actions in order, see AddToDigest(). Equal for two replays with equal
  /// actions; 0 if there were none.
  std::uint64_t digest = 0;
};

/// @brief Returns the digest of the previous actions, extended by one action. The digest of no
/// actions is 0.
std::uint64_t AddToDigest(std::uint64_t digest, const scheduler::Action& action);

/// @brief Passes the events of a trace to `handler` and each resulting action, with the time of its
/// event, to `sink`. The first line of the trace, which holds the options, must already have been
/// read from `in`. Empty lines are skipped. Fails with kInvalidRequest at a malformed line, or at
/// an event whose monotonic time is earlier than that of the previous one; the message starts with
/// the line number. The events before that line were handled.
///
///     auto summary = Replay(scheduler, file, [](const base::Now&, const auto& action) {...});
template <EventHandler Handler, class Sink>
base::Result<ReplaySummary> Replay(Handler& handler, std::istream& in, Sink sink) {
  ReplaySummary out;
  base::TimePoint last{};
  std::string line;
  for (std::uint64_t number = 2; std::getline(in, line); ++number) {
    if (line.empty()) continue;
    auto step = ParseStep(line);
    const std::string where = "line " + std::to_string(number) + ": ";
    if (!step) return base::Fail(step.error().code, where + step.error().message);
    if (step->now.monotonic < last) {
      return base::Fail(base::ErrorCode::kInvalidRequest,
                        where + "the time is earlier than that of the previous event");
    }
    last = step->now.monotonic;
    ++out.events[std::string(NameOf(step->event))];
    for (const auto& action : handler.Handle(step->now, std::move(step->event))) {
      ++out.actions[std::string(NameOf(action))];
      if (const auto* reply = std::get_if<scheduler::Reply>(&action)) {
        ++out.reply_statuses[reply->status];
      }
      out.digest = AddToDigest(out.digest, action);
      sink(step->now, action);
    }
  }
  return out;
}

}  // namespace persimmonstair::trace

#endif  // PERSIMMONSTAIR_TRACE_REPLAY_HPP_
