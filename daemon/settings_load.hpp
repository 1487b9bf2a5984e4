#ifndef PERSIMMONSTAIR_DAEMON_SETTINGS_LOAD_HPP_
#define PERSIMMONSTAIR_DAEMON_SETTINGS_LOAD_HPP_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/schema/settings.hpp"

namespace persimmonstair::daemon {

/// @brief What the command line asks for.
struct CommandLine {
  schema::Settings settings;
  bool check = false;
  bool print_effective = false;
  /// Not empty: print this and exit, for example for --help.
  std::string help;
};

/// @brief Merges flags over the environment over the file, and checks the result. The error has one
/// line for each violation: path, value and rule.
///
///     auto line = ReadCommandLine({"--config", "entry-1.json", "--caller.port", "0"});
base::Result<CommandLine> ReadCommandLine(std::vector<std::string> arguments);

/// @brief Checks settings given as JSON, without defaults.
base::Result<schema::Settings> ParseSettings(const nlohmann::json& json);

/// @brief The fleet key from the environment or the file. Without peers none is needed, and the
/// result may be empty.
base::Result<std::string> ReadFleetKey(const schema::Settings& settings);

/// @brief JSON Schema of the settings.
std::string_view SettingsSchemaText();

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_SETTINGS_LOAD_HPP_
