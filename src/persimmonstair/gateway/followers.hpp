#ifndef PERSIMMONSTAIR_SRC_GATEWAY_FOLLOWERS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_FOLLOWERS_HPP_

#include <string>

#include "persimmonstair/dispatch/deferred_removals.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/configuration.hpp"
#include "persimmonstair/gateway/platform_codec.hpp"
#include "retrying_record_store.hpp"
#include "target_connection_pool.hpp"

namespace persimmonstair::gateway {

/// @brief Follows the operator's configuration. The version in force never goes back.
class ConfigurationFollower {
 public:
  ConfigurationFollower(RetryingRecordStore& store, const PlatformCodec& codec)
      : store_(store), codec_(codec) {}

  /// Never returns.
  boost::asio::awaitable<void> Run();

  /// Null until a version is known.
  const ConfigurationPtr& Current() const { return current_; }
  /// When the store last confirmed that there is no newer version.
  base::TimePoint ConfirmedAt() const { return confirmed_at_; }

 private:
  void Apply(const std::vector<StoredRecord>& records);

  RetryingRecordStore& store_;
  const PlatformCodec& codec_;
  ConfigurationPtr current_;
  base::TimePoint confirmed_at_;
};

/// @brief Follows the platform's list of targets.
///
/// Entries may lapse while the store can't be reached; they come back soon after. So removals that
/// are read shortly after an outage take effect only after a while.
class TargetFollower {
 public:
  TargetFollower(RetryingRecordStore& store, const PlatformCodec& codec,
                 dispatch::TargetRegistry& target_registry, TargetConnectionPool& pool)
      : store_(store), codec_(codec), target_registry_(target_registry), pool_(pool) {}

  /// Never returns.
  boost::asio::awaitable<void> Run();

 private:
  void Apply(const KeyedRecord& record);
  void Remove(const base::TargetId& id);
  void RemoveDue();
  void CheckStoreRecovery();

  RetryingRecordStore& store_;
  const PlatformCodec& codec_;
  dispatch::TargetRegistry& target_registry_;
  TargetConnectionPool& pool_;
  dispatch::DeferredRemovals deferred_removals_;
  base::TimePoint recovered_at_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_FOLLOWERS_HPP_
