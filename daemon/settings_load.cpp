#include "settings_load.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

namespace persimmonstair::daemon {
namespace {

using base::ErrorCode;
using base::Fail;
using Json = nlohmann::json;

// HMAC-SHA-256 is weaker with keys that are shorter than its output. 32 characters of hexadecimal
// or base64 text hold at least 128 bits.
constexpr std::size_t kMinFleetKeyBytes = 32;

// A command-line flag and environment variable that set one value of the settings.
struct Flag {
  Json::json_pointer path;
  Json::value_t type;
  // Text from the command line or the environment.
  std::string text;
};

// The JSON pointer /caller/port becomes the flag --caller.port.
std::string FlagName(const std::string& pointer) {
  std::string name = pointer.substr(1);
  std::replace(name.begin(), name.end(), '/', '.');
  return "--" + name;
}

// The JSON pointer /caller/port becomes PERSIMMONSTAIR_CALLER_PORT.
std::string EnvironmentName(const std::string& pointer) {
  std::string name = "PERSIMMONSTAIR" + pointer;
  for (char& c : name) c = c == '/' ? '_' : static_cast<char>(std::toupper(c));
  return name;
}

// Returns one flag for each scalar value of the settings, by JSON pointer. Lists such as /peers can
// only be set in the settings file.
std::map<std::string, Flag> AllFlags() {
  std::map<std::string, Flag> flags;
  const Json defaults = Json(schema::Settings{}).flatten();
  for (const auto& [pointer, value] : defaults.items()) {
    if (value.is_primitive() && !value.is_null()) {
      flags[pointer] = Flag{Json::json_pointer(pointer), value.type(), {}};
    }
  }
  return flags;
}

base::Result<Json> ReadFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) return Fail(ErrorCode::kInvalidRequest, "settings file '" + file + "' cannot be read");
  std::stringstream text;
  text << in.rdbuf();
  Json json;
  try {
    json = Json::parse(text.str());
  } catch (const Json::parse_error& error) {
    return Fail(ErrorCode::kInvalidRequest,
                "settings file '" + file + "' is not valid JSON: " + error.what());
  }
  if (!json.is_object()) {
    return Fail(ErrorCode::kInvalidRequest, "settings file '" + file + "' is not a JSON object");
  }
  return json;
}

base::Result<Json> ParseFlagValue(const Flag& flag) {
  if (flag.type == Json::value_t::string) return Json(flag.text);
  std::uint64_t number = 0;
  const char* end = flag.text.data() + flag.text.size();
  const auto [last, ec] = std::from_chars(flag.text.data(), end, number);
  if (ec != std::errc{} || last != end) {
    return Fail(ErrorCode::kInvalidRequest,
                flag.path.to_string() + " = \"" + flag.text + "\": must be a whole number");
  }
  return Json(number);
}

// Writes the values of the given flags into `json`. Wrong types elsewhere in the file are left for
// the schema check; only a parent of a flag's value that is not an object is an error here.
base::Result<void> ApplyFlags(const std::map<std::string, Flag>& flags, const CLI::App& app,
                              Json& json) {
  for (const auto& [pointer, flag] : flags) {
    if (app.count(FlagName(pointer)) == 0) continue;
    auto value = ParseFlagValue(flag);
    if (!value) return tl::make_unexpected(value.error());
    try {
      json[flag.path] = std::move(*value);
    } catch (const Json::exception&) {
      return Fail(ErrorCode::kInvalidRequest,
                  flag.path.parent_pointer().to_string() + ": must be an object");
    }
  }
  return {};
}

std::string TrimTrailingWhitespace(std::string text) {
  const auto end = text.find_last_not_of(" \t\r\n");
  text.erase(end == std::string::npos ? 0 : end + 1);
  return text;
}

}  // namespace

base::Result<LoadedSettings> LoadSettings(std::vector<std::string> arguments) {
  CLI::App app("Entry instance of persimmonstair", "persimmonstaird");
  LoadedSettings out;
  std::string file;
  app.add_option("--config", file, "JSON settings file")->envname("PERSIMMONSTAIR_CONFIG");
  app.add_flag("--check", out.check, "Validate the settings and exit");
  app.add_flag("--print-effective", out.print_effective, "Print the effective settings and exit");
  auto flags = AllFlags();
  for (auto& [pointer, flag] : flags) {
    app.add_option(FlagName(pointer), flag.text)->envname(EnvironmentName(pointer));
  }
  // CLI11 expects the arguments in reverse order.
  std::reverse(arguments.begin(), arguments.end());
  try {
    app.parse(std::move(arguments));
  } catch (const CLI::CallForHelp&) {
    out.help = app.help();
    return out;
  } catch (const CLI::ParseError& error) {
    return Fail(ErrorCode::kInvalidRequest, error.what());
  }
  Json json = Json::object();
  if (!file.empty()) {
    auto read = ReadFile(file);
    if (!read) return tl::make_unexpected(read.error());
    json = std::move(*read);
  }
  if (auto applied = ApplyFlags(flags, app, json); !applied) {
    return tl::make_unexpected(applied.error());
  }
  auto settings = ParseSettings(json);
  if (!settings) return tl::make_unexpected(settings.error());
  out.settings = std::move(*settings);
  return out;
}

base::Result<std::string> ReadFleetKey(const schema::Settings& settings) {
  std::string key;
  if (const char* text = std::getenv("PERSIMMONSTAIR_FLEET_KEY"); text != nullptr) {
    key = TrimTrailingWhitespace(text);
  } else if (!settings.fleet_key_file.empty()) {
    std::ifstream in(settings.fleet_key_file);
    if (!in) {
      return Fail(ErrorCode::kInvalidRequest,
                  "/fleet_key_file = \"" + settings.fleet_key_file + "\": the file cannot be read");
    }
    std::stringstream text;
    text << in.rdbuf();
    key = TrimTrailingWhitespace(text.str());
  }
  if (key.empty() && settings.peers.empty()) return key;
  if (key.size() < kMinFleetKeyBytes) {
    return Fail(ErrorCode::kInvalidRequest,
                "the fleet key (PERSIMMONSTAIR_FLEET_KEY or /fleet_key_file) must have at least " +
                    std::to_string(kMinFleetKeyBytes) + " characters");
  }
  return key;
}

}  // namespace persimmonstair::daemon
