#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_EXPIRY_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_EXPIRY_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmonstair::gateway::store_access {

/// @brief Instance that wrote a record.
enum class RecordWriter {
  /// An instance that may be gone.
  kOther,
  /// This instance.
  kThis,
};

/// @brief Records of one partition of the store by the time at which they expire. The records of a
/// group expire together, with the last of them.
///
///     RecordExpiry expiry;
///     expiry.Add("turn-1", {"program-1", RecordWriter::kThis, expires_ms});
///     for (const auto& key : expiry.Due({now_ms, now_ms - 30'000}, 100)) Delete(key);
class RecordExpiry {
 public:
  struct Entry {
    std::string group;
    RecordWriter writer = RecordWriter::kOther;
    /// Unix time in milliseconds.
    std::int64_t expires_ms = 0;
  };
  /// Unix times in milliseconds before which groups must have expired.
  struct DueTimes {
    std::int64_t own_ms = 0;
    std::int64_t others_ms = 0;
  };

  /// Adds a record. If it is known already, its group's expiry can only become later, and its
  /// writer remains kThis.
  void Add(const std::string& key, const Entry& entry);

  /// True if the record was added and this instance wrote it.
  bool IsOwn(const std::string& key) const;

  /// Removes a record that is no longer in the store.
  void Remove(const std::string& key);

  /// Returns the keys of at most `max` expired records, those that expired first before others.
  std::vector<std::string> Due(DueTimes before, std::size_t max) const;

  std::size_t size() const { return records_.size(); }

 private:
  struct Group {
    std::int64_t expires_ms = 0;
    std::set<std::string> keys;
  };
  struct Record {
    std::string group;
    RecordWriter writer = RecordWriter::kOther;
  };

  std::unordered_map<std::string, Record> records_;
  std::map<std::string, Group> groups_;
  /// Groups by expiry.
  std::set<std::pair<std::int64_t, std::string>> by_expiry_;
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_EXPIRY_HPP_
