#ifndef PERSIMMONSTAIR_CATALOGUE_DOCUMENT_PARTS_HPP_
#define PERSIMMONSTAIR_CATALOGUE_DOCUMENT_PARTS_HPP_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "persimmonstair/catalogue/document.hpp"

namespace persimmonstair::catalogue {

/// @brief Checks types, ranges and names of the entries in `json`, which may be only a part of a
/// document.
std::vector<Violation> CheckEntries(const nlohmann::json& json);

/// @brief Checks that referenced entries exist and fit, that no two keys have the same digest, and
/// that the instances' reserved shares do not exceed kReservedSharePoolPpm in sum.
std::vector<Violation> CheckReferences(const Document& document);

/// @brief Adds the entries of `json` to a document, replacing entries of the same name. `json` must
/// have passed CheckEntries().
void PutEntries(const nlohmann::json& json, Document& document);

/// @brief Removes an entry from a document. `section` is a member name of the JSON document, for
/// example "workspaces"; an unknown section or entry changes nothing.
void RemoveEntry(const std::string& section, const std::string& name, Document& document);

}  // namespace persimmonstair::catalogue

#endif  // PERSIMMONSTAIR_CATALOGUE_DOCUMENT_PARTS_HPP_
