#ifndef PERSIMMONSTAIR_SRC_GATEWAY_FOLLOWERS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_FOLLOWERS_HPP_

#include <string>

#include "durable_store.hpp"
#include "persimmonstair/dispatch/deferred_removals.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/configuration.hpp"
#include "persimmonstair/gateway/platform_codec.hpp"
#include "target_connection_pool.hpp"

namespace persimmonstair::gateway {

/// @brief Follows the operator's configuration. The version in force never goes back.
class ConfigurationFollower {
 public:
  ConfigurationFollower(DurableStore& store, const PlatformCodec& dialect)
      : store_(store), dialect_(dialect) {}

  /// Never returns.
  boost::asio::awaitable<void> Run();

  /// Null until a version is known.
  const ConfigurationPtr& Current() const { return current_; }
  /// When the store last confirmed that there is no newer version.
  base::TimePoint ConfirmedAt() const { return confirmed_at_; }

 private:
  void Apply(const std::vector<PlacedRecord>& records);

  DurableStore& store_;
  const PlatformCodec& dialect_;
  ConfigurationPtr current_;
  base::TimePoint confirmed_at_;
};

/// @brief Follows the platform's list of targets.
///
/// Entries may lapse while the store can't be reached; they come back soon after. So removals that
/// are read shortly after an outage take effect only after a while.
class TargetFollower {
 public:
  TargetFollower(DurableStore& store, const PlatformCodec& dialect, dispatch::TargetRegistry& board,
                 TargetConnectionPool& pool)
      : store_(store), dialect_(dialect), board_(board), pool_(pool) {}

  /// Never returns.
  boost::asio::awaitable<void> Run();

 private:
  void Apply(const KeyedRecord& record);
  void Remove(const base::TargetId& id);
  void RemoveLapsed();
  void NoteRegained();

  DurableStore& store_;
  const PlatformCodec& dialect_;
  dispatch::TargetRegistry& board_;
  TargetConnectionPool& pool_;
  dispatch::DeferredRemovals lapsed_;
  base::TimePoint regained_at_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_FOLLOWERS_HPP_
