#ifndef PERSIMMONSTAIR_TURNS_TURN_CACHE_HPP_
#define PERSIMMONSTAIR_TURNS_TURN_CACHE_HPP_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::turns {

/// Most ancestors that a record lists; longer chains continue in the record of the last one listed.
inline constexpr std::size_t kMaxListedAncestors = 32;

/// @brief What is known locally of the chain that ends with a turn.
struct Chain {
  /// Turns of the chain whose records are not known; empty if the chain is complete.
  std::vector<base::TurnId> missing;
  /// True if a turn of the chain belongs to another workspace.
  bool foreign = false;
  /// Inputs and outputs of the whole chain, oldest first; only if complete.
  std::string history;
  /// The chain's turns, nearest first, as a continuing turn has to list them.
  std::vector<base::TurnId> ancestors;
};

/// @brief Records of kept turns that this instance wrote or read, least recently used ones dropped.
/// A record never changes, so a copy stays valid until it expires.
///
///     TurnCache cache(std::size_t{32} << 20U);
///     cache.Put(record);
///     const Chain chain = cache.Find(workspace, record.turn);
class TurnCache {
 public:
  /// `max_bytes` bounds the sum of inputs and outputs.
  explicit TurnCache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  void Put(schema::KeptTurn record);

  /// Collects the chain that ends with `last`. Turns that expired before `now_ms` count as missing.
  Chain Find(const base::WorkspaceId& workspace, const base::TurnId& last, std::int64_t now_ms);

  /// Lets the turns of a chain live until `needed_ms` at least; those that would end before get
  /// `until_ms`. Returns the changed records, which have to be written again.
  std::vector<schema::KeptTurn> Extend(const std::vector<base::TurnId>& chain,
                                       std::int64_t needed_ms, std::int64_t until_ms);

  void Forget(const base::TurnId& turn);

  /// Removes expired records and returns their turns.
  std::vector<base::TurnId> Expire(std::int64_t now_ms);

  std::size_t Bytes() const { return bytes_; }
  std::size_t size() const { return by_turn_.size(); }

 private:
  using Recent = std::list<schema::KeptTurn>;

  const schema::KeptTurn* Touch(const base::TurnId& turn, std::int64_t now_ms);
  void Erase(Recent::iterator it);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  /// Most recently used first.
  Recent recent_;
  std::unordered_map<base::TurnId, Recent::iterator> by_turn_;
};

}  // namespace persimmonstair::turns

#endif  // PERSIMMONSTAIR_TURNS_TURN_CACHE_HPP_
