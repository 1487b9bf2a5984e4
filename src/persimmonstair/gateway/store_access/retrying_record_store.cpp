#include "store_access/retrying_record_store.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::gateway::store_access {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Result;
using boost::asio::awaitable;
using diagnostics::Level;
using diagnostics::Log;
using std::chrono::milliseconds;

/// Bounds of the time to wait for an answer before a call is sent again.
constexpr milliseconds kMinTimeout{150};
constexpr milliseconds kMaxTimeout{1200};
/// Timeout of a first attempt as a multiple of the smoothed latency.
constexpr int kTimeoutFactor = 4;
/// Bounds of the mean pause before a refused call is repeated. It doubles with each refusal,
/// because refused calls load the store too.
constexpr milliseconds kMinRefusedPause{40};
constexpr milliseconds kMaxRefusedPause{320};
/// Time after which an answer to a read is late, doubled with each attempt: a large record takes
/// some hundred milliseconds on the link of a small instance.
constexpr milliseconds kReadPatience{600};
constexpr int kMaxPatienceDoublings = 3;
/// Time after which an attempt to read is given up although no later read was answered either.
constexpr std::chrono::seconds kMaxReadTime{60};
/// An offset that no partition reaches.
constexpr base::Offset kBeyondAllRecords{std::uint64_t{1} << 62U};
/// Interval at which a waiting read checks whether it was overtaken.
constexpr milliseconds kOvertakenCheckInterval{100};
/// Time without a success, while calls fail, after which the store counts as unreachable.
constexpr milliseconds kUnreachableAfter{400};

/// Bytes of an append that an instance and the store pass on and write in a millisecond at least.
constexpr std::size_t kAppendedBytesPerMs = 4000;

std::size_t BytesRead(base::Offset /*appended*/) { return 0; }

// Returns the time that the records of an append take beyond the latency of a small one.
base::Duration TransferTime(const std::vector<KeyedRecord>& records) {
  std::size_t bytes = 0;
  for (const auto& record : records) bytes += SizeOf(record);
  return milliseconds{bytes / kAppendedBytesPerMs};
}

// Returns the bytes of the keys and values of a batch or snapshot.
template <class Records>
std::size_t BytesRead(const Records& read) {
  std::size_t bytes = 0;
  for (const auto& stored : read.records) {
    bytes += stored.record.key.size();
    if (stored.record.value) bytes += stored.record.value->size();
  }
  if constexpr (std::is_same_v<Records, RecordSnapshot>) bytes += read.skipped_bytes;
  return bytes;
}

}  // namespace

bool RetryingRecordStore::Up() const {
  return !failing_ || Now() - failing_since_ < kUnreachableAfter;
}

void RetryingRecordStore::OnPathChanged() { newest_answered_sent_at_ = Now(); }

base::Duration RetryingRecordStore::Timeout(int attempt) const {
  const base::Duration first =
      std::max<base::Duration>(kMinTimeout, kTimeoutFactor * smoothed_latency_);
  return std::min<base::Duration>(kMaxTimeout, first * (1 << std::min(attempt, 3)));
}

base::Duration RetryingRecordStore::RefusedPause(int attempt) {
  const base::Duration mean =
      std::min<base::Duration>(kMaxRefusedPause, kMinRefusedPause * (1 << std::min(attempt, 3)));
  std::uniform_int_distribution<base::Duration::rep> pause(mean.count() / 2, mean.count() * 3 / 2);
  return base::Duration{pause(random_)};
}

void RetryingRecordStore::OnSuccess(base::Duration took) {
  // Large reads take long without the store being slow.
  const base::Duration latency = std::min<base::Duration>(took, kMaxTimeout / kTimeoutFactor);
  smoothed_latency_ = (smoothed_latency_ * 7 + latency) / 8;
  const base::TimePoint now = Now();
  answered_at_ = now;
  if (!first_answered_at_) first_answered_at_ = now;
  if (!failing_) return;
  failing_ = false;
  if (reported_unreachable_) {
    reported_unreachable_ = false;
    recovered_at_ = now;
    Log(Level::kInfo, "store_regained", {{"lost_ms", base::ToMillis(now - failing_since_)}});
  }
}

void RetryingRecordStore::OnFailure(const base::Error& error) {
  const base::TimePoint now = Now();
  if (!failing_) {
    failing_ = true;
    failing_since_ = now;
  }
  if (!reported_unreachable_ && now - failing_since_ >= kUnreachableAfter) {
    reported_unreachable_ = true;
    Log(Level::kWarning, "store_lost", {{"error", error.message}});
  }
}

