#ifndef PERSIMMONSTAIR_SRC_GATEWAY_RETRYING_RECORD_STORE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_RETRYING_RECORD_STORE_HPP_

#include <vector>

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/gateway/record_store.hpp"

namespace persimmonstair::gateway {

/// @brief Repeats calls to the store until they succeed or a deadline passes, and knows whether the
/// store can be reached.
///
/// Records are told apart by their key, so an append whose answer was lost may be sent again.
class RetryingRecordStore {
 public:
  explicit RetryingRecordStore(RecordStore& store) : store_(store) {}

  /// Offset of the first record of the append that was acknowledged; earlier copies may exist.
  boost::asio::awaitable<base::Result<base::Offset>> Append(Partition partition,
                                                            std::vector<KeyedRecord> records,
                                                            base::TimePoint deadline);
  /// One try, only if the partition still ends at `expected`.
  boost::asio::awaitable<base::Result<base::Offset>> AppendIf(Partition partition,
                                                              std::vector<KeyedRecord> records,
                                                              base::Offset expected);
  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewest(Partition partition,
                                                                  base::TimePoint deadline);
  /// Repeats until the deadline; kNotFound is returned at once.
  boost::asio::awaitable<base::Result<RecordBatch>> Read(Partition partition, base::Offset from,
                                                         base::TimePoint deadline);
  /// One read that may wait for a record; for followers.
  boost::asio::awaitable<base::Result<RecordBatch>> Poll(Partition partition, base::Offset from,
                                                         base::Duration wait);

  /// False once calls have failed for a while without a success; requests that need the store are
  /// then refused at once.
  bool Reachable() const;
  /// When calls began to fail; the last success was before.
  bool Failing() const { return failing_; }
  /// End of the last time in which the store could not be reached; zero if there was none.
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
  /// Smoothed time of an answer.
  base::Duration smoothed_latency_ = std::chrono::milliseconds{10};
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_RETRYING_RECORD_STORE_HPP_
