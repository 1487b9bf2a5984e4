#ifndef PERSIMMONSTAIR_STANDIN_PREFIX_CACHE_HPP_
#define PERSIMMONSTAIR_STANDIN_PREFIX_CACHE_HPP_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmonstair::standin {

/// @brief Tokens of a text in the stand-in's model: four bytes each, rounded up.
constexpr std::int64_t CountTokens(std::size_t bytes) {
  return static_cast<std::int64_t>((bytes + 3) / 4);
}

/// @brief The prefixes that an engine holds, one for each program, in limited memory. The least
/// recently used program is evicted first.
class PrefixCache {
 public:
  explicit PrefixCache(std::int64_t memory_tokens) : memory_tokens_(memory_tokens) {}

  /// Tokens of `prompt` that are held for the program.
  std::int64_t Lookup(const std::string& program, std::string_view prompt) const;
  /// Holds `text` for the program instead of what was held; evicts others if needed. A text larger
  /// than the whole memory is not held.
  void Store(const std::string& program, std::string text);
  std::optional<std::string> Text(const std::string& program) const;
  /// Tokens released; empty if the program is not held.
  std::optional<std::int64_t> Release(const std::string& program);
  /// Program and tokens, by program id.
  std::vector<std::pair<std::string, std::int64_t>> HeldPrograms() const;
  void Clear();
  std::int64_t used_tokens() const { return used_tokens_; }
  std::int64_t memory_tokens() const { return memory_tokens_; }

 private:
  struct Entry {
    std::string text;
    std::list<std::string>::iterator lru_position;
  };

  std::int64_t memory_tokens_;
  std::int64_t used_tokens_ = 0;
  /// Least recently used first.
  std::list<std::string> lru_order_;
  std::map<std::string, Entry> entries_;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_PREFIX_CACHE_HPP_
