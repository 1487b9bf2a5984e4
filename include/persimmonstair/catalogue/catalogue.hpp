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

/// @brief Who changed what, when and from which version.
struct AuditEntry {
  std::uint64_t version = 0;
  std::uint64_t previous_version = 0;
  std::string author;
  std::string reason;
  std::int64_t at_ms = 0;
  /// Id of the change's log record; identifies a repeated append within the kept entries.
  base::RecordId id;
  /// "put keys/desk-1" or "remove keys/desk-1".
  std::vector<std::string> edits;
};

/// @brief The configuration as a pure function of the `catalogue` stream's prefix.
///
/// Version = offset + 1 of the last valid change, so 0 means empty. Applying records in offset
/// order gives the same state in every process; a record is valid only if each edit's base version
/// is the entry's current one and the result passes Check().
///
///     Catalogue catalogue;
///     if (auto done = catalogue.Apply(offset, change); !done) Report(done.error());
class Catalogue {
 public:
  /// Returns kConflict for a stale base version, kInvalidRequest for a violation or a repeated
  /// record id. State is unchanged on error.
  base::Result<void> Apply(base::Offset offset, const schema::CatalogueChange& change);

  /// Takes over a snapshot of a higher version; a lower or equal one changes nothing.
  base::Result<void> Restore(std::uint64_t version, std::string_view snapshot);

  /// Checks a change against the current version without applying it.
  base::Result<void> Validate(const schema::CatalogueChange& change) const;

  /// JSON text for Restore(): document, entry versions, audit tail.
  std::string Snapshot() const;

  std::uint64_t version() const { return version_; }
  const Document& document() const { return document_; }
  /// JSON text of the document with each entry's version beside it.
  std::string ToJson() const;
  /// Newest last; at most 200 entries.
  const std::vector<AuditEntry>& audit() const { return audit_; }

  /// @brief The key with this digest, compared in constant time; null for unknown or withdrawn
  /// keys.
  const Key* FindKey(const std::array<std::uint8_t, 32>& sha256) const;

  /// @brief Denies a key at once, before the log says so. Never undone except by a later change
  /// that puts the key again.
  void DenyKey(const base::KeyId& key);
  bool IsDenied(const base::KeyId& key) const { return denied_.contains(key); }

 private:
  using EntryKey = std::pair<std::string, std::string>;
  struct Entry {
    std::uint64_t version = 0;
    std::string value;
  };

  base::Result<Document> ApplyEdits(const schema::CatalogueChange& change) const;
  bool WasApplied(const base::RecordId& id) const;
  void RecordChange(const schema::CatalogueChange& change, std::uint64_t version);

  std::uint64_t version_ = 0;
  std::map<EntryKey, Entry> entries_;
  Document document_;
  std::vector<AuditEntry> audit_;
  std::set<base::KeyId> denied_;
};

}  // namespace persimmonstair::catalogue

#endif  // PERSIMMONSTAIR_CATALOGUE_CATALOGUE_HPP_
