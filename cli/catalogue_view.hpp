#ifndef PERSIMMONSTAIR_CLI_CATALOGUE_VIEW_HPP_
#define PERSIMMONSTAIR_CLI_CATALOGUE_VIEW_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cli/context.hpp"

namespace persimmonstair::cli {

/// Section and name.
using EntryName = std::pair<std::string, std::string>;

/// @brief The catalogue as the entry instance reports it.
struct CatalogueView {
  struct Entry {
    std::uint64_t version = 0;
    Json value;
  };

  std::uint64_t version = 0;
  std::map<EntryName, Entry> entries;
};

/// @brief Reads the answer of GET /v1/catalogue.
Outcome<CatalogueView> ParseCatalogue(const Json& json);

/// @brief GET /v1/catalogue.
Outcome<CatalogueView> FetchCatalogue(const Context& context);

/// @brief One difference between a file and the catalogue.
struct Edit {
  EntryName name;
  std::uint64_t base_version = 0;
  bool remove = false;
  /// Null for a removal.
  Json value;
  /// Null for a new entry.
  Json old_value;
};

/// @brief Edits that give the entries of `document` their values there. Entries that are only in
/// the catalogue stay, or are removed with `prune`.
std::vector<Edit> ComputeEdits(const CatalogueView& current, const Json& document, bool prune);

/// @brief One line for each edit: "+" new, "~" changed, "-" removed, with old and new members.
std::string FormatEdits(const std::vector<Edit>& edits);
Json ToJson(const std::vector<Edit>& edits);

/// @brief Sends a change. Returns the new version.
Outcome<std::uint64_t> SendChange(const Context& context, const std::vector<Edit>& edits,
                                  const std::string& reason);

/// @brief How long to wait until a version is in effect.
struct WaitOptions {
  bool wait = false;
  std::uint32_t timeout_ms = 18'000;
};

/// @brief Waits until every live instance reports `version`. Fails with kUnknown when the time is
/// up, also if a live instance has no --admin address; the failure names the instances.
Outcome<void> WaitForVersion(const Context& context, std::uint64_t version,
                             const WaitOptions& options);

}  // namespace persimmonstair::cli

#endif  // PERSIMMONSTAIR_CLI_CATALOGUE_VIEW_HPP_
