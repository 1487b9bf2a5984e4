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

/// @brief Type that a replay passes events to: scheduler::Scheduler, or a fake in tests.
template <class T>
concept EventHandler = requires(T handler, const base::Now& now, scheduler::Event event) {
  { handler.Handle(now, std::move(event)) } -> std::same_as<std::vector<scheduler::Action>>;
};

/// @brief Counts of a replay.
struct ReplaySummary {
  /// Number of events and actions by type name.
  std::map<std::string, std::uint64_t> events;
  std::map<std::string, std::uint64_t> actions;
  /// Number of replies by HTTP status.
  std::map<std::uint32_t, std::uint64_t> reply_statuses;
  /// Hash of all actions in order; equal for two replays with equal actions.
  std::uint64_t digest = 0;
};

/// @brief Returns the digest of the previous actions, extended by one action.
std::uint64_t AddToDigest(std::uint64_t digest, const scheduler::Action& action);

/// @brief Passes the events of a trace to `handler` and each resulting action, with the time of its
/// event, to `sink`. `in` must be behind the first line, which holds the options. Stops at a
/// malformed line or when the time decreases; the error names the line.
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
