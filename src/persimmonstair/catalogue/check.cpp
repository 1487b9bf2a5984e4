#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

#include "document_parts.hpp"
#include "persimmonstair/catalogue/document.hpp"

namespace persimmonstair::catalogue {
namespace {

using Json = nlohmann::json;

// Limit of a value in a message; an invalid document may contain very long strings.
constexpr std::size_t kMaxValueBytes = 80;
/// Characters allowed in entry names.
constexpr std::string_view kNameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789._-";

std::string Abbreviated(const Json& value) {
  std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxValueBytes) text = text.substr(0, kMaxValueBytes) + "...";
  return text;
}

const valijson::Schema& ParsedSchema() {
  static const valijson::Schema* const parsed = [] {
    auto* schema = new valijson::Schema;
    const Json json = Json::parse(SchemaText());
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(json), *schema);
    return schema;
  }();
  return *parsed;
}

// Converts valijson's path, which consists of "<root>", "[a]", "[b]", to a JSON pointer.
Json::json_pointer ToPointer(const std::vector<std::string>& context) {
  Json::json_pointer pointer;
  for (std::size_t n = 1; n < context.size(); ++n) {
    const std::string& part = context[n];
    pointer /= part.size() > 2 && part.front() == '[' ? part.substr(1, part.size() - 2) : part;
  }
  return pointer;
}

std::string ValueAt(const Json& json, const Json::json_pointer& pointer) {
  try {
    return Abbreviated(json.at(pointer));
  } catch (const Json::exception&) {
    return "";
  }
}

std::vector<Violation> CheckSchema(const Json& json) {
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(json);
  std::vector<Violation> out;
  if (validator.validate(ParsedSchema(), adapter, &results)) return out;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    const auto pointer = ToPointer(error.context);
    // valijson reports the error of a member again for each enclosing object, without details.
    if (error.description.starts_with("Failed to validate against schema associated") ||
        error.description.starts_with("Failed to validate against child schema")) {
      continue;
    }
    out.push_back({pointer.to_string(), ValueAt(json, pointer), error.description});
  }
  if (out.empty()) out.push_back({"", "", "document does not match the schema"});
  return out;
}

// Checks that referenced entries exist, and checks sums over all entries of a section.
class ReferenceCheck {
 public:
  explicit ReferenceCheck(const Document& document) : document_(document) {}

  std::vector<Violation> Run() {
    CheckKeys();
    for (const auto& [id, target] : document_.targets) CheckTarget(target);
    CheckReservedShares();
    return std::move(violations_);
  }

 private:
  void AddViolation(std::string path, const Json& value, std::string rule) {
    violations_.push_back({std::move(path), Abbreviated(value), std::move(rule)});
  }

  void CheckKeys() {
    std::map<std::array<std::uint8_t, 32>, std::string> digests;
    for (const auto& [id, key] : document_.keys) {
      const std::string path = "/keys/" + id.value;
      const bool is_operator = key.role == KeyRole::kOperator;
      if (is_operator && !key.workspace.empty()) {
        AddViolation(path + "/workspace", key.workspace, "an operator's key has no workspace");
      } else if (!is_operator && !document_.workspaces.contains(key.workspace)) {
        AddViolation(path + "/workspace", key.workspace, "must name an entry of /workspaces");
      }
      const auto [it, added] = digests.emplace(key.sha256, id.value);
      if (!added) AddViolation(path + "/sha256", nullptr, "equals the digest of key " + it->second);
    }
  }

  template <class Ids, class Section>
  void CheckList(const std::string& path, const Ids& ids, const Section& section,
                 const char* section_name) {
    for (std::size_t n = 0; n < ids.size(); ++n) {
      if (section.contains(ids[n])) continue;
      AddViolation(path + "/" + std::to_string(n), ids[n],
                   std::string("must name an entry of /") + section_name);
    }
  }

  void CheckTarget(const Target& target) {
    const std::string path = "/targets/" + target.id.value;
    CheckList(path + "/models", target.models, document_.models, "models");
    CheckList(path + "/routes", target.routes, document_.routes, "routes");
    const bool engine = target.kind == TargetKind::kEngine;
    if (engine && !target.routes.empty()) {
      AddViolation(path + "/routes", target.routes, "an engine serves models, not routes");
    }
    if (!engine && !target.models.empty()) {
      AddViolation(path + "/models", target.models, "a service serves routes, not models");
    }
  }

  void CheckReservedShares() {
    std::uint64_t sum = 0;
    for (const auto& [id, instance] : document_.instances) sum += instance.floor_ppm;
    if (sum > kReservedSharePoolPpm) {
      AddViolation("/instances", sum,
                   "the sum of floor_ppm must not exceed " + std::to_string(kReservedSharePoolPpm));
    }
  }

  const Document& document_;
  std::vector<Violation> violations_;
};

void CheckNames(const Json& json, std::vector<Violation>& out) {
  for (const auto& [section, entries] : json.items()) {
    for (const auto& [name, entry] : entries.items()) {
      if (name.empty() || name.size() > 64 ||
          name.find_first_not_of(kNameCharacters) != std::string::npos || name.front() == '.' ||
          name.front() == '-' || name.front() == '_') {
        std::string path = "/";
        path.append(section).append("/").append(name);
        out.push_back(
            {std::move(path), Abbreviated(name), "entry names match ^[a-z0-9][a-z0-9._-]{0,63}$"});
      }
    }
  }
}

}  // namespace

std::vector<Violation> CheckEntries(const Json& json) {
  std::vector<Violation> out = CheckSchema(json);
  // CheckNames() requires that all sections are objects, which CheckSchema() has verified.
  if (out.empty()) CheckNames(json, out);
  return out;
}

std::vector<Violation> CheckReferences(const Document& document) {
  return ReferenceCheck(document).Run();
}

std::vector<Violation> Check(std::string_view json_text) {
  const Json json = Json::parse(json_text, nullptr, false);
  if (json.is_discarded()) return {{"", "", "not valid JSON"}};
  std::vector<Violation> out = CheckEntries(json);
  // PutEntries() requires entries with the right types.
  if (!out.empty()) return out;
  Document document;
  PutEntries(json, document);
  return CheckReferences(document);
}

std::string FormatViolations(const std::vector<Violation>& violations) {
  std::string out;
  for (const Violation& violation : violations) {
    if (!out.empty()) out += "\n";
    out += (violation.path.empty() ? "/" : violation.path) + ": " + violation.rule;
    if (!violation.value.empty()) out += " (value: " + violation.value + ")";
  }
  return out;
}

}  // namespace persimmonstair::catalogue
