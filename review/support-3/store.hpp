#ifndef REVIEW_SUPPORT_3_STORE_HPP_
#define REVIEW_SUPPORT_3_STORE_HPP_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "net.hpp"

namespace review {

/// @brief Stand-in of the platform's metadata store, as far as PROTOCOL.md describes what the
/// system uses of it: log-append, log-read and log-newest.
class Store {
 public:
  /// Limits of the settings' `platform` table.
  static constexpr std::size_t kRecordBytes = 262'144;
  static constexpr std::size_t kCallBytes = 2'097'152;
  /// "When 400 MB are stored in total, appends receive 507." Counted are the newest records alone.
  static constexpr std::size_t kStoredBytes = 400'000'000;
  static constexpr milliseconds kAppendTime{4};
  static constexpr double kReadBytesPerS = 80e6;

  explicit Store(const std::string& ip);

  const Address& At() const { return listener_->At(); }
  /// Writes a record as the operator or a worker does; none drops the key.
  void Put(const std::string& topic, const std::string& key, const std::string& value);
  void Drop(const std::string& topic, const std::string& key) { Put(topic, key, ""); }

  /// While set, the store is down: connections are reset and new ones too.
  void SetDown(bool down);
  bool IsDown() const { return down_; }
  /// Appends that were refused because a record or a call was too long.
  int TooLong() const { return too_long_; }
  /// Appends that were refused because the store is full, and the bytes that it holds.
  int Full() const { return full_; }
  std::size_t StoredBytes() const { return stored_bytes_; }
  /// Keys that a topic and partition hold now, with the sizes of their values.
  std::map<std::string, std::size_t> Keys(const std::string& topic, int part) const;
  /// Bytes of the newest values of a topic's partition.
  std::size_t Bytes(const std::string& topic, int part) const;

 private:
  struct Entry {
    std::string key;
    std::shared_ptr<const std::string> value;
  };
  struct Part {
    std::vector<Entry> log;
    /// Offset of the newest record of each key that has a value.
    std::map<std::string, std::size_t> newest;
    std::mutex append;
  };
  using PartId = std::pair<std::string, int>;

  void Serve(Connection& connection);
  std::string Answer(const Message& request);
  std::string Append(const Message& request, const PartId& id);
  std::string ReadLog(const Message& request, const PartId& id);
  std::string Newest(const Message& request, const PartId& id);
  Part& PartOf(const PartId& id);
  /// Waits until the store has read so many bytes; all reads share its rate.
  void TakeReadTime(std::size_t bytes);
  void Add(Part& part, Entry entry);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<PartId, std::unique_ptr<Part>> parts_;
  std::mutex reading_;
  /// Time at which the reads that were asked for so far are done.
  Clock::time_point reads_done_;
  std::atomic<bool> down_{false};
  std::atomic<int> too_long_{0};
  std::atomic<int> full_{0};
  std::atomic<std::size_t> stored_bytes_{0};
  std::unique_ptr<Listener> listener_;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_3_STORE_HPP_
