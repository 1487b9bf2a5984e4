#ifndef PERSIMMONSTAIR_DAEMON_SETTINGS_LOAD_HPP_
#define PERSIMMONSTAIR_DAEMON_SETTINGS_LOAD_HPP_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/schema/settings.hpp"

namespace persimmonstair::daemon {

/// @brief Result of reading the command line, the environment and the settings file.
struct CommandLine {
  schema::Settings settings;
  /// --check: exit after the settings were validated.
  bool check = false;
  /// --print-effective: print the merged settings and exit.
  bool print_effective = false;
  /// Help text to print before exiting; empty unless --help was given.
  std::string help;
};

/// @brief Merges and validates the settings. Flags override environment variables, which override
/// the settings file. The error message has one line per violation: path, value and rule.
///
///     auto command = ReadCommandLine({"--config", "entry-1.json", "--caller.port", "0"});
base::Result<CommandLine> ReadCommandLine(std::vector<std::string> arguments);

/// @brief Validates JSON against the settings schema and the rules that the schema cannot express.
/// Members that are missing in `json` get the defaults of schema::Settings.
base::Result<schema::Settings> ParseSettings(const nlohmann::json& json);

/// @brief Returns the key that authenticates messages between instances. The environment variable
/// PERSIMMONSTAIR_FLEET_KEY overrides `fleet_key_file`. The result may be empty if there are no
/// peers.
base::Result<std::string> ReadFleetKey(const schema::Settings& settings);

/// @brief Returns the JSON Schema of the settings.
std::string_view SettingsSchemaText();

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_SETTINGS_LOAD_HPP_
