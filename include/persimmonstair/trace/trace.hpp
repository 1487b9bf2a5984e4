#ifndef PERSIMMONSTAIR_TRACE_TRACE_HPP_
#define PERSIMMONSTAIR_TRACE_TRACE_HPP_

#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/scheduler/actions.hpp"
#include "persimmonstair/scheduler/events.hpp"
#include "persimmonstair/scheduler/scheduler.hpp"

namespace persimmonstair::trace {

/// @brief One recorded call of scheduler::Scheduler::Handle().
struct Step {
  base::Now now;
  scheduler::Event event;
};

/// @brief Returns the first line of a trace, without line end: the options of the recorded
/// scheduler.
std::string FormatOptions(const scheduler::Options& options);

/// @brief Parses a line written by FormatOptions(). Missing options keep their defaults. Fails with
/// kInvalidRequest if the line is malformed.
base::Result<scheduler::Options> ParseOptions(std::string_view line);

/// @brief Returns one line of a trace, without line end:
/// {"at_us": 1, "wall_us": 1, "event": "Tick", "value": {...}}. `at_us` is the monotonic and
/// `wall_us` the wall-clock time, both in microseconds.
///
///     trace_file << FormatStep({now, event}) << '\n';
std::string FormatStep(const Step& step);

/// @brief Parses a line written by FormatStep(). Fails with kInvalidRequest if the line is
/// malformed or the event type is unknown.
base::Result<Step> ParseStep(std::string_view line);

/// @brief Returns the type name of an event or action, for example "LogRead".
std::string_view NameOf(const scheduler::Event& event);
std::string_view NameOf(const scheduler::Action& action);

/// @brief Returns an action as one line of JSON, without line end. Equal actions give equal lines.
std::string FormatAction(const scheduler::Action& action);

}  // namespace persimmonstair::trace

#endif  // PERSIMMONSTAIR_TRACE_TRACE_HPP_
