#ifndef PERSIMMONSTAIR_SRC_GATEWAY_FLEET_REGISTRY_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_FLEET_REGISTRY_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "crash_records.hpp"
#include "peer_socket.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/fleet/heartbeat_sender.hpp"
#include "persimmonstair/fleet/long_read_plan.hpp"
#include "persimmonstair/fleet/roster_collector.hpp"
#include "persimmonstair/fleet/roster_reader.hpp"
#include "persimmonstair/gateway/settings.hpp"
#include "persimmonstair/quota/local_shares.hpp"
#include "persimmonstair/quota/share_allocator.hpp"
#include "store_access/retrying_record_store.hpp"
#include "store_access/shared_reads.hpp"

namespace persimmonstair::gateway {

/// @brief Quota coordinators of a workspace that reported recently and may lend tokens of its rate.
struct ReachableCoordinators {
  /// Coordinator in this data centre, unless it is this instance.
  std::optional<dispatch::Endpoint> local;
  /// Coordinators in other data centres.
  std::vector<dispatch::Endpoint> remote;
  /// True if this instance is a coordinator.
  bool is_coordinator = false;
};

/// @brief The coordinator of a target's rate, as this instance sees it.
struct TargetCoordinator {
  /// True if this instance is the coordinator.
  bool is_self = false;
  /// Its address; empty if this instance is the coordinator or none is known.
  std::optional<dispatch::Endpoint> endpoint;
  /// Number of instances in the share table; 0 if there is no table yet.
  std::size_t instances = 0;
};

/// @brief Another instance that may open connections to targets for this one.
struct RelayCandidate {
  dispatch::Endpoint endpoint;
  /// True if it is in this instance's data centre.
  bool is_local = false;
};

/// @brief Exchanges state between the instances through the record store: share reports, share
/// tables and reports of requests that crash targets.
///
/// Instances send heartbeats to a collector of their data centre, which reports them all in one
/// append (fleet::RosterCollector), because a partition takes one append at a time.
///
/// Tables have their own partition. A table is written only if there is no newer one, and reports
/// in the same partition would make that condition fail.
class FleetRegistry {
 public:
  FleetRegistry(const boost::asio::any_io_executor& executor,
                store_access::RetryingRecordStore& store, store_access::SharedReads& reads,
                PeerSocket& socket, const GatewaySettings& settings, std::string process);

  /// Reads new records and writes tables; never returns.
  boost::asio::awaitable<void> Run();
  /// Sends heartbeats and reports the instances that send them to this one; never returns.
  boost::asio::awaitable<void> RunReports();

  /// Releases the shares by a final report; used by a planned stop.
  boost::asio::awaitable<void> ReportStopping(base::TimePoint deadline);

  quota::LocalShares& Shares() { return shares_; }
  /// Number of other instances that send heartbeats to this one.
  std::size_t CollectedInstances() const { return collector_.Members(); }
  /// Returns the address of the collector that reports this instance; nothing if it reports itself.
  std::optional<dispatch::Endpoint> Collector() const;
  /// Estimates how many instances read the store themselves: collectors read it for those that send
  /// them heartbeats.
  std::size_t StoreReaders() const;
  /// Returns this instance's place among those of its data centre that could read the store for
  /// the others. The collector is the first; so is an instance that knows no other one.
  fleet::ReaderRank StoreReaderRank() const;
  /// Number of instances in the share table; 0 if there is no table yet.
  std::size_t Holders() const { return allocator_.Table().holders.size(); }

  /// Returns the coordinators of the workspace that reported recently.
  ReachableCoordinators FindCoordinators(const base::WorkspaceId& workspace);

  /// Returns the instances that may write the reservations of the partition for this one, best
  /// first. Empty if this instance writes them, or if there is no share table yet.
  std::vector<dispatch::Endpoint> BudgetCoordinators(const Partition& partition);

