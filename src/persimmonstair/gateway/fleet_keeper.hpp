#ifndef PERSIMMONSTAIR_SRC_GATEWAY_FLEET_KEEPER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_FLEET_KEEPER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "durable_store.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/settings.hpp"
#include "persimmonstair/quota/share_allocator.hpp"
#include "persimmonstair/quota/share_use.hpp"

namespace persimmonstair::gateway {

/// Targets that a request may crash before no instance sends it any more.
inline constexpr std::size_t kMaxCrashedTargets = 3;

/// @brief Instances that may lend tokens of one workspace's rate.
struct Lenders {
  /// The home in the asking instance's data centre, unless it is that instance itself.
  std::optional<dispatch::Endpoint> near;
  /// Homes in other data centres.
  std::vector<dispatch::Endpoint> far;
  /// True if the asking instance is a home.
  bool self = false;
};

/// @brief What the instances tell each other through the store: reports and tables of shares, and
/// requests that crash targets. Tables have a partition of their own, so that a table can be
/// written on the condition that there is no newer one while reports arrive all the time.
class FleetKeeper {
 public:
  FleetKeeper(DurableStore& store, const GatewaySettings& settings, std::string process);

  /// Reads and reports about once a second; never returns.
  boost::asio::awaitable<void> Run();

  /// Gives up the shares; for a planned stop.
  boost::asio::awaitable<void> Leave(base::TimePoint deadline);

  quota::ShareUse& Shares() { return use_; }

  /// Homes of the workspace that reported lately.
  Lenders LendersOf(const base::WorkspaceId& workspace);

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
  struct Source {
    Partition partition;
    bool loaded = false;
    base::Offset next;
  };

  /// Applies what is new; false if the store did not answer.
  boost::asio::awaitable<bool> ReadNew(Source& source, base::TimePoint deadline);
  boost::asio::awaitable<void> Report(bool stopping, base::TimePoint deadline);
  boost::asio::awaitable<void> WriteTable();
  void Apply(const KeyedRecord& record);
  void NotePeer(const schema::ShareReport& report);
  void ExpireCrashes();

  DurableStore& store_;
  base::InstanceId instance_;
  base::DataCentreId data_centre_;
  std::string process_;
  dispatch::Endpoint peer_;
  quota::ShareUse use_;
  quota::ShareAllocator allocator_;
  Source tables_{{{"fleet"}, 0}, false, {}};
  Source reports_{{{"fleet"}, 1}, false, {}};
  base::TimePoint reported_at_;
  base::TimePoint outage_seen_;
  struct Peer {
    dispatch::Endpoint endpoint;
    base::TimePoint heard_at;
  };
  std::map<base::InstanceId, Peer> peers_;
  /// Homes under the table of `homes_round_`, computed when they are needed first.
  std::unordered_map<base::WorkspaceId, std::vector<schema::ShareHolder>> homes_;
  std::uint64_t homes_round_ = 0;
  std::map<std::uint64_t, Crashes> crashes_;
  std::vector<schema::CrashReport> unsent_crashes_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_FLEET_KEEPER_HPP_
