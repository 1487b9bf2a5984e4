#ifndef PERSIMMONSTAIR_TURNS_TURN_CACHE_HPP_
#define PERSIMMONSTAIR_TURNS_TURN_CACHE_HPP_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::turns {

/// Maximum number of ancestors in a record. Longer chains continue in the record of the last
/// ancestor listed.
inline constexpr std::size_t kMaxListedAncestors = 32;

/// @brief A turn and its ancestors, as far as the cache has their records.
struct Chain {
  /// Turns of the chain whose records are not cached; empty if the chain is complete.
  std::vector<base::TurnId> missing;
  /// Inputs and outputs of the whole chain, oldest first; empty if the chain is incomplete.
  std::string history;
  /// The chain's turns, most recent first, as the record of a continuing turn lists them.
  std::vector<base::TurnId> ancestors;
  /// Earliest expiry of these turns, in Unix milliseconds.
  std::int64_t expires_ms = std::numeric_limits<std::int64_t>::max();
};

/// @brief Least recently used (LRU) cache of the stored turns that this instance wrote or read.
///
/// A turn is known by its workspace and its id, which callers choose: turns of two workspaces may
/// have the same.
///
/// Only the expiry time of a record changes, and only to a later one, so a cached record is valid
/// until it expires.
///
///     TurnCache cache(std::size_t{32} << 20U);
///     cache.Put(record);
///     const Chain chain = cache.Find(workspace, record.turn, now_ms);
class TurnCache {
 public:
  /// `max_bytes` limits the total size of inputs and outputs.
  explicit TurnCache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Adds a record. If its turn is cached already, only a later expiry is taken over. Evicts the
  /// least recently used records while the size limit is exceeded, but never the new one.
  void Put(schema::KeptTurn record);

  /// Returns the workspace's chain that ends with `last`. Turns that expired before `now_ms` (Unix
  /// milliseconds) count as missing.
  Chain Find(const base::WorkspaceId& workspace, const base::TurnId& last, std::int64_t now_ms);

  /// Like Find(), without the history.
  Chain FindAncestors(const base::WorkspaceId& workspace, const base::TurnId& last,
                      std::int64_t now_ms);

  /// Returns those turns of the chain that expire before `needed_ms` (Unix milliseconds). Turns
  /// that are not cached are skipped. The pointers are valid until the cache changes.
  std::vector<const schema::KeptTurn*> ExpiringBefore(const base::WorkspaceId& workspace,
                                                      const std::vector<base::TurnId>& chain,
                                                      std::int64_t needed_ms) const;

  /// Takes over a later expiry of a turn, if it is cached. Only to be called once the store has it,
  /// because all requests of the instance rely on what the cache says.
  void Extend(const base::WorkspaceId& workspace, const base::TurnId& turn, std::int64_t until_ms);

  /// Removes the record of a turn, if cached.
  void Forget(const base::WorkspaceId& workspace, const base::TurnId& turn);

  /// Removes records that expired before `now_ms` (Unix milliseconds) and returns their turns.
  std::vector<base::TurnId> Expire(std::int64_t now_ms);

  /// Total size of the cached inputs and outputs.
  std::size_t Bytes() const { return bytes_; }
  std::size_t size() const { return by_key_.size(); }

 private:
  using RecordList = std::list<schema::KeptTurn>;
  using Key = std::pair<base::WorkspaceId, base::TurnId>;

  static Key KeyOf(const schema::KeptTurn& record) { return {record.workspace, record.turn}; }
  /// Collects the chain that ends with `last` and the records of its turns, most recent first.
  std::vector<const schema::KeptTurn*> Collect(const base::WorkspaceId& workspace,
                                               const base::TurnId& last, std::int64_t now_ms,
                                               Chain& chain);
  /// Returns the record and marks it as most recently used; null if missing or expired.
  const schema::KeptTurn* Touch(const Key& key, std::int64_t now_ms);
  void Erase(RecordList::iterator it);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  /// Most recently used first.
  RecordList recent_;
  std::map<Key, RecordList::iterator> by_key_;
};

}  // namespace persimmonstair::turns

#endif  // PERSIMMONSTAIR_TURNS_TURN_CACHE_HPP_
