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

/// @brief Collects records and groups them into few append calls: at most one call in flight for
/// each stream, and a bounded rate over all streams.
///
///     queue.Add({"claims"}, id, text);
///     for (auto& append : queue.Flush(now)) Emit(std::move(append));
class AppendQueue {
 public:
  /// A settled record: what an append call did with it.
  struct RecordOutcome {
    base::StreamName stream;
    base::RecordId id;
    AppendOutcome outcome = AppendOutcome::kUnknown;
  };

  /// `calls_per_s` bounds the append calls of this instance.
  explicit AppendQueue(double calls_per_s) : calls_per_s_(calls_per_s) {}

  void Add(const base::StreamName& stream, base::RecordId id, std::string text);

  /// Append calls that are due now.
  std::vector<Append> Flush(base::TimePoint now);

  /// Result of a call; empty for an unknown one.
  std::vector<RecordOutcome> OnDone(const AppendDone& done);

  /// RecordCount waiting or in flight.
  std::size_t PendingRecords() const;
  std::uint64_t CallCount() const { return call_count_; }
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
  double call_tokens_ = kBurstCalls;
  base::TimePoint refilled_at_;
  std::map<base::StreamName, StreamQueue> stream_queues_;
  std::map<base::AppendId, InFlightCall> in_flight_;
  std::uint64_t last_call_ = 0;
  std::uint64_t call_count_ = 0;
  std::uint64_t record_count_ = 0;

  /// CallCount that may follow one another at once, so that an idle instance adds no delay.
  static constexpr double kBurstCalls = 4;
};

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_APPEND_QUEUE_HPP_
