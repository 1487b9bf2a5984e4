#ifndef PERSIMMONSTAIR_CATALOGUE_CATALOGUE_HPP_
#define PERSIMMONSTAIR_CATALOGUE_CATALOGUE_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/catalogue/document.hpp"
#include "persimmonstair/schema/records.hpp"

namespace persimmonstair::catalogue {

/// @brief Audit record of one applied change of the catalogue.
struct AuditEntry {
  std::uint64_t version = 0;
  std::uint64_t previous_version = 0;
  /// Id of the operator's key.
  std::string author;
  std::string reason;
  /// Author's wall clock time, Unix milliseconds.
  std::int64_t at_ms = 0;
  /// Id of the change's log record; identifies a repeated append within the kept entries.
  base::RecordId id;
  /// One text for each edit, for example "put keys/desk-1" or "remove keys/desk-1".
  std::vector<std::string> edits;
};

/// @brief The catalogue: configuration of the fleet, derived from the `catalogue` stream.
///
/// The version is the offset of the last valid change plus 1; version 0 is the empty catalogue.
/// Applying records in offset order gives the same state in every process. A change is valid only
/// if the base version of each edit is the entry's current version and the result passes Check().
///
///     Catalogue catalogue;
///     if (auto done = catalogue.Apply(offset, change); !done) Report(done.error());
class Catalogue {
 public:
  /// Applies the change at this offset. Returns kConflict for an offset that is already covered by
  /// the state or for a stale base version, and kInvalidRequest for a violation or a repeated
  /// record id. The state is unchanged on error.
  base::Result<void> Apply(base::Offset offset, const schema::CatalogueChange& change);

  /// Replaces the state by a snapshot of a higher version; a lower or equal version changes
  /// nothing.
  base::Result<void> Restore(std::uint64_t version, std::string_view snapshot);

  /// Checks a change against the current version without applying it.
  base::Result<void> Validate(const schema::CatalogueChange& change) const;

  /// JSON text for Restore() with the entries, their versions, the audit entries and the denied
  /// keys.
  std::string Snapshot() const;

  std::uint64_t version() const { return version_; }
  const Document& document() const { return document_; }
  /// JSON text of all entries with their versions.
  std::string ToJson() const;
  /// The last changes, newest last; at most 200 entries.
  const std::vector<AuditEntry>& audit() const { return audit_; }

  /// @brief Returns the key with this digest, or null for unknown and denied keys. Digests are
  /// compared in constant time.
  const Key* FindKey(const std::array<std::uint8_t, 32>& sha256) const;

  /// @brief Denies a key immediately, before the change that removes it is read from the log. Only
  /// a later change that puts the key again ends the denial.
  void DenyKey(const base::KeyId& key);
  bool IsDenied(const base::KeyId& key) const { return denied_.contains(key); }

 private:
  using EntryKey = std::pair<std::string, std::string>;
  struct Entry {
    std::uint64_t version = 0;
    /// JSON text.
    std::string value;
  };

  /// Returns the document after the change, or the reason why the change is not valid.
  base::Result<Document> ApplyEdits(const schema::CatalogueChange& change) const;
  bool WasApplied(const base::RecordId& id) const;
  /// Adds an audit entry, and ends the denial of keys that the change puts.
  void RecordChange(const schema::CatalogueChange& change, std::uint64_t version);

  std::uint64_t version_ = 0;
  std::map<EntryKey, Entry> entries_;
  Document document_;
  std::vector<AuditEntry> audit_;
  std::set<base::KeyId> denied_;
};

}  // namespace persimmonstair::catalogue

#endif  // PERSIMMONSTAIR_CATALOGUE_CATALOGUE_HPP_
