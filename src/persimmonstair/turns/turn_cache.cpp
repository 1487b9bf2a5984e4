#include "persimmonstair/turns/turn_cache.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace persimmonstair::turns {
namespace {

std::size_t BytesOf(const schema::KeptTurn& record) {
  return record.input.size() + record.output.size();
}

}  // namespace

void TurnCache::Put(schema::KeptTurn record) {
  if (const auto known = by_key_.find(KeyOf(record)); known != by_key_.end()) {
    known->second->expires_ms = std::max(known->second->expires_ms, record.expires_ms);
    return;
  }
  bytes_ += BytesOf(record);
  recent_.push_front(std::move(record));
  by_key_[KeyOf(recent_.front())] = recent_.begin();
  while (bytes_ > max_bytes_ && recent_.size() > 1) Erase(std::prev(recent_.end()));
}

void TurnCache::Erase(RecordList::iterator it) {
  bytes_ -= BytesOf(*it);
  by_key_.erase(KeyOf(*it));
  recent_.erase(it);
}

const schema::KeptTurn* TurnCache::Touch(const Key& key, std::int64_t now_ms) {
  const auto it = by_key_.find(key);
  if (it == by_key_.end() || it->second->expires_ms < now_ms) return nullptr;
  recent_.splice(recent_.begin(), recent_, it->second);
  return &*it->second;
}

std::vector<const schema::KeptTurn*> TurnCache::Collect(const base::WorkspaceId& workspace,
                                                        const base::TurnId& last,
                                                        std::int64_t now_ms, Chain& chain) {
  chain.ancestors.push_back(last);
  std::vector<const schema::KeptTurn*> records;
  for (std::size_t n = 0; n < chain.ancestors.size(); ++n) {
    const schema::KeptTurn* record = Touch({workspace, chain.ancestors[n]}, now_ms);
    if (record == nullptr) {
      chain.missing.push_back(chain.ancestors[n]);
      continue;
    }
    records.push_back(record);
    chain.expires_ms = std::min(chain.expires_ms, record->expires_ms);
    // A record lists a limited number of ancestors. The record of the last one continues the list.
    if (n + 1 == chain.ancestors.size()) {
      chain.ancestors.insert(chain.ancestors.end(), record->ancestors.begin(),
                             record->ancestors.end());
    }
  }
  return records;
}

Chain TurnCache::FindAncestors(const base::WorkspaceId& workspace, const base::TurnId& last,
                               std::int64_t now_ms) {
  Chain chain;
  Collect(workspace, last, now_ms, chain);
  return chain;
}

Chain TurnCache::Find(const base::WorkspaceId& workspace, const base::TurnId& last,
                      std::int64_t now_ms) {
  Chain chain;
  const auto records = Collect(workspace, last, now_ms, chain);
  if (!chain.missing.empty()) return chain;
  std::size_t size = 0;
  for (const auto* record : records) size += BytesOf(*record);
  chain.history.reserve(size);
  for (auto it = records.rbegin(); it != records.rend(); ++it) {
    chain.history += (*it)->input;
    chain.history += (*it)->output;
  }
  return chain;
}

std::vector<const schema::KeptTurn*> TurnCache::ExpiringBefore(
    const base::WorkspaceId& workspace, const std::vector<base::TurnId>& chain,
    std::int64_t needed_ms) const {
  std::vector<const schema::KeptTurn*> expiring;
  for (const base::TurnId& turn : chain) {
    const auto it = by_key_.find({workspace, turn});
    if (it == by_key_.end() || it->second->expires_ms >= needed_ms) continue;
    expiring.push_back(&*it->second);
  }
  return expiring;
}

void TurnCache::Extend(const base::WorkspaceId& workspace, const base::TurnId& turn,
                       std::int64_t until_ms) {
  const auto it = by_key_.find({workspace, turn});
  if (it == by_key_.end()) return;
  it->second->expires_ms = std::max(it->second->expires_ms, until_ms);
}

void TurnCache::Forget(const base::WorkspaceId& workspace, const base::TurnId& turn) {
  const auto it = by_key_.find({workspace, turn});
  if (it != by_key_.end()) Erase(it->second);
}

std::vector<base::TurnId> TurnCache::Expire(std::int64_t now_ms) {
  std::vector<base::TurnId> expired;
  for (auto it = recent_.begin(); it != recent_.end();) {
    const auto one = it++;
    if (one->expires_ms >= now_ms) continue;
    expired.push_back(one->turn);
    Erase(one);
  }
  return expired;
}

}  // namespace persimmonstair::turns