template <class T>
const Result<T>& RetryingRecordStore::TrackResult(const CallKind& kind, const Result<T>& result,
                                                  base::TimePoint sent_at, base::Duration waited) {
  const bool answered = result || result.error().code == ErrorCode::kConflict ||
                        result.error().code == ErrorCode::kNotFound;
  const base::Duration took = std::max(base::Duration{0}, Now() - sent_at - waited);
  const auto end = result ? StoreCallResult::kOk : ToStoreCallResult(result.error().code);
  counts_.Add({kind.call, end, took, result ? BytesRead(*result) : 0, kind.stream});
  if (answered) {
    OnSuccess(took);
    // Appends don't wait for reads, so their answers say nothing about a late read.
    if (kind.call != StoreCall::kAppend) {
      newest_answered_sent_at_ = std::max(newest_answered_sent_at_, sent_at);
    }
  } else {
    OnFailure(result.error());
  }
  return result;
}

template <class T, class Send>
awaitable<Result<T>> RetryingRecordStore::CallWithRetry(CallKind kind, base::TimePoint deadline,
                                                        Send send) {
  for (int attempt = 0;; ++attempt) {
    const base::TimePoint now = Now();
    if (attempt > 0 && now >= deadline) break;
    const base::Duration left = std::max<base::Duration>(milliseconds{1}, deadline - now);
    Result<T> result = co_await send(std::min(left, Timeout(attempt) + kind.transfer_time));
    TrackResult(kind, result, now, {});
    if (result || result.error().code == ErrorCode::kNotFound) co_return result;
    if (result.error().code == ErrorCode::kInvalidRequest) co_return result;
    if (result.error().code != ErrorCode::kTimeout) co_await Sleep(RefusedPause(attempt));
  }
  co_return Fail(ErrorCode::kLogUnavailable,
                 "record store: no successful answer before the deadline",
                 base::Verdict::kMayHaveRun);
}

bool RetryingRecordStore::IsOvertaken(base::TimePoint sent_at, base::Duration wait,
                                      int attempt) const {
  const base::Duration patience = kReadPatience * (1 << std::min(attempt, kMaxPatienceDoublings));
  const bool overtaken = newest_answered_sent_at_ > sent_at + wait || probes_.IsLost(sent_at);
  return overtaken && Now() - sent_at >= wait + patience;
}

bool RetryingRecordStore::IsSilent(base::TimePoint sent_at, base::Duration wait) const {
  return Now() - sent_at >= wait + Timeout(0) && newest_answered_sent_at_ <= sent_at + wait;
}

void RetryingRecordStore::Probe(const boost::asio::any_io_executor& executor) {
  if (!probes_.IsDue(Now())) return;
  boost::asio::co_spawn(executor, SendProbe(), boost::asio::detached);
}

awaitable<void> RetryingRecordStore::SendProbe() {
  // The end of a partition, from which nothing is read. Any answer will do, also that there are no
  // records at this offset.
  const Partition partition{{"fleet"}, 0};
  const ReadOptions options{{}, kMaxReadTime};
  const base::TimePoint sent_at = Now();
  const std::uint64_t probe = probes_.OnSent(sent_at);
  const auto result = co_await store_.Read(partition, kBeyondAllRecords, options);
  const auto end = result ? StoreCallResult::kOk : ToStoreCallResult(result.error().code);
  counts_.Add({StoreCall::kProbe, end, Now() - sent_at, 0, {}});
  const ErrorCode code = result ? ErrorCode::kNotFound : result.error().code;
  if (code == ErrorCode::kNotFound || code == ErrorCode::kInvalidRequest) {
    probes_.OnAnswered(probe);
  } else if (code != ErrorCode::kTimeout) {
    probes_.OnRefused(probe);
  }
}

template <class T, class Send>
awaitable<void> RetryingRecordStore::SendRead(std::shared_ptr<PendingRead<T>> read,
                                              ReadLimits limits, Send send) {
  const base::TimePoint sent_at = Now();
  ++read->in_flight;
  const base::Duration left = std::max<base::Duration>(milliseconds{1}, limits.deadline - sent_at);
  Result<T> result = co_await send(std::min<base::Duration>(left, kMaxReadTime));
  --read->in_flight;
  TrackResult(limits.kind, result, sent_at, limits.wait);
  const bool final = result || result.error().code == ErrorCode::kNotFound ||
                     result.error().code == ErrorCode::kInvalidRequest;
  if (final && !read->result) read->result = std::move(result);
  read->changed.cancel();
}

