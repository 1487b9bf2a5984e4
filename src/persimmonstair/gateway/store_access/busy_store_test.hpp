#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_BUSY_STORE_TEST_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_BUSY_STORE_TEST_HPP_

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "clock.hpp"
#include "persimmonstair/gateway/record_store.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief A store that serves one read of the newest records after the other. It also completes
/// reads whose callers have given up, as a server does that has begun to answer. It has one
/// partition, which it returns for every name.
class BusyStore : public RecordStore {
 public:
  /// Each read of the newest records takes `read_time` of the store and returns the records at its
  /// start, at first `content`.
  BusyStore(base::Duration read_time, RecordSnapshot content)
      : read_time_(read_time), content_(std::move(content)), log_(content_.records) {}

  boost::asio::awaitable<base::Result<base::Offset>> Append(
      const Partition& /*partition*/, const std::vector<KeyedRecord>& records,
      base::Duration /*timeout*/, std::optional<base::Offset> /*expected*/) override {
    ++appends_;
    std::size_t bytes = 0;
    for (const auto& record : records) bytes += SizeOf(record);
    largest_append_ = std::max(largest_append_, bytes);
    const bool refused =
        !refused_key.empty() && !records.empty() && records.front().key.starts_with(refused_key);
    if (refused) co_return base::Fail(base::ErrorCode::kOverloaded, "refused");
    const base::Offset first = content_.next;
    for (const auto& record : records) {
      std::erase_if(content_.records,
                    [&](const auto& stored) { return stored.record.key == record.key; });
      if (record.value) content_.records.push_back({content_.next, record});
      log_.push_back({content_.next, record});
      ++content_.next.value;
    }
    co_return first;
  }

  boost::asio::awaitable<base::Result<RecordBatch>> Read(const Partition& /*partition*/,
                                                         base::Offset from,
                                                         ReadOptions options) override {
    ++polls_;
    if (from >= content_.next) co_await Sleep(std::min(options.wait, options.timeout));
    RecordBatch batch;
    for (const auto& stored : log_) {
      if (stored.offset >= from) batch.records.push_back(stored);
    }
    batch.next = std::max(from, content_.next);
    batch.end = batch.next;
    co_return batch;
  }

  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewest(const Partition& /*partition*/,
                                                                  base::Duration timeout) override {
    ++reads_;
    served_until_ = std::max(served_until_, Now()) + read_time_;
    const base::Duration wait = served_until_ - Now();
    RecordSnapshot content = content_;
    co_await Sleep(std::min(wait, timeout));
    if (wait > timeout) co_return base::Fail(base::ErrorCode::kTimeout, "no answer in time");
    co_return content;
  }

  /// Refuses appends whose first key begins with this; empty for none.
  std::string refused_key;

  /// Deletes the first record whose key begins with `prefix`.
  void Delete(const std::string& prefix) {
    const auto it =
        std::find_if(content_.records.begin(), content_.records.end(),
                     [&](const auto& one) { return one.record.key.starts_with(prefix); });
    if (it != content_.records.end()) content_.records.erase(it);
  }

  /// Number of reads of the newest records, abandoned ones included.
  std::size_t Reads() const { return reads_; }
  /// Number of reads from an offset.
  std::size_t Polls() const { return polls_; }
  std::size_t Appends() const { return appends_; }
  /// Bytes of the records of the largest append.
  std::size_t LargestAppend() const { return largest_append_; }
  /// The newest records.
  const RecordSnapshot& Content() const { return content_; }

 private:
  base::Duration read_time_;
  RecordSnapshot content_;
  /// All records, in the order of their offsets.
  std::vector<StoredRecord> log_;
  base::TimePoint served_until_;
  std::size_t reads_ = 0;
  std::size_t polls_ = 0;
  std::size_t appends_ = 0;
  std::size_t largest_append_ = 0;
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_BUSY_STORE_TEST_HPP_
