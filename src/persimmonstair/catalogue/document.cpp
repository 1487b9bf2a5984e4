#include "persimmonstair/catalogue/document.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "document_parts.hpp"

namespace persimmonstair::catalogue {
namespace {

using Json = nlohmann::json;

// Defaults of omitted fields.
constexpr std::int64_t kDefaultBudgetTokens = 2'000'000;
constexpr std::uint32_t kDefaultMaxPrograms = 10'000;
constexpr std::int64_t kDefaultContextTokens = 131'072;
constexpr std::int64_t kDefaultMaxTokens = 1'024;
constexpr std::int64_t kDefaultTimeoutMs = 30'000;

Ownership ReadOwnership(const Json& json) {
  return {json.value("owner", ""), json.value("class", "")};
}

template <class Id>
std::vector<Id> ReadIds(const Json& json, const char* field) {
  std::vector<Id> out;
  if (const auto it = json.find(field); it != json.end()) {
    for (const Json& item : *it) out.push_back(Id{item.get<std::string>()});
  }
  return out;
}

std::uint8_t HexDigit(char c) {
  return static_cast<std::uint8_t>(c <= '9' ? c - '0' : c - 'a' + 10);
}

std::array<std::uint8_t, 32> ReadDigest(const std::string& hex) {
  std::array<std::uint8_t, 32> out{};
  for (std::size_t n = 0; n < out.size() && 2 * n + 1 < hex.size(); ++n) {
    out[n] = static_cast<std::uint8_t>(HexDigit(hex[2 * n]) << 4U | HexDigit(hex[2 * n + 1]));
  }
  return out;
}

Workspace ReadWorkspace(const std::string& name, const Json& json) {
  return {.id = {name},
          .ownership = ReadOwnership(json),
          .rate_per_s = json.value("rate_per_s", 0.0),
          .burst = json.value("burst", 0.0),
          .weight = json.value("weight", 1.0),
          .program_budget_tokens = json.value("program_budget_tokens", kDefaultBudgetTokens),
          .max_programs = json.value("max_programs", kDefaultMaxPrograms)};
}

Key ReadKey(const std::string& name, const Json& json) {
  return {
      .id = {name},
      .ownership = ReadOwnership(json),
      .workspace = {json.value("workspace", "")},
      .role = json.value("role", "caller") == "operator" ? KeyRole::kOperator : KeyRole::kCaller,
      .sha256 = ReadDigest(json.value("sha256", ""))};
}

Model ReadModel(const std::string& name, const Json& json) {
  return {.id = {name},
          .ownership = ReadOwnership(json),
          .context_tokens = json.value("context_tokens", kDefaultContextTokens),
          .default_max_tokens = json.value("default_max_tokens", kDefaultMaxTokens)};
}

Target ReadTarget(const std::string& name, const Json& json) {
  const Target defaults;
  return {.id = {name},
          .ownership = ReadOwnership(json),
          .kind = json.value("kind", "") == "engine" ? TargetKind::kEngine : TargetKind::kService,
          .data_centre = {json.value("data_centre", "")},
          .address = json.value("address", ""),
          .port = json.value("port", 0U),
          .credential = json.value("credential", ""),
          .checks_fencing = json.value("checks_fencing", false),
          .state = json.value("state", "active") == "leaving" ? TargetState::kLeaving
                                                              : TargetState::kActive,
          .slots = json.value("slots", 8U),
          .models = ReadIds<base::ModelId>(json, "models"),
          .routes = ReadIds<base::RouteId>(json, "routes"),
          .prefill_tokens_per_s = json.value("prefill_tokens_per_s", defaults.prefill_tokens_per_s),
          .decode_tokens_per_s = json.value("decode_tokens_per_s", defaults.decode_tokens_per_s)};
}

Route ReadRoute(const std::string& name, const Json& json) {
  return {.id = {name},
          .ownership = ReadOwnership(json),
          .open = json.value("open", false),
          .idempotent = json.value("idempotent", true),
          .timeout = std::chrono::milliseconds(json.value("timeout_ms", kDefaultTimeoutMs)),
          .method = json.value("method", "POST"),
          .path = json.value("path", "/")};
}

Instance ReadInstance(const std::string& name, const Json& json) {
  return {.id = {name},
          .ownership = ReadOwnership(json),
          .data_centre = {json.value("data_centre", "")},
          .floor_ppm = json.value("floor_ppm", 0U)};
}

template <class Map, class Read>
void ReadSection(const Json& document, const char* name, Map& out, Read read) {
  const auto section = document.find(name);
  if (section == document.end()) return;
  for (const auto& [key, value] : section->items()) {
    out.insert_or_assign(typename Map::key_type{key}, read(key, value));
  }
}

}  // namespace

void PutEntries(const Json& json, Document& document) {
  ReadSection(json, "workspaces", document.workspaces, ReadWorkspace);
  ReadSection(json, "keys", document.keys, ReadKey);
  ReadSection(json, "models", document.models, ReadModel);
  ReadSection(json, "targets", document.targets, ReadTarget);
  ReadSection(json, "routes", document.routes, ReadRoute);
  ReadSection(json, "instances", document.instances, ReadInstance);
}

void RemoveEntry(const std::string& section, const std::string& name, Document& document) {
  if (section == "workspaces") document.workspaces.erase({name});
  if (section == "keys") document.keys.erase({name});
  if (section == "models") document.models.erase({name});
  if (section == "targets") document.targets.erase({name});
  if (section == "routes") document.routes.erase({name});
  if (section == "instances") document.instances.erase({name});
}

base::Result<Document> ParseDocument(std::string_view json_text) {
  if (const auto violations = Check(json_text); !violations.empty()) {
    return base::Fail(base::ErrorCode::kInvalidRequest, FormatViolations(violations));
  }
  Document out;
  PutEntries(Json::parse(json_text), out);
  return out;
}

}  // namespace persimmonstair::catalogue
