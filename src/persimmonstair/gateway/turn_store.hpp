#ifndef PERSIMMONSTAIR_SRC_GATEWAY_TURN_STORE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_TURN_STORE_HPP_

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "partitions.hpp"
#include "persimmonstair/base/error.hpp"
#include "persimmonstair/turns/turn_cache.hpp"
#include "retrying_record_store.hpp"

namespace persimmonstair::gateway {

/// @brief Inputs and outputs of the turns before a new one.
struct History {
  std::string text;
  /// Nearest first, as the new turn's record lists them.
  std::vector<base::TurnId> ancestors;
};

/// @brief Keeps the turns of programs in the store and finds the chains that new turns continue.
///
/// Turns that this instance wrote or read are cached; others are read from the store when a turn
/// names them, so that a program may go on at any instance.
class TurnStore {
 public:
  TurnStore(const boost::asio::any_io_executor& executor, RetryingRecordStore& store,
            Partitioning turns, std::size_t cache_bytes)
      : executor_(executor), store_(store), partitions_(std::move(turns)), cache_(cache_bytes) {}

  /// The chain that ends with `previous`. kNotFound is certain: no instance may have acknowledged
  /// such a turn of this workspace. kLogUnavailable says that the store could not be asked.
  boost::asio::awaitable<base::Result<History>> Find(base::WorkspaceId workspace,
                                                     base::TurnId previous,
                                                     base::TimePoint deadline);

  /// Returns once the turn is durable; later turns may name it from then on. Its ancestors live for
  /// `retention_ms` from now at least.
  boost::asio::awaitable<base::Result<void>> Save(schema::KeptTurn record, base::TimePoint deadline,
                                                  std::int64_t retention_ms);

  /// Drops expired turns from the partitions that this instance wrote to; never returns.
  boost::asio::awaitable<void> DropExpired();

  std::size_t CachedBytes() const { return cache_.Bytes(); }

 private:
  /// Reads the partitions of some turns; false if the store did not answer.
  boost::asio::awaitable<bool> Fetch(std::vector<base::TurnId> turns, base::TimePoint deadline);
  boost::asio::awaitable<bool> FetchPartition(Partition partition, std::vector<base::TurnId> turns,
                                              base::TimePoint deadline);

  boost::asio::any_io_executor executor_;
  RetryingRecordStore& store_;
  Partitioning partitions_;
  turns::TurnCache cache_;
  boost::asio::awaitable<void> DropExpiredFrom(Partition partition);
  boost::asio::awaitable<base::Result<void>> ExtendChain(std::vector<base::TurnId> chain,
                                                         std::int64_t retention_ms,
                                                         base::TimePoint deadline);

  /// When partitions may have records to drop, in the order of the times.
  std::deque<std::pair<std::int64_t, Partition>> drop_schedule_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_TURN_STORE_HPP_
