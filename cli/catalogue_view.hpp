#ifndef PERSIMMONSTAIR_CLI_CATALOGUE_VIEW_HPP_
#define PERSIMMONSTAIR_CLI_CATALOGUE_VIEW_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cli/context.hpp"

namespace persimmonstair::cli {

/// @brief Section and name of a catalogue entry.
using EntryName = std::pair<std::string, std::string>;

/// @brief Copy of the catalogue as an entry instance returned it.
struct CatalogueView {
  struct Entry {
    /// Catalogue version of the entry's last change.
    std::uint64_t version = 0;
    Json value;
  };

  std::uint64_t version = 0;
  std::map<EntryName, Entry> entries;
};

/// @brief Parses the response of GET /v1/catalogue. kUnknown if a member is missing or malformed.
Outcome<CatalogueView> ParseCatalogue(const Json& json);

/// @brief Reads the catalogue from the entry instance.
Outcome<CatalogueView> FetchCatalogue(const Context& context);

/// @brief One entry of the catalogue to add, change or remove.
struct Edit {
  EntryName name;
  /// Version of the entry that the edit replaces; 0 for a new entry. The change is refused if the
  /// entry has another version by then.
  std::uint64_t base_version = 0;
  bool remove = false;
  /// Null for a removal.
  Json value;
  /// Null for a new entry.
  Json old_value;
};

/// @brief Returns the edits that give the catalogue the entries of `document`. Entries that are not
/// in `document` stay, or are removed with `prune`.
std::vector<Edit> ComputeEdits(const CatalogueView& current, const Json& document, bool prune);

/// @brief One line per edit: "+" new, "~" changed, "-" removed. Lines with the old and new values
/// of the changed members follow.
std::string FormatEdits(const std::vector<Edit>& edits);

/// @brief Edits in the format of POST /v1/catalogue/changes.
Json ToJson(const std::vector<Edit>& edits);

/// @brief Sends all edits as one change. Returns the new version of the catalogue.
Outcome<std::uint64_t> SendChange(const Context& context, const std::vector<Edit>& edits,
                                  const std::string& reason);

/// @brief Whether and how long to wait until a version is in effect on all live instances.
struct WaitOptions {
  bool wait = false;
  std::uint32_t timeout_ms = 18'000;
};

/// @brief Polls /status at the --admin addresses until every live instance reports `version` or a
/// later one. Fails with kUnknown after the timeout, also if a live instance has no --admin
/// address; the failure names the instances that lag or lack an address, and the last address that
/// could not be reached. Returns at once without --wait.
Outcome<void> WaitForVersion(const Context& context, std::uint64_t version,
                             const WaitOptions& options);

}  // namespace persimmonstair::cli

#endif  // PERSIMMONSTAIR_CLI_CATALOGUE_VIEW_HPP_
