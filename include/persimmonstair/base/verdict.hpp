#ifndef PERSIMMONSTAIR_BASE_VERDICT_HPP_
#define PERSIMMONSTAIR_BASE_VERDICT_HPP_

#include <optional>
#include <string_view>

namespace persimmonstair::base {

/// @brief Whether a request may have had an effect on a target. The verdict of a request never
/// changes from a later value to an earlier one.
enum class Verdict { kNotRun, kMayHaveRun, kRan };

/// @brief Name in answers and records: "not_run", "may_have_run" or "ran".
std::string_view ToString(Verdict verdict);

/// @brief Parses a name returned by ToString(); returns nothing for any other text.
std::optional<Verdict> ParseVerdict(std::string_view text);

/// @brief Returns the verdict of a request with two parts, which is the later of their verdicts.
///
///     Combine(Verdict::kNotRun, Verdict::kMayHaveRun) == Verdict::kMayHaveRun
constexpr Verdict Combine(Verdict a, Verdict b) { return a < b ? b : a; }

}  // namespace persimmonstair::base

#endif  // PERSIMMONSTAIR_BASE_VERDICT_HPP_
