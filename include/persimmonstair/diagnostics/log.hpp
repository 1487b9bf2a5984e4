#ifndef PERSIMMONSTAIR_DIAGNOSTICS_LOG_HPP_
#define PERSIMMONSTAIR_DIAGNOSTICS_LOG_HPP_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstair::diagnostics {

/// @brief Sets the level and the secrets that no line may contain; lines go to standard error.
void StartLog(const std::string& level, const std::string& instance,
              std::vector<std::string> secrets);

/// @brief The same, into a stream; for tests.
void StartLog(const std::string& level, const std::string& instance,
              std::vector<std::string> secrets, std::ostream& out);

/// @brief Writes lines to standard output from a thread of its own. A full queue drops its oldest
/// line, so that a caller never waits.
void StartBackgroundLog(const std::string& level, const std::string& instance,
                        std::vector<std::string> secrets);

/// Lines dropped by the background log since its start.
std::size_t DroppedLines();

/// @brief Writes what waits and ends the background log; later lines are lost.
void StopLog();

enum class Level { kDebug, kInfo, kWarning, kError };

/// @brief Writes one JSON line: time, level, instance, event and the fields. Text that is a secret
/// is replaced. Callers pass no request bodies, headers or keys.
///
///     Log(Level::kInfo, "listening", {{"port", 8080}});
void Log(Level level, std::string_view event,
         const nlohmann::json& fields = nlohmann::json::object());

}  // namespace persimmonstair::diagnostics

#endif  // PERSIMMONSTAIR_DIAGNOSTICS_LOG_HPP_