template <class T, class Send>
awaitable<Result<T>> RetryingRecordStore::ReadWithRetry(ReadLimits limits, Send send) {
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto read = std::make_shared<PendingRead<T>>(executor);
  base::TimePoint sent_at;
  for (int attempt = 0; !read->result && (attempt == 0 || Now() < limits.deadline);) {
    if (read->in_flight == 0 && attempt > 0) {
      co_await Sleep(RefusedPause(attempt - 1));
    }
    if (read->in_flight == 0 || IsOvertaken(sent_at, limits.wait, attempt - 1)) {
      ++attempt;
      sent_at = Now();
      boost::asio::co_spawn(executor, SendRead<T>(read, limits, send), boost::asio::detached);
      // Nothing else may show the loss of a process's first reads.
      if (newest_answered_sent_at_ == base::TimePoint{}) Probe(executor);
    }
    if (IsSilent(sent_at, limits.wait)) {
      Probe(executor);
      OnFailure({ErrorCode::kTimeout, "the answer is late", base::Verdict::kNotRun, {}});
    }
    const base::Duration left = std::max<base::Duration>(limits.deadline - Now(), milliseconds{1});
    read->changed.expires_after(std::min<base::Duration>(left, kOvertakenCheckInterval));
    co_await read->changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  if (read->result) co_return *std::move(read->result);
  co_return Fail(ErrorCode::kLogUnavailable,
                 "record store: no successful answer before the deadline");
}

awaitable<Result<base::Offset>> RetryingRecordStore::Append(Partition partition,
                                                            std::vector<KeyedRecord> records,
                                                            base::TimePoint deadline) {
  CallKind kind{StoreCall::kAppend, StreamKind(partition.stream)};
  kind.transfer_time = TransferTime(records);
  co_return co_await CallWithRetry<base::Offset>(
      std::move(kind), deadline, [&](base::Duration timeout) {
        return store_.Append(partition, records, timeout, std::nullopt);
      });
}

awaitable<Result<base::Offset>> RetryingRecordStore::AppendOnce(Partition partition,
                                                                std::vector<KeyedRecord> records,
                                                                base::Duration timeout) {
  const base::TimePoint sent_at = Now();
  const auto result = co_await store_.Append(partition, records, timeout, std::nullopt);
  const CallKind kind{StoreCall::kAppend, StreamKind(partition.stream)};
  co_return TrackResult(kind, result, sent_at, {});
}

awaitable<Result<base::Offset>> RetryingRecordStore::AppendIf(Partition partition,
                                                              std::vector<KeyedRecord> records,
                                                              base::Offset expected) {
  const base::TimePoint sent_at = Now();
  const auto result = co_await store_.Append(partition, records, Timeout(1), expected);
  const CallKind kind{StoreCall::kAppend, StreamKind(partition.stream)};
  co_return TrackResult(kind, result, sent_at, {});
}

awaitable<Result<RecordSnapshot>> RetryingRecordStore::ReadNewest(Partition partition,
                                                                  base::TimePoint deadline) {
  CallKind kind{StoreCall::kReadNewest, StreamKind(partition.stream)};
  return ReadWithRetry<RecordSnapshot>(
      {std::move(kind), deadline, {}},
      [this, partition = std::move(partition)](base::Duration timeout) {
        return store_.ReadNewest(partition, timeout);
      });
}

awaitable<Result<RecordSnapshot>> RetryingRecordStore::ReadNewestOf(Partition partition,
                                                                    base::TimePoint deadline,
                                                                    RecordFilter filter) {
  CallKind kind{StoreCall::kReadNewest, StreamKind(partition.stream)};
  return ReadWithRetry<RecordSnapshot>(
      {std::move(kind), deadline, {}},
      [this, partition = std::move(partition), filter = std::move(filter)](base::Duration timeout) {
        return store_.ReadNewestOf(partition, timeout, filter);
      });
}

awaitable<Result<RecordBatch>> RetryingRecordStore::Read(Partition partition, base::Offset from,
                                                         base::TimePoint deadline) {
  CallKind kind{StoreCall::kRead, StreamKind(partition.stream)};
  return ReadWithRetry<RecordBatch>(
      {std::move(kind), deadline, {}},
      [this, partition = std::move(partition), from](base::Duration timeout) {
        return store_.Read(partition, from, {{}, timeout});
      });
}

awaitable<Result<RecordBatch>> RetryingRecordStore::Poll(Partition partition, base::Offset from,
                                                         base::Duration wait) {
  CallKind kind{StoreCall::kRead, StreamKind(partition.stream)};
  return ReadWithRetry<RecordBatch>(
      {std::move(kind), Now() + wait + kMaxReadTime, wait},
      [this, partition = std::move(partition), from, wait](base::Duration timeout) {
        return store_.Read(partition, from, {wait, wait + timeout});
      });
}

}  // namespace persimmonstair::gateway::store_access
