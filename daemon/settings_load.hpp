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
struct LoadedSettings {
  /// The merged settings; all defaults if --help was given.
  schema::Settings settings;
  /// --check: exit after the settings were validated.
  bool check = false;
  /// --print-effective: print the merged settings and exit.
  bool print_effective = false;
  /// Help text to print before exiting; empty unless --help was given.
  std::string help;
};

/// @brief Merges and validates the settings. Flags override environment variables, which override
/// the settings file. Fails with kInvalidRequest if a flag is unknown, the file cannot be read or a
/// setting is invalid. For invalid settings, the message has one line per violation: path, value
/// and rule.
///
///     auto command = LoadSettings({"--config", "entry-1.json", "--caller.port", "0"});
base::Result<LoadedSettings> LoadSettings(std::vector<std::string> arguments);

/// @brief Validates JSON against the settings schema and the rules that the schema cannot express.
/// Members that are missing in `json` get the defaults of schema::Settings. Fails with
/// kInvalidRequest; the message lists the violations.
base::Result<schema::Settings> ParseSettings(const nlohmann::json& json);

/// @brief Returns the key that authenticates messages between instances. The environment variable
/// PERSIMMONSTAIR_FLEET_KEY overrides `fleet_key_file`. Fails with kInvalidRequest if the file
/// cannot be read or the key has less than 32 characters. Without peers, an empty key is allowed.
base::Result<std::string> ReadFleetKey(const schema::Settings& settings);

/// @brief Returns the JSON Schema of the settings.
std::string_view SettingsSchemaText();

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_SETTINGS_LOAD_HPP_
