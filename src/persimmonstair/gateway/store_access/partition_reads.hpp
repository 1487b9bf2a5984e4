#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_PARTITION_READS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_PARTITION_READS_HPP_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clock.hpp"
#include "request_memory.hpp"
#include "slots.hpp"
#include "store_access/retrying_record_store.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief Reads of whole partitions, shared by all requests that wait for records of them.
///
/// Each partition has at most one read at a time. A read doesn't end with the requests that wait
/// for it: its records are taken over for all keys that were asked for while it ran, so that a
/// caller's next attempt needs no read.
class PartitionReads {
 public:
  using KeySet = std::set<std::string>;
  /// Takes over the records of `wanted` from a snapshot. Returns the keys that it holds.
  using TakeOver = std::function<KeySet(const Partition& partition, const RecordSnapshot& snapshot,
                                        const KeySet& wanted)>;
  /// Tells whether a record is needed for `wanted`. Only such records are held until the end of a
  /// read, however much the partition holds.
  using Needs = std::function<bool(const Partition& partition, const KeyedRecord& record,
                                   const KeySet& wanted)>;

  /// Of all objects that share `slots`, as many read at the same time as there are.
  PartitionReads(const boost::asio::any_io_executor& executor, RetryingRecordStore& store,
                 Slots slots, Needs needs, TakeOver take_over)
      : executor_(executor),
        store_(store),
        slots_(std::move(slots)),
        alone_(executor, 1),
        needs_(std::move(needs)),
        take_over_(std::move(take_over)) {}

  /// Sets the account in which the held records count. A read that finds no room there fails.
  void SetMemory(const RequestMemory& memory) { memory_ = &memory; }

  /// Waits until the records of `keys` have been taken over, at most until `deadline`. Returns the
  /// keys that a read which began after the call doesn't hold. Fails with kLogUnavailable if there
  /// was no answer in time.
  boost::asio::awaitable<base::Result<KeySet>> Read(Partition partition, KeySet keys,
                                                    base::TimePoint deadline);

 private:
  /// A call of Read().
  struct Waiter {
    Waiter(const boost::asio::any_io_executor& executor, KeySet keys)
        : missing(std::move(keys)), done(executor) {}
    /// Keys that no read has held yet.
    KeySet missing;
    /// True if the last read that the call waited for failed.
    bool failed = false;
    /// True once the call has returned.
    bool abandoned = false;
    OneShotEvent done;
  };
  using WaiterPtr = std::shared_ptr<Waiter>;
  /// The read of a partition that is under way.
  struct SharedRead {
    /// Calls that were made before the read began.
    std::vector<WaiterPtr> waiting;
    /// Calls that were made since. The read can find their keys, but not prove that there are none.
    std::vector<WaiterPtr> joined;
    /// Keys of all these calls, abandoned ones included.
    KeySet wanted;
    /// The records that are held, in the account of requests.
    std::optional<RequestBytes> held;
    /// True if one of them found no room.
    bool no_room = false;
  };

  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadOnce(Partition partition,
                                                                std::shared_ptr<SharedRead> read);
  /// Reads the records that the calls of `read` want, alone if there was no room beside others.
  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadWanted(Partition partition,
                                                                  std::shared_ptr<SharedRead> read);
  /// Reads the partition until no call waits for it.
  boost::asio::awaitable<void> Run(Partition partition, std::shared_ptr<SharedRead> read);
  /// Takes the records over and ends the calls that need no further read.
  void Deliver(const Partition& partition, SharedRead& read,
               const base::Result<RecordSnapshot>& snapshot);
  void Fail(const Partition& partition);

  boost::asio::any_io_executor executor_;
  RetryingRecordStore& store_;
  Slots slots_;
  /// Held by a read that is repeated because it found no room.
  Slots alone_;
  Needs needs_;
  TakeOver take_over_;
  const RequestMemory* memory_ = nullptr;
  std::map<Partition, std::shared_ptr<SharedRead>> reads_;
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_PARTITION_READS_HPP_
