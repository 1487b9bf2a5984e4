#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RETRYING_RECORD_STORE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RETRYING_RECORD_STORE_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/gateway/record_store.hpp"
#include "store_access/store_call_counts.hpp"
#include "store_access/store_probes.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief Repeats calls to the record store until they succeed or a deadline passes, and tracks
/// whether the store is reachable.
///
/// Records are identified by their key, so an append whose answer was lost can be repeated.
///
/// A read whose answer is late is sent again only if the store has answered a read that was sent
/// after it. Otherwise the store may be busy with reads of many instances, and a second one would
/// keep it busy for longer. The first answer counts. Where no later read is answered because all
/// are lost, as after a start while the store was silent, probes show it (StoreProbes).
class RetryingRecordStore {
 public:
  RetryingRecordStore(RecordStore& store, diagnostics::Metrics& metrics)
      : store_(store), counts_(metrics) {}

  /// Returns the offset of the first record of the acknowledged append. Unacknowledged attempts may
  /// have left earlier copies. Fails with kLogUnavailable and the verdict kMayHaveRun if no attempt
  /// succeeds before the deadline.
  boost::asio::awaitable<base::Result<base::Offset>> Append(Partition partition,
                                                            std::vector<KeyedRecord> records,
                                                            base::TimePoint deadline);
  /// Appends with a single attempt, for records that a later append replaces.
  boost::asio::awaitable<base::Result<base::Offset>> AppendOnce(Partition partition,
                                                                std::vector<KeyedRecord> records,
                                                                base::Duration timeout);
  /// Appends with a single attempt, only if the partition still ends at `expected`; otherwise fails
  /// with kConflict.
  boost::asio::awaitable<base::Result<base::Offset>> AppendIf(Partition partition,
                                                              std::vector<KeyedRecord> records,
                                                              base::Offset expected);
  /// Returns the newest record of each key of the partition.
  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewest(Partition partition,
                                                                  base::TimePoint deadline);
  /// Returns those of the newest records that `filter` accepts. Repeated attempts ask it again.
  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewestOf(Partition partition,
                                                                    base::TimePoint deadline,
                                                                    RecordFilter filter);
  /// Returns kNotFound without a retry if the records at `from` were dropped.
  boost::asio::awaitable<base::Result<RecordBatch>> Read(Partition partition, base::Offset from,
                                                         base::TimePoint deadline);
  /// Reads records; the store may wait up to `wait` for one.
  boost::asio::awaitable<base::Result<RecordBatch>> Poll(Partition partition, base::Offset from,
                                                         base::Duration wait);

  /// Makes reads in progress count as overtaken, because their connections are lost.
  void OnPathChanged();

  /// False once calls have failed for 400 ms without a success. Requests that need the store are
  /// then refused at once.
  bool Up() const;
  /// True if a call has failed and none has succeeded since, even if the store still counts as
  /// reachable.
  bool Failing() const { return failing_; }
  /// Time at which the store last became reachable again; zero if it was never unreachable.
  base::TimePoint RecoveredAt() const { return recovered_at_; }
  /// Time of the store's last answer; zero before the first one.
  base::TimePoint AnsweredAt() const { return answered_at_; }
  /// Time of the store's first answer; nothing before it.
  std::optional<base::TimePoint> FirstAnsweredAt() const { return first_answered_at_; }
  /// Counts of all calls, repeated ones included.
  StoreCallCounts& Counts() { return counts_; }

 private:
  /// What a call does and with which stream.
  struct CallKind {
    StoreCall call = StoreCall::kRead;
    /// StreamKind() of the stream.
    std::string stream;
    /// Time that an append takes beyond the latency of a small one.
    base::Duration transfer_time{};
  };
  /// Timeout of one attempt (0 for the first), from the smoothed latency.
  base::Duration Timeout(int attempt) const;
  /// Pause after attempt `attempt` was refused. Random, so that instances don't return together.
  base::Duration RefusedPause(int attempt);
  /// Counts the call, updates the reachability and the smoothed latency by its result, and returns
  /// the result. `waited` is the time for which the call asked the store to wait for a record; it
  /// doesn't count as latency.
  template <class T>
  const base::Result<T>& TrackResult(const CallKind& kind, const base::Result<T>& result,
                                     base::TimePoint sent_at, base::Duration waited);
  void OnSuccess(base::Duration took);
  void OnFailure(const base::Error& error);
  template <class T, class Send>
  boost::asio::awaitable<base::Result<T>> CallWithRetry(CallKind kind, base::TimePoint deadline,
                                                        Send send);

  /// What a read asks for and how long it may take.
  struct ReadLimits {
    CallKind kind;
    base::TimePoint deadline;
    /// Time for which the store may wait for a record.
    base::Duration wait{0};
  };
  /// A read that was sent once or more.
  template <class T>
  struct PendingRead {
    explicit PendingRead(const boost::asio::any_io_executor& executor) : changed(executor) {}
    /// The first answer, or an error that another attempt would meet again.
    std::optional<base::Result<T>> result;
    /// Attempts that have not ended.
    int in_flight = 0;
    boost::asio::steady_timer changed;
  };
  template <class T, class Send>
  boost::asio::awaitable<base::Result<T>> ReadWithRetry(ReadLimits limits, Send send);
  /// Sends one attempt, whose end is stored in `read`, also after ReadWithRetry() has returned.
  template <class T, class Send>
  boost::asio::awaitable<void> SendRead(std::shared_ptr<PendingRead<T>> read, ReadLimits limits,
                                        Send send);
  /// Sends a probe if one is due.
  void Probe(const boost::asio::any_io_executor& executor);
  boost::asio::awaitable<void> SendProbe();
  /// True if the attempt, sent at `sent_at`, is late and a later read has been answered, or if
  /// probes show that the store was silent when it was sent.
  bool IsOvertaken(base::TimePoint sent_at, base::Duration wait, int attempt) const;
  /// True if the attempt is late and no later read has been answered.
  bool IsSilent(base::TimePoint sent_at, base::Duration wait) const;

  RecordStore& store_;
  StoreCallCounts counts_;
  StoreProbes probes_;
  bool failing_ = false;
  bool reported_unreachable_ = false;
  base::TimePoint failing_since_;
  base::TimePoint recovered_at_;
  std::optional<base::TimePoint> first_answered_at_;
  base::TimePoint answered_at_;
  /// Time at which the last of the answered reads was sent.
  base::TimePoint newest_answered_sent_at_;
  /// Exponentially smoothed latency of answered calls.
  base::Duration smoothed_latency_ = std::chrono::milliseconds{10};
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RETRYING_RECORD_STORE_HPP_
