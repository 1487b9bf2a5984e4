#ifndef PERSIMMONSTAIR_SRC_GATEWAY_FOLLOWERS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_FOLLOWERS_HPP_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "persimmonstair/dispatch/deferred_removals.hpp"
#include "persimmonstair/dispatch/evacuations.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/configuration.hpp"
#include "persimmonstair/gateway/platform_codec.hpp"
#include "store_access/retrying_record_store.hpp"
#include "store_access/shared_reads.hpp"
#include "target_connection_pool.hpp"

namespace persimmonstair::gateway {

/// @brief Reads the operator's records from the store and applies them: new versions of the
/// configuration, whose applied version never decreases, and the evacuations of data centres.
class ConfigurationFollower {
 public:
  ConfigurationFollower(store_access::SharedReads& reads, const PlatformCodec& codec)
      : reads_(reads), codec_(codec), partition_{codec.ConfigurationStream(), 0} {
    reads_.ExpectLongRecords(partition_);
  }

  /// Sets the function that returns the number of instances that read the store themselves, on
  /// which the polls depend.
  void SetReaders(std::function<std::size_t()> readers) { readers_ = std::move(readers); }

  /// Called with all evacuated data centres whenever one is added or removed.
  using OnEvacuated = std::function<void(const std::set<base::DataCentreId>&)>;
  void SetOnEvacuated(OnEvacuated on_evacuated) { on_evacuated_ = std::move(on_evacuated); }

  /// Never returns.
  boost::asio::awaitable<void> Run();

  /// Data centres to whose targets no request is sent.
  const std::set<base::DataCentreId>& Evacuated() const { return evacuations_.DataCentres(); }

  /// The configuration in force; null until one has been read.
  const ConfigurationPtr& Current() const { return current_; }
  /// Time at which the store last confirmed that the configuration is current.
  base::TimePoint ConfirmedAt() const { return reads_.ConfirmedAt(partition_); }

 private:
  /// Applies the newest records of all keys.
  void ApplySnapshot(const RecordSnapshot& snapshot);
  void Apply(const std::vector<StoredRecord>& records);
  void ApplyEvacuations(const std::vector<StoredRecord>& records);
  void ApplyConfiguration(const std::vector<StoredRecord>& records);

  store_access::SharedReads& reads_;
  const PlatformCodec& codec_;
  Partition partition_;
  std::function<std::size_t()> readers_;
  OnEvacuated on_evacuated_;
  dispatch::Evacuations evacuations_;
  ConfigurationPtr current_;
};

/// @brief Reads the platform's list of targets from the store and updates the target registry.
///
/// Entries may expire while the store is unreachable and are written again soon after. Removals
/// that are read shortly after an outage are therefore delayed, and their targets are in doubt
/// until then: whether the store was away, or only the answers to this instance were late, isn't
/// known here.
class TargetFollower {
 public:
  TargetFollower(store_access::RetryingRecordStore& store, store_access::SharedReads& reads,
                 const PlatformCodec& codec, dispatch::TargetRegistry& target_registry,
                 TargetConnectionPool& pool)
      : store_(store),
        reads_(reads),
        codec_(codec),
        target_registry_(target_registry),
        pool_(pool),
        partition_{codec.TargetStream(), 0} {}

  /// Sets the function that returns the number of instances that read the store themselves, on
  /// which the polls depend.
  void SetReaders(std::function<std::size_t()> readers) { readers_ = std::move(readers); }

  /// Never returns.
  boost::asio::awaitable<void> Run();

  /// Time at which the list was last known to be current.
  base::TimePoint ConfirmedAt() const {
    return std::max(snapshot_at_, reads_.ConfirmedAt(partition_));
  }

 private:
  void Apply(const StoredRecord& stored);
  void ApplyEntry(base::Offset offset, const dispatch::TargetEntry& entry);
  void SetInDoubt(const base::TargetId& id);
  void Remove(const base::TargetId& id);
  void RemoveDue();
  void CheckStoreRecovery();

  store_access::RetryingRecordStore& store_;
  store_access::SharedReads& reads_;
  const PlatformCodec& codec_;
  dispatch::TargetRegistry& target_registry_;
  TargetConnectionPool& pool_;
  Partition partition_;
  std::function<std::size_t()> readers_;
  /// Time at which the last snapshot was asked for.
  base::TimePoint snapshot_at_;
  /// ConfirmedAt() before the records that are applied now were read.
  base::TimePoint confirmed_before_;
  dispatch::DeferredRemovals deferred_removals_;
  base::TimePoint recovered_at_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_FOLLOWERS_HPP_
