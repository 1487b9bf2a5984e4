#include "store_access/record_expiry.hpp"

#include <algorithm>

namespace persimmonstair::gateway::store_access {

void RecordExpiry::Add(const std::string& key, const Entry& entry) {
  const auto known = records_.find(key);
  if (known != records_.end() && known->second.group != entry.group) Remove(key);
  Record& record = records_[key];
  record.group = entry.group;
  record.writer = std::max(record.writer, entry.writer);
  Group& group = groups_[entry.group];
  group.keys.insert(key);
  if (entry.expires_ms <= group.expires_ms) return;
  by_expiry_.erase({group.expires_ms, entry.group});
  group.expires_ms = entry.expires_ms;
  by_expiry_.emplace(group.expires_ms, entry.group);
}

void RecordExpiry::Remove(const std::string& key) {
  const auto record = records_.find(key);
  if (record == records_.end()) return;
  const auto group = groups_.find(record->second.group);
  records_.erase(record);
  group->second.keys.erase(key);
  if (!group->second.keys.empty()) return;
  by_expiry_.erase({group->second.expires_ms, group->first});
  groups_.erase(group);
}

bool RecordExpiry::IsOwn(const std::string& key) const {
  const auto record = records_.find(key);
  return record != records_.end() && record->second.writer == RecordWriter::kThis;
}

std::vector<std::string> RecordExpiry::Due(DueTimes before, std::size_t max) const {
  std::vector<std::string> due;
  for (const auto& [expires_ms, name] : by_expiry_) {
    if (expires_ms >= std::max(before.own_ms, before.others_ms)) break;
    for (const auto& key : groups_.at(name).keys) {
      if (due.size() == max) return due;
      const bool own = records_.at(key).writer == RecordWriter::kThis;
      if (expires_ms < (own ? before.own_ms : before.others_ms)) due.push_back(key);
    }
  }
  return due;
}

}  // namespace persimmonstair::gateway::store_access
