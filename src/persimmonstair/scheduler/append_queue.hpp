#ifndef PERSIMMONSTAIR_SCHEDULER_APPEND_QUEUE_HPP_
#define PERSIMMONSTAIR_SCHEDULER_APPEND_QUEUE_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/scheduler/actions.hpp"
#include "persimmonstair/scheduler/events.hpp"

namespace persimmonstair::scheduler {

/// @brief Queues records and combines them into append calls. At most one call per stream is in
/// flight, and the rate of calls over all streams is limited.
///
///     queue.Add({"claims"}, id, text);
///     for (auto& append : queue.Flush(now)) Emit(std::move(append));
class AppendQueue {
 public:
  /// Outcome of the append call for one record.
  struct RecordOutcome {
    base::StreamName stream;
    base::RecordId id;
    AppendOutcome outcome = AppendOutcome::kUnknown;
  };

  /// `calls_per_s` is the maximum rate of append calls over all streams.
  explicit AppendQueue(double calls_per_s) : calls_per_s_(calls_per_s) {}

  void Add(const base::StreamName& stream, base::RecordId id, std::string text);

  /// Removes queued records and returns the append calls to make now.
  std::vector<Append> Flush(base::TimePoint now);

  /// Ends a call and returns the outcome of each of its records; empty for an unknown call.
  std::vector<RecordOutcome> OnDone(const AppendDone& done);

  /// Number of records that are queued or in flight.
  std::size_t PendingRecords() const;
  /// Number of append calls made so far.
  std::uint64_t CallCount() const { return call_count_; }
  /// Number of records sent in append calls so far.
  std::uint64_t RecordCount() const { return record_count_; }

 private:
  struct QueuedRecord {
    base::RecordId id;
    std::string text;
  };
  struct StreamQueue {
    std::deque<QueuedRecord> queued_records;
    std::optional<base::AppendId> in_flight;
  };
  struct InFlightCall {
    base::StreamName stream;
    std::vector<base::RecordId> ids;
  };

  bool TakeCallToken(base::TimePoint now);
  Append MakeCall(const base::StreamName& stream, StreamQueue& stream_queue);

  double calls_per_s_;
  /// Token bucket that limits the rate of calls, and the time of its last refill.
  double call_tokens_ = kBurstCalls;
  base::TimePoint refilled_at_;
  std::map<base::StreamName, StreamQueue> stream_queues_;
  std::map<base::AppendId, InFlightCall> in_flight_;
  std::uint64_t last_call_ = 0;
  std::uint64_t call_count_ = 0;
  std::uint64_t record_count_ = 0;

  /// Maximum burst of calls. It lets an idle instance append without delay.
  static constexpr double kBurstCalls = 4;
};

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_APPEND_QUEUE_HPP_
