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

/// @brief Returns the number of tokens of a text of this size: four bytes each, rounded up.
constexpr std::int64_t CountTokens(std::size_t bytes) {
  return static_cast<std::int64_t>((bytes + 3) / 4);
}

/// @brief The prefixes that an engine holds, one for each program, in limited memory. The least
/// recently used program is evicted first; storing a prefix counts as use, Lookup() does not.
class PrefixCache {
 public:
  explicit PrefixCache(std::int64_t memory_tokens) : memory_tokens_(memory_tokens) {}

  /// Number of whole tokens at the start of `prompt` that are held for the program.
  std::int64_t Lookup(const std::string& program, std::string_view prompt) const;
  /// Replaces the program's prefix by `text` and evicts other programs if needed. A text larger
  /// than the whole memory is not held; the old prefix is released anyway.
  void Store(const std::string& program, std::string text);
  /// The prefix held for the program; empty if there is none.
  std::optional<std::string> Text(const std::string& program) const;
  /// Removes the program's prefix and returns its tokens; empty if none is held.
  std::optional<std::int64_t> Release(const std::string& program);
  /// Programs and the tokens they hold, ordered by program id.
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
