#include "persimmonstair/gateway/record_store.hpp"

#include <utility>

namespace persimmonstair::gateway {

boost::asio::awaitable<base::Result<RecordSnapshot>> RecordStore::ReadNewestOf(
    const Partition& partition, base::Duration timeout, RecordFilter filter) {
  auto snapshot = co_await ReadNewest(partition, timeout);
  if (!snapshot) co_return snapshot;
  std::erase_if(snapshot->records, [&](const StoredRecord& stored) {
    const bool skips = !filter(stored.record);
    if (skips) snapshot->skipped_bytes += SizeOf(stored.record);
    return skips;
  });
  co_return snapshot;
}

}  // namespace persimmonstair::gateway
