#ifndef PERSIMMONSTAIR_SRC_GATEWAY_FLEET_REGISTRY_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_FLEET_REGISTRY_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/settings.hpp"
#include "persimmonstair/quota/local_shares.hpp"
#include "persimmonstair/quota/share_allocator.hpp"
#include "retrying_record_store.hpp"

namespace persimmonstair::gateway {

/// Targets that a request may crash before no instance sends it any more.
inline constexpr std::size_t kMaxCrashedTargets = 3;

/// @brief Instances that may lend tokens of one workspace's rate.
struct ReachableCoordinators {
  /// The home in the asking instance's data centre, unless it is that instance itself.
  std::optional<dispatch::Endpoint> local;
  /// Coordinators in other data centres.
  std::vector<dispatch::Endpoint> remote;
  /// True if the asking instance is a home.
  bool is_coordinator = false;
};

/// @brief What the instances tell each other through the store: reports and tables of shares, and
/// requests that crash targets. Tables have a partition of their own, so that a table can be
/// written on the condition that there is no newer one while reports arrive all the time.
class FleetRegistry {
 public:
  FleetRegistry(RetryingRecordStore& store, const GatewaySettings& settings, std::string process);

  /// Reads and reports about once a second; never returns.
  boost::asio::awaitable<void> Run();

  /// Gives up the shares; for a planned stop.
  boost::asio::awaitable<void> ReportStopping(base::TimePoint deadline);

  quota::LocalShares& Shares() { return shares_; }

  /// Coordinators of the workspace that reported lately.
  ReachableCoordinators FindCoordinators(const base::WorkspaceId& workspace);

  /// Notes that a target went away while it ran a request.
  void ReportCrash(std::uint64_t fingerprint, const base::TargetId& target);
  /// True if the request crashed so many targets that it is not sent again.
  bool IsPoison(std::uint64_t fingerprint) const;

 private:
  struct Crashes {
    std::set<base::TargetId> targets;
    std::int64_t expires_ms = 0;
  };

  /// One partition and how far it was read.
  struct FollowedPartition {
    Partition partition;
    bool loaded = false;
    base::Offset next;
  };

  /// Applies what is new; false if the store did not answer.
  boost::asio::awaitable<bool> ReadNew(FollowedPartition& source, base::TimePoint deadline);
  boost::asio::awaitable<void> Report(bool stopping, base::TimePoint deadline);
  boost::asio::awaitable<void> WriteTable();
  void Apply(const KeyedRecord& record);
  void UpdatePeer(const schema::ShareReport& report);
  void ExpireCrashes();

  RetryingRecordStore& store_;
  base::InstanceId instance_;
  base::DataCentreId data_centre_;
  std::string process_;
  dispatch::Endpoint peer_;
  quota::LocalShares shares_;
  quota::ShareAllocator allocator_;
  FollowedPartition tables_{{{"fleet"}, 0}, false, {}};
  FollowedPartition reports_{{{"fleet"}, 1}, false, {}};
  base::TimePoint reported_at_;
  base::TimePoint last_outage_end_;
  struct Peer {
    dispatch::Endpoint endpoint;
    base::TimePoint last_heard_at;
  };
  std::map<base::InstanceId, Peer> peers_;
  /// Coordinators under the table of `coordinators_round_`, computed when they are needed first.
  std::unordered_map<base::WorkspaceId, std::vector<schema::ShareHolder>> coordinators_;
  std::uint64_t coordinators_round_ = 0;
  std::map<std::uint64_t, Crashes> crashes_;
  std::vector<schema::CrashReport> unsent_crashes_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_FLEET_REGISTRY_HPP_
