#ifndef PERSIMMONSTAIR_SRC_GATEWAY_RETRYING_RECORD_STORE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_RETRYING_RECORD_STORE_HPP_

#include <vector>

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/gateway/record_store.hpp"

namespace persimmonstair::gateway {

/// @brief Repeats calls to the record store until they succeed or a deadline passes, and tracks
/// whether the store is reachable.
///
/// Records are identified by their key, so an append whose answer was lost can be repeated.
class RetryingRecordStore {
 public:
  explicit RetryingRecordStore(RecordStore& store) : store_(store) {}

  /// Returns the offset of the first record of the acknowledged append. Unacknowledged attempts may
  /// have left earlier copies.
  boost::asio::awaitable<base::Result<base::Offset>> Append(Partition partition,
                                                            std::vector<KeyedRecord> records,
                                                            base::TimePoint deadline);
  /// Appends with a single attempt, only if the partition still ends at `expected`.
  boost::asio::awaitable<base::Result<base::Offset>> AppendIf(Partition partition,
                                                              std::vector<KeyedRecord> records,
                                                              base::Offset expected);
  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewest(Partition partition,
                                                                  base::TimePoint deadline);
  /// Returns kNotFound without a retry if the records at `from` were dropped.
  boost::asio::awaitable<base::Result<RecordBatch>> Read(Partition partition, base::Offset from,
                                                         base::TimePoint deadline);
  /// Reads with a single attempt; the store may wait up to `wait` for a record.
  boost::asio::awaitable<base::Result<RecordBatch>> Poll(Partition partition, base::Offset from,
                                                         base::Duration wait);

  /// False once calls have failed for some time without a success. Requests that need the store
  /// are then refused at once.
  bool Up() const;
  /// True if no call has succeeded since the last failure.
  bool Failing() const { return failing_; }
  /// Time at which the last outage of the store ended; zero if there was none.
  base::TimePoint RecoveredAt() const { return recovered_at_; }

 private:
  base::Duration Timeout(int attempt) const;
  template <class T>
  const base::Result<T>& RecordResult(const base::Result<T>& result, base::TimePoint sent_at,
                                      base::Duration waited);
  void OnSuccess(base::Duration took);
  void OnFailure(const base::Error& error);
  template <class T, class Send>
  boost::asio::awaitable<base::Result<T>> CallWithRetry(base::TimePoint deadline, Send send);

  RecordStore& store_;
  bool failing_ = false;
  bool reported_unreachable_ = false;
  base::TimePoint failing_since_;
  base::TimePoint recovered_at_;
  /// Exponentially smoothed latency of answered calls.
  base::Duration smoothed_latency_ = std::chrono::milliseconds{10};
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_RETRYING_RECORD_STORE_HPP_