  /// Returns the coordinator of the target's rate: the instance, first in the target's data centre,
  /// that hands out the tokens of the rate for all instances. Who reaches the target mostly reaches
  /// that data centre too, so a data centre that is cut off keeps the rates of its targets.
  TargetCoordinator FindTargetCoordinator(const dispatch::TargetEntry& target) const;
  /// True once the reports of the other instances have been read.
  bool KnowsReports() const { return reports_.loaded; }
  /// Returns the instances that reported recently, without this one.
  std::vector<dispatch::Endpoint> RecentPeers() const;
  /// Returns those of them that are in this instance's data centre.
  std::vector<dispatch::Endpoint> RecentNeighbours() const;
  /// Returns these instances in the order in which they keep copies of the stream that `key` names.
  /// All instances that know the same fleet get the same order, but for themselves. The first two
  /// are in two data centres if there are several.
  std::vector<dispatch::Endpoint> StreamKeepers(const std::string& key) const;
  /// Returns the same instances with what their choice for a relay depends on.
  std::vector<RelayCandidate> RelayCandidates() const;

  /// Crashes of targets while they ran requests. Other instances learn of new ones with the next
  /// read of the reports.
  CrashRecords& Crashes() { return crashes_; }

 private:
  /// A partition and the offset up to which it was read.
  struct FollowedPartition {
    Partition partition;
    bool loaded = false;
    base::Offset next;
  };

  /// Time between two reads of tables and reports.
  base::Duration PollInterval() const;
  /// Applies new records; false if the store did not answer.
  boost::asio::awaitable<bool> ReadNew(FollowedPartition& source, base::TimePoint deadline);
  boost::asio::awaitable<void> WriteTable();
  boost::asio::awaitable<void> WriteCrashes();
  /// Reports this instance and those that send it heartbeats, if an append is due.
  boost::asio::awaitable<void> Collect();
  /// Deletes this instance's roster, because another collector reports it.
  boost::asio::awaitable<void> RetireRoster();
  schema::ShareReport OwnReport(bool stopping) const;
  void SendHeartbeat(const std::string& collector, std::uint64_t sequence);
  void Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender);
  void Apply(const KeyedRecord& record);
  void Apply(const std::string& key, const schema::ShareReport& report);
  void Apply(const schema::ShareTable& table);
  void Apply(const base::InstanceId& collector, const fleet::RosterNews& news);
  /// Returns the other live instances that may collect heartbeats.
  std::vector<fleet::CollectorCandidate> CollectorCandidates() const;
  /// True if the instance reported recently or is this one.
  bool IsLive(const base::InstanceId& instance) const;
  /// `collector` is empty if the instance wrote the report itself.
  void UpdatePeer(const schema::ShareReport& report, const base::InstanceId& collector,
                  bool may_collect);

  store_access::RetryingRecordStore& store_;
  store_access::SharedReads& reads_;
  PeerSocket& socket_;
  base::InstanceId instance_;
  base::DataCentreId data_centre_;
  std::string process_;
  dispatch::Endpoint peer_;
  quota::LocalShares shares_;
  quota::ShareAllocator allocator_;
  FollowedPartition tables_{{{"fleet"}, 0}, false, {}};
  FollowedPartition reports_{{{"fleet"}, 1}, false, {}};
  fleet::HeartbeatSender heartbeats_;
  fleet::RosterCollector collector_;
  fleet::RosterReader rosters_;
  boost::asio::steady_timer report_timer_;
  /// Set by a planned stop.
  bool stopping_ = false;
  /// Time until which this instance leaves collecting to others, because its appends fail.
  base::TimePoint cannot_collect_until_;
  /// Time until which reports are also written for builds that read no rosters.
  base::TimePoint plain_reports_until_;
  base::TimePoint last_outage_end_;
  struct Peer {
    dispatch::Endpoint endpoint;
    base::DataCentreId data_centre;
    /// Identifier of the process that reported last.
    std::string process;
    base::TimePoint last_heard_at;
    /// Collector that reported the instance last.
    base::InstanceId collector;
    /// True if it understands heartbeats.
    bool may_collect = false;
  };
  std::map<base::InstanceId, Peer> peers_;
  /// Holders by partition, best first by rendezvous hashing; valid for the table of
  /// `ranking_round_`.
  std::map<Partition, std::vector<base::InstanceId>> ranking_;
  std::uint64_t ranking_round_ = 0;
  /// Cache of coordinators by workspace, valid for the table of `coordinators_round_`.
  std::unordered_map<base::WorkspaceId, std::vector<schema::ShareHolder>> coordinators_;
  std::uint64_t coordinators_round_ = 0;
  CrashRecords crashes_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_FLEET_REGISTRY_HPP_
