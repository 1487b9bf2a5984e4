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

/// @brief The parsed entries of the catalogue at one version.
struct Document {
  std::map<base::WorkspaceId, Workspace> workspaces;
  std::map<base::KeyId, Key> keys;
  std::map<base::ModelId, Model> models;
  std::map<base::TargetId, Target> targets;
  std::map<base::RouteId, Route> routes;
  std::map<base::InstanceId, Instance> instances;
};

/// @brief A rule that a document violates, with the place of the violation.
struct Violation {
  /// JSON pointer, for example "/keys/desk-1/workspace".
  std::string path;
  /// JSON text of the value at `path`, possibly shortened.
  std::string value;
  /// Text of the rule, for example "must name an entry of /workspaces".
  std::string rule;
};

/// @brief Checks a JSON document against the schema and the references between entries. The result
/// is empty if the document is valid. References are checked only once the entries are valid.
///
///     {"workspaces": {"north": {"owner": "...", "class": "...", "rate_per_s": 5, "burst": 10}}}
std::vector<Violation> Check(std::string_view json_text);

/// @brief Checks and parses a document. Fails with kInvalidRequest; the message is that of
/// FormatViolations().
base::Result<Document> ParseDocument(std::string_view json_text);

/// @brief The JSON Schema that documents follow.
std::string_view SchemaText();

/// @brief Returns one line for each violation, with path, rule and value.
std::string FormatViolations(const std::vector<Violation>& violations);

}  // namespace persimmonstair::catalogue

#endif  // PERSIMMONSTAIR_CATALOGUE_DOCUMENT_HPP_
