#include "persimmonstair/gateway/settings_load.hpp"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using base::Fail;
using Json = nlohmann::json;

std::vector<std::string> FindProblems(const schema::EntrySettings& settings) {
  std::vector<std::string> problems;
  const auto require = [&problems](bool holds, const std::string& rule) {
    if (!holds) problems.push_back(rule);
  };
  const auto endpoint = [&require](const char* name, const std::string& value) {
    require(ParseEndpoint(value).has_value(),
            std::string(name) + ": '" + value + "' is not of the form address:port");
  };
  require(!settings.instance.empty(), "instance: required");
  require(!settings.data_centre.empty(), "data_centre: required");
  endpoint("listen", settings.listen);
  endpoint("readiness_listen", settings.readiness_listen);
  endpoint("metrics_listen", settings.metrics_listen);
  endpoint("peer_listen", settings.peer_listen);
  endpoint("store", settings.store);
  require(settings.parts_of_stream >= 1 && settings.parts_of_stream <= 1024,
          "parts_of_stream: 1 to 1024");
  require(settings.store_writes_per_s >= 10 && settings.store_writes_per_s <= 1'000'000,
          "store_writes_per_s: 10 to 1000000");
  require(settings.store_record_bytes >= 65'536 && settings.store_record_bytes <= 16'777'216,
          "store_record_bytes: 65536 to 16777216");
  require(settings.store_call_bytes / 2 >= settings.store_record_bytes &&
              settings.store_call_bytes <= 268'435'456,
          "store_call_bytes: 2 * store_record_bytes to 268435456");
  require(settings.store_read_mb_per_s >= 1 && settings.store_read_mb_per_s <= 1'000'000,
          "store_read_mb_per_s: 1 to 1000000");
  require(settings.target_leave_ms >= 1000 && settings.target_leave_ms <= 600'000,
          "target_leave_ms: 1000 to 600000");
  require(settings.turn_cache_mb >= 1 && settings.turn_cache_mb <= 4096,
          "turn_cache_mb: 1 to 4096");
  require(settings.memory_mb <= 1'048'576, "memory_mb: 0 to 1048576");
  require(settings.max_fds <= 10'000'000, "max_fds: 0 to 10000000");
  require(settings.stop_ms >= 2000 && settings.stop_ms <= 600'000, "stop_ms: 2000 to 600000");
  const std::string& level = settings.log_level;
  require(level == "debug" || level == "info" || level == "warn" || level == "err",
          "log_level: debug, info, warn or err");
  return problems;
}

}  // namespace

base::Result<dispatch::Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  dispatch::Endpoint endpoint;
  if (colon != std::string_view::npos && colon > 0) {
    endpoint.address = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const auto [rest, ec] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (ec == std::errc{} && rest == port.data() + port.size()) return endpoint;
  }
  return Fail(ErrorCode::kInvalidRequest,
              "'" + std::string(text) + "' is not of the form address:port");
}

base::Result<schema::EntrySettings> ParseEntrySettings(std::string_view text,
                                                       const EntryOverrides& overrides) {
  schema::EntrySettings settings;
  try {
    const Json json = Json::parse(text);
    json.get_to(settings);
    const Json known = settings;
    for (const auto& [name, value] : json.items()) {
      if (!known.contains(name)) return Fail(ErrorCode::kInvalidRequest, name + ": unknown field");
    }
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidRequest, error.what());
  }
  settings.store_record_bytes = overrides.store_record_bytes.value_or(settings.store_record_bytes);
  settings.store_call_bytes = overrides.store_call_bytes.value_or(settings.store_call_bytes);
  std::string message;
  for (const auto& issue : FindProblems(settings)) message += (message.empty() ? "" : "; ") + issue;
  if (!message.empty()) return Fail(ErrorCode::kInvalidRequest, message);
  return settings;
}

base::Result<schema::EntrySettings> LoadEntrySettings(const std::string& path,
                                                      const EntryOverrides& overrides) {
  std::ifstream in(path);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    return Fail(ErrorCode::kInvalidRequest, "can't read settings file " + path);
  }
  auto settings = ParseEntrySettings(text.str(), overrides);
  if (!settings) return Fail(ErrorCode::kInvalidRequest, path + ": " + settings.error().message);
  return settings;
}

GatewaySettings ToGatewaySettings(const schema::EntrySettings& settings) {
  GatewaySettings out;
  out.instance = settings.instance;
  out.data_centre = settings.data_centre;
  out.listen = *ParseEndpoint(settings.listen);
  out.readiness_listen = *ParseEndpoint(settings.readiness_listen);
  out.metrics_listen = *ParseEndpoint(settings.metrics_listen);
  out.peer_listen = *ParseEndpoint(settings.peer_listen);
  out.store = *ParseEndpoint(settings.store);
  out.parts_of_stream = settings.parts_of_stream;
  out.store_writes_per_s = settings.store_writes_per_s;
  out.store_limits = {settings.store_record_bytes, settings.store_call_bytes};
  out.target_leave_time = std::chrono::milliseconds{settings.target_leave_ms};
  out.turn_cache_bytes = std::size_t{settings.turn_cache_mb} << 20U;
  out.memory_bytes = std::size_t{settings.memory_mb} << 20U;
  out.max_fds = settings.max_fds;
  out.stop_grace_period = std::chrono::milliseconds{settings.stop_ms};
  return out;
}

}  // namespace persimmonstair::gateway
