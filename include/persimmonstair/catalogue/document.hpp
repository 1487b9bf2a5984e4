#ifndef PERSIMMONSTAIR_CATALOGUE_DOCUMENT_HPP_
#define PERSIMMONSTAIR_CATALOGUE_DOCUMENT_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/catalogue/entries.hpp"

namespace persimmonstair::catalogue {

/// @brief The parsed configuration at one version.
struct Document {
  std::map<base::WorkspaceId, Workspace> workspaces;
  std::map<base::KeyId, Key> keys;
  std::map<base::ModelId, Model> models;
  std::map<base::TargetId, Target> targets;
  std::map<base::RouteId, Route> routes;
  std::map<base::InstanceId, Instance> instances;
};

/// @brief A rule that a document breaks.
struct Violation {
  /// JSON pointer, for example "/keys/desk-1/workspace".
  std::string path;
  std::string value;
  std::string rule;
};

/// @brief Checks a JSON document against the schema and the references between entries.
///
///     {"workspaces": {"north": {"owner": "...", "class": "...", "rate_per_s": 5, "burst": 10}}}
std::vector<Violation> Check(std::string_view json_text);

/// @brief Reads a document; the error names path, value and rule of each violation.
base::Result<Document> ParseDocument(std::string_view json_text);

/// @brief The JSON Schema that documents follow.
std::string_view SchemaText();

/// @brief One line for each violation: path, value, rule.
std::string FormatViolations(const std::vector<Violation>& violations);

}  // namespace persimmonstair::catalogue

#endif  // PERSIMMONSTAIR_CATALOGUE_DOCUMENT_HPP_
