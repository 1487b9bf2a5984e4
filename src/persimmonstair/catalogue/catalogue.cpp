#include "persimmonstair/catalogue/catalogue.hpp"

#include <openssl/crypto.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "document_parts.hpp"

namespace persimmonstair::catalogue {
namespace {

using base::ErrorCode;
using base::Fail;
using Json = nlohmann::json;

constexpr std::size_t kMaxAuditEntries = 200;

template <class Entries>
std::string DocumentText(const Entries& entries) {
  Json json = Json::object();
  for (const auto& [key, entry] : entries) {
    json[key.first][key.second] = Json::parse(entry.value);
  }
  return json.dump();
}

base::Result<void> CheckEdit(const schema::CatalogueEdit& edit, std::uint64_t current_version) {
  const std::string name = edit.section + "/" + edit.name;
  if (edit.base_version != current_version) {
    return Fail(ErrorCode::kConflict, name + " is at version " + std::to_string(current_version) +
                                          ", but the change is based on version " +
                                          std::to_string(edit.base_version));
  }
  if (!edit.remove && !Json::accept(edit.value)) {
    return Fail(ErrorCode::kInvalidRequest, name + ": value is not valid JSON");
  }
  return {};
}

}  // namespace

base::Result<Document> Catalogue::ApplyEdits(const schema::CatalogueChange& change) const {
  if (change.edits.empty()) return Fail(ErrorCode::kInvalidRequest, "the change contains no edits");
  Json puts = Json::object();
  std::set<EntryKey> named;
  for (const auto& edit : change.edits) {
    const EntryKey key{edit.section, edit.name};
    const auto it = entries_.find(key);
    const std::uint64_t current = it == entries_.end() ? 0 : it->second.version;
    if (auto checked = CheckEdit(edit, current); !checked) {
      return tl::make_unexpected(checked.error());
    }
    if (!named.insert(key).second) {
      return Fail(ErrorCode::kInvalidRequest,
                  edit.section + "/" + edit.name + " is edited twice in one change");
    }
    if (!edit.remove) puts[edit.section][edit.name] = Json::parse(edit.value);
  }
  // Only the edited entries can violate the schema. Checking all entries took 0.1 s for 4,000.
  if (const auto violations = CheckEntries(puts); !violations.empty()) {
    return Fail(ErrorCode::kInvalidRequest, FormatViolations(violations));
  }
  Document document = document_;
  PutEntries(puts, document);
  for (const auto& edit : change.edits) {
    if (edit.remove) RemoveEntry(edit.section, edit.name, document);
  }
  if (const auto violations = CheckReferences(document); !violations.empty()) {
    return Fail(ErrorCode::kInvalidRequest, FormatViolations(violations));
  }
  return document;
}

base::Result<void> Catalogue::Validate(const schema::CatalogueChange& change) const {
  const auto document = ApplyEdits(change);
  if (!document) return tl::make_unexpected(document.error());
  return {};
}

base::Result<void> Catalogue::Apply(base::Offset offset, const schema::CatalogueChange& change) {
  const std::uint64_t version = offset.value + 1;
  if (version <= version_) return Fail(ErrorCode::kConflict, "the state already covers the offset");
  if (WasApplied(change.id)) return Fail(ErrorCode::kInvalidRequest, "record id was already used");
  auto document = ApplyEdits(change);
  if (!document) return tl::make_unexpected(document.error());
  document_ = std::move(*document);
  for (const auto& edit : change.edits) {
    const EntryKey key{edit.section, edit.name};
    if (edit.remove) {
      entries_.erase(key);
    } else {
      entries_[key] = {version, edit.value};
    }
  }
  RecordChange(change, version);
  version_ = version;
  return {};
}

bool Catalogue::WasApplied(const base::RecordId& id) const {
  return std::any_of(audit_.begin(), audit_.end(),
                     [&id](const AuditEntry& entry) { return entry.id == id; });
}

void Catalogue::RecordChange(const schema::CatalogueChange& change, std::uint64_t version) {
  AuditEntry entry{version, version_, change.author, change.reason, change.at_ms, change.id, {}};
  for (const auto& edit : change.edits) {
    entry.edits.push_back((edit.remove ? "remove " : "put ") + edit.section + "/" + edit.name);
    if (edit.section == "keys" && !edit.remove) denied_.erase(base::KeyId{edit.name});
  }
  audit_.push_back(std::move(entry));
  if (audit_.size() > kMaxAuditEntries) audit_.erase(audit_.begin());
}

std::string Catalogue::Snapshot() const {
  Json entries = Json::array();
  for (const auto& [key, entry] : entries_) {
    entries.push_back({{"section", key.first},
                       {"name", key.second},
                       {"version", entry.version},
                       {"value", Json::parse(entry.value)}});
  }
  Json audit = Json::array();
  for (const AuditEntry& it : audit_) {
    audit.push_back({{"version", it.version},
                     {"previous_version", it.previous_version},
                     {"author", it.author},
                     {"reason", it.reason},
                     {"at_ms", it.at_ms},
                     {"id", it.id},
                     {"edits", it.edits}});
  }
  Json denied = Json::array();
  for (const auto& key : denied_) denied.push_back(key.value);
  return Json{{"version", version_}, {"entries", entries}, {"audit", audit}, {"denied", denied}}
      .dump();
}

base::Result<void> Catalogue::Restore(std::uint64_t version, std::string_view snapshot) {
  if (version <= version_) return {};
  const Json json = Json::parse(snapshot, nullptr, false);
  try {
    std::map<EntryKey, Entry> entries;
    for (const Json& it : json.at("entries")) {
      entries[{it.at("section"), it.at("name")}] = {it.at("version"), it.at("value").dump()};
    }
    auto document = ParseDocument(DocumentText(entries));
    if (!document) return tl::make_unexpected(document.error());
    std::vector<AuditEntry> audit;
    for (const Json& it : json.at("audit")) {
      audit.push_back({it.at("version"), it.at("previous_version"), it.at("author"),
                       it.at("reason"), it.at("at_ms"), it.at("id"), it.at("edits")});
    }
    for (const Json& it : json.at("denied")) denied_.insert({it.get<std::string>()});
    entries_ = std::move(entries);
    document_ = std::move(*document);
    audit_ = std::move(audit);
    version_ = version;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidRequest, std::string("catalogue snapshot: ") + error.what());
  }
  return {};
}

std::string Catalogue::ToJson() const {
  Json json = Json::parse(Snapshot());
  json.erase("audit");
  json.erase("denied");
  return json.dump();
}

const Key* Catalogue::FindKey(const std::array<std::uint8_t, 32>& sha256) const {
  const Key* found = nullptr;
  // All keys are compared, so that the duration does not reveal the position of a match.
  for (const auto& [id, key] : document_.keys) {
    const bool equal = CRYPTO_memcmp(key.sha256.data(), sha256.data(), sha256.size()) == 0;
    if (equal) found = &key;
  }
  return found != nullptr && denied_.contains(found->id) ? nullptr : found;
}

void Catalogue::DenyKey(const base::KeyId& key) { denied_.insert(key); }

}  // namespace persimmonstair::catalogue
