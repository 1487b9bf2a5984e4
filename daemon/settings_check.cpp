#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

#include "settings_load.hpp"

namespace persimmonstair::daemon {
namespace {

using Json = nlohmann::json;

// Longer values are truncated in error messages.
constexpr std::size_t kMaxValueBytes = 80;

// Collects violations as text, one line each: path, value and rule.
class Violations {
 public:
  void Add(const std::string& path, const std::string& value, const std::string& rule) {
    text_ += (text_.empty() ? "" : "\n") + (path.empty() ? "/" : path) +
             (value.empty() ? "" : " = " + value) + ": " + rule;
  }
  bool empty() const { return text_.empty(); }
  const std::string& Text() const { return text_; }

 private:
  std::string text_;
};

const valijson::Schema& ParsedSchema() {
  static const valijson::Schema* const schema = [] {
    auto* parsed = new valijson::Schema;
    const Json json = Json::parse(SettingsSchemaText());
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(json), *parsed);
    return parsed;
  }();
  return *schema;
}

// Converts a path of valijson, "<root>[a][b]", to the JSON pointer that error messages use.
Json::json_pointer ToPointer(const std::vector<std::string>& context) {
  Json::json_pointer pointer;
  for (std::size_t n = 1; n < context.size(); ++n) {
    const std::string& part = context[n];
    pointer /= part.size() > 2 && part.front() == '[' ? part.substr(1, part.size() - 2) : part;
  }
  return pointer;
}

// Returns the scalar value at `pointer` as JSON text; empty if it is missing, an object or a list.
std::string ValueAt(const Json& json, const Json::json_pointer& pointer) {
  if (pointer.empty() || !json.contains(pointer) || json.at(pointer).is_structured()) return "";
  std::string text = json.at(pointer).dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() > kMaxValueBytes ? text.substr(0, kMaxValueBytes) + "..." : text;
}

void CheckSchema(const Json& json, Violations& violations) {
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(json);
  if (validator.validate(ParsedSchema(), adapter, &results)) return;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    // valijson reports an error again for each enclosing object, without the details.
    if (error.description.starts_with("Failed to validate against schema associated") ||
        error.description.starts_with("Failed to validate against child schema") ||
        error.description.starts_with("Failed to validate item")) {
      continue;
    }
    const auto pointer = ToPointer(error.context);
    violations.Add(pointer.to_string(), ValueAt(json, pointer), error.description);
  }
  if (violations.empty()) violations.Add("", "", "does not match the settings schema");
}

void CheckAddress(const std::string& path, const std::string& text, Violations& violations) {
  boost::system::error_code ec;
  boost::asio::ip::make_address(text, ec);
  if (ec) violations.Add(path, '"' + text + '"', "must be an IP address");
}

void CheckPeers(const schema::Settings& settings, Violations& violations) {
  std::set<base::InstanceId> seen;
  for (std::size_t n = 0; n < settings.peers.size(); ++n) {
    const auto& peer = settings.peers[n];
    const std::string path = "/peers/" + std::to_string(n);
    CheckAddress(path + "/address", peer.address, violations);
    if (!seen.insert(peer.instance).second) {
      violations.Add(path + "/instance", '"' + peer.instance.value + '"', "must be unique");
    }
  }
}

// Checks the rules that the JSON Schema does not express.
void CheckConstraints(const schema::Settings& settings, Violations& violations) {
  CheckAddress("/bind_address", settings.bind_address, violations);
  CheckAddress("/caller/address", settings.caller.address, violations);
  CheckPeers(settings, violations);
  if (settings.tls.certificate_file.empty() != settings.tls.key_file.empty()) {
    violations.Add("/tls", "", "must have both certificate_file and key_file, or neither");
  }
}

}  // namespace

base::Result<schema::Settings> ParseSettings(const Json& json) {
  Violations violations;
  CheckSchema(json, violations);
  if (!violations.empty()) {
    return base::Fail(base::ErrorCode::kInvalidRequest, violations.Text());
  }
  auto settings = json.get<schema::Settings>();
  CheckConstraints(settings, violations);
  if (!violations.empty()) {
    return base::Fail(base::ErrorCode::kInvalidRequest, violations.Text());
  }
  return settings;
}

}  // namespace persimmonstair::daemon
