#include "store_access/relayed_record_store.hpp"

#include <utility>

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::gateway::store_access {
namespace {

using base::ErrorCode;
using base::Result;
using boost::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kProbeCheckInterval{100};
/// Longer than a probe through another data centre takes while the store is well.
constexpr milliseconds kProbeTimeout{400};

// True if the store works: an answer to this call, whatever it says.
template <class T>
bool IsAnswer(const Result<T>& result) {
  if (result) return true;
  const ErrorCode code = result.error().code;
  return code == ErrorCode::kConflict || code == ErrorCode::kNotFound ||
         code == ErrorCode::kInvalidRequest;
}

}  // namespace

template <class T, class Call>
awaitable<Result<T>> RelayedRecordStore::Send(base::Duration wait, Call call) {
  if (path_.IsRelayed()) {
    Result<T> result = co_await call(*relayed_);
    path_.OnRelayed(IsAnswer(result));
    co_return result;
  }
  const std::uint64_t id = path_.OnSent(Now(), wait);
  Result<T> result = co_await call(direct_);
  path_.OnEnded(Now(), id, IsAnswer(result));
  co_return result;
}

awaitable<Result<base::Offset>> RelayedRecordStore::Append(const Partition& partition,
                                                           const std::vector<KeyedRecord>& records,
                                                           base::Duration timeout,
                                                           std::optional<base::Offset> expected) {
  return Send<base::Offset>({}, [&partition, &records, timeout, expected](RecordStore& store) {
    return store.Append(partition, records, timeout, expected);
  });
}

awaitable<Result<RecordBatch>> RelayedRecordStore::Read(const Partition& partition,
                                                        base::Offset from, ReadOptions options) {
  return Send<RecordBatch>(options.wait, [&partition, from, options](RecordStore& store) {
    return store.Read(partition, from, options);
  });
}

awaitable<Result<RecordSnapshot>> RelayedRecordStore::ReadNewest(const Partition& partition,
                                                                 base::Duration timeout) {
  return Send<RecordSnapshot>({}, [&partition, timeout](RecordStore& store) {
    return store.ReadNewest(partition, timeout);
  });
}

awaitable<Result<RecordSnapshot>> RelayedRecordStore::ReadNewestOf(const Partition& partition,
                                                                   base::Duration timeout,
                                                                   RecordFilter filter) {
  return Send<RecordSnapshot>(
      {}, [&partition, timeout, filter = std::move(filter)](RecordStore& store) {
        return store.ReadNewestOf(partition, timeout, filter);
      });
}

awaitable<void> RelayedRecordStore::Probe() {
  RecordStore& other = path_.IsRelayed() ? direct_ : *relayed_;
  // Any answer will do, also that records at this offset were dropped.
  const Partition partition{{"fleet"}, 0};
  const auto result = co_await other.Read(partition, {}, {{}, kProbeTimeout});
  const bool before = path_.IsRelayed();
  path_.OnProbe(Now(), IsAnswer(result));
  if (path_.IsRelayed() == before) co_return;
  diagnostics::Log(diagnostics::Level::kWarning, "path_to_store_changed",
                   {{"relayed", path_.IsRelayed()}});
  if (on_changed_) on_changed_();
}

awaitable<void> RelayedRecordStore::RunProbes() {
  while (relayed_) {
    if (path_.TakeProbe(Now())) {
      co_await Probe();
    }
    co_await Sleep(kProbeCheckInterval);
  }
}

}  // namespace persimmonstair::gateway::store_access
