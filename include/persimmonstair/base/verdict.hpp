#ifndef PERSIMMONSTAIR_BASE_VERDICT_HPP_
#define PERSIMMONSTAIR_BASE_VERDICT_HPP_

#include <optional>
#include <string_view>

namespace persimmonstair::base {

/// @brief Says whether a request may have had an effect on a target. Later values never go back to
/// earlier ones for the same request.
enum class Verdict { kNotRun, kMayHaveRun, kRan };

/// @brief Wire and log name: "not_run", "may_have_run" or "ran".
std::string_view ToString(Verdict verdict);

/// @brief Reads the name written by ToString(); empty for any other text.
std::optional<Verdict> ParseVerdict(std::string_view text);

/// @brief The verdict of a request of which two parts have these verdicts.
///
///     Combine(Verdict::kNotRun, Verdict::kMayHaveRun) == Verdict::kMayHaveRun
constexpr Verdict Combine(Verdict a, Verdict b) { return a < b ? b : a; }

}  // namespace persimmonstair::base

#endif  // PERSIMMONSTAIR_BASE_VERDICT_HPP_
