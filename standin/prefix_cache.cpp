#include "standin/prefix_cache.hpp"

#include <algorithm>

namespace persimmonstair::standin {

std::int64_t PrefixCache::Lookup(const std::string& program, std::string_view prompt) const {
  const auto it = entries_.find(program);
  if (it == entries_.end()) return 0;
  const std::string_view held = it->second.text;
  const auto limit = std::min(held.size(), prompt.size());
  const auto end = std::mismatch(held.begin(), held.begin() + limit, prompt.begin()).first;
  // Only whole tokens are reused.
  return static_cast<std::int64_t>((end - held.begin()) / 4);
}

void PrefixCache::Store(const std::string& program, std::string text) {
  Release(program);
  const std::int64_t tokens = CountTokens(text.size());
  if (tokens > memory_tokens_) return;
  while (used_tokens_ + tokens > memory_tokens_) Release(std::string(lru_order_.front()));
  lru_order_.push_back(program);
  entries_[program] = {std::move(text), std::prev(lru_order_.end())};
  used_tokens_ += tokens;
}

std::optional<std::string> PrefixCache::Text(const std::string& program) const {
  const auto it = entries_.find(program);
  if (it == entries_.end()) return std::nullopt;
  return it->second.text;
}

std::optional<std::int64_t> PrefixCache::Release(const std::string& program) {
  const auto it = entries_.find(program);
  if (it == entries_.end()) return std::nullopt;
  const std::int64_t tokens = CountTokens(it->second.text.size());
  used_tokens_ -= tokens;
  lru_order_.erase(it->second.lru_position);
  entries_.erase(it);
  return tokens;
}

std::vector<std::pair<std::string, std::int64_t>> PrefixCache::HeldPrograms() const {
  std::vector<std::pair<std::string, std::int64_t>> out;
  out.reserve(entries_.size());
  for (const auto& [program, entry] : entries_) {
    out.emplace_back(program, CountTokens(entry.text.size()));
  }
  return out;
}

void PrefixCache::Clear() {
  entries_.clear();
  lru_order_.clear();
  used_tokens_ = 0;
}

}  // namespace persimmonstair::standin
