#ifndef PERSIMMONSTAIR_DIAGNOSTICS_LOG_HPP_
#define PERSIMMONSTAIR_DIAGNOSTICS_LOG_HPP_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstair::diagnostics {

/// @brief Starts the log, which writes to standard error. `level` is the lowest level that is
/// written: "debug", "info", "warn" or "err"; an unknown text turns the log off. `instance` is
/// added to each line. `secrets` are texts that no line may contain; Log() replaces them.
void StartLog(const std::string& level, const std::string& instance,
              std::vector<std::string> secrets);

/// @brief Starts a log that writes to a stream; for tests.
void StartLog(const std::string& level, const std::string& instance,
              std::vector<std::string> secrets, std::ostream& out);

/// @brief Starts a log that writes to standard output from a separate thread. A full queue drops
/// its oldest line, so that callers of Log() never wait for the output.
void StartBackgroundLog(const std::string& level, const std::string& instance,
                        std::vector<std::string> secrets);

/// Number of lines that the background log has dropped since its start; 0 for the other logs.
std::size_t DroppedLines();

/// @brief Writes the queued lines and stops the background log; later lines are lost.
void StopLog();

enum class Level { kDebug, kInfo, kWarning, kError };

/// @brief Writes one JSON line with time, level, instance, event and the fields, unless `level` is
/// lower than that of the log. Occurrences of a secret are replaced by "***". Callers must not pass
/// request bodies, headers or keys.
///
///     Log(Level::kInfo, "listening", {{"port", 8080}});
void Log(Level level, std::string_view event,
         const nlohmann::json& fields = nlohmann::json::object());

}  // namespace persimmonstair::diagnostics

#endif  // PERSIMMONSTAIR_DIAGNOSTICS_LOG_HPP_
