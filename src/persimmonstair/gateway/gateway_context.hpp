#ifndef PERSIMMONSTAIR_SRC_GATEWAY_GATEWAY_CONTEXT_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_GATEWAY_CONTEXT_HPP_

#include <algorithm>
#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "budget_client.hpp"
#include "budget_coordinator.hpp"
#include "budget_layout.hpp"
#include "budget_manager.hpp"
#include "clock.hpp"
#include "connection_table.hpp"
#include "crash_detector.hpp"
#include "fleet_registry.hpp"
#include "followers.hpp"
#include "log_rate.hpp"
#include "peer_socket.hpp"
#include "persimmonstair/diagnostics/metrics.hpp"
#include "persimmonstair/dispatch/program_admission.hpp"
#include "persimmonstair/dispatch/target_checks.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/platform_codec.hpp"
#include "persimmonstair/gateway/settings.hpp"
#include "quota_limiter.hpp"
#include "recent_programs.hpp"
#include "relay_server.hpp"
#include "request_memory.hpp"
#include "resource_plan.hpp"
#include "response_memory.hpp"
#include "store_access/partitions.hpp"
#include "store_access/relayed_record_store.hpp"
#include "store_access/retrying_record_store.hpp"
#include "store_access/shared_reads.hpp"
#include "store_access/store_relay_connector.hpp"
#include "stream_copier.hpp"
#include "target_connection_pool.hpp"
#include "target_connector.hpp"
#include "target_health.hpp"
#include "target_limiter.hpp"
#include "turn_store.hpp"

namespace persimmonstair::gateway {

/// @brief State and services of an entry instance that all its requests share.
struct GatewayContext {
  GatewayContext(const boost::asio::any_io_executor& executor_used, GatewaySettings settings_used,
                 const PlatformCodec& codec_used, RecordStore& records, std::string process)
      : executor(executor_used),
        settings(std::move(settings_used)),
        memory_plan(
            PlanMemory(settings.memory_bytes > 0 ? settings.memory_bytes : SystemMemoryLimit(),
                       settings.turn_cache_bytes)),
        descriptor_plan(
            PlanDescriptors(settings.max_fds > 0 ? settings.max_fds : SystemDescriptorLimit())),
        codec(codec_used),
        store_connector(executor),
        record_store(records, records.Through(store_connector)),
        store(record_store, metrics),
        peers(executor),
        reads(executor, store, peers, metrics, store_access::SharedReads::kStartTime),
        configuration(reads, codec),
        target_registry(settings.data_centre, settings.instance),
        target_checks(settings.target_leave_time),
        fleet(executor, store, reads, peers, settings, std::move(process)),
        connector(executor, fleet),
        crash_detector(connector, fleet.Crashes(), metrics),
        relays(target_registry, connector, settings.store, descriptor_plan.relays, stopping),
        pool(connector),
        targets(store, reads, codec, target_registry, pool),
        turns(executor, store, {"turns", store_access::kTurnStreams, settings.parts_of_stream},
              memory_plan.turn_cache, settings.store_limits),
        stream_copier(executor, peers, fleet, memory_plan.stream_copies),
        quota(executor, peers, fleet, configuration),
        target_limits(executor, peers, fleet, target_registry, metrics),
        target_health(peers, fleet, target_registry, metrics, settings),
        budget_layout(MakeBudgetLayout(settings.parts_of_stream, settings.store_writes_per_s)),
        budget_manager(executor, store,
                       {"budgets", store_access::kBudgetStreams, budget_layout.partitions},
                       budget_layout.append_interval),
        budget_coordinator(executor, peers, budget_manager, store, settings.reservation_timeout),
        budgets(executor, peers, fleet, budget_manager, settings.peer_answer_timeout),
        response_memory(memory_plan.responses),
        request_memory(memory_plan.requests),
        caller_connections(std::make_shared<ConnectionTable>(
            std::min(memory_plan.caller_connections, descriptor_plan.caller_connections))) {
    turns.SetMemory(request_memory);
    connector.OnHangingPath([this] { pool.DropAll(); });
    reads.SetCollector([this] { return fleet.Collector(); });
    reads.SetPeers([this] { return fleet.RecentPeers(); });
    reads.SetPeersKnown([this] { return fleet.KnowsReports(); });
    reads.SetNeighbours([this] { return fleet.RecentNeighbours(); });
    reads.SetReaderRank([this] { return fleet.StoreReaderRank(); });
    budget_manager.SetSettlements(
        [this](std::vector<schema::TokenReservation> unsettled, base::TimePoint deadline) {
          return turns.FindSettlements(std::move(unsettled), deadline);
        },
        [this] {
          const auto& current = configuration.Current();
          return current ? current->LongestStreamTimeout() : base::Duration{0};
        });
    relays.SetGet([this](boost::beast::tcp_stream& stream, std::string path) {
      return ServeRecords(stream, std::move(path));
    });
    configuration.SetOnEvacuated([this](const std::set<base::DataCentreId>& data_centres) {
      for (const auto& id : target_registry.Ids()) {
        const dispatch::TargetEntry& target = *target_registry.Find(id);
        if (data_centres.contains(target.data_centre)) {
          pool.DropTarget(id);
        } else if (target_registry.IsEvacuated(target.data_centre)) {
          SetColdAfterEvacuation(target);
        }
      }
      target_registry.SetEvacuated(data_centres);
    });
    configuration.SetReaders([this] { return fleet.StoreReaders(); });
    targets.SetReaders([this] { return fleet.StoreReaders(); });
    store_connector.SetCandidates([this] { return fleet.RelayCandidates(); });
    record_store.OnChanged([this] { store.OnPathChanged(); });
    relays.SetReachesStore([this] { return store.Up() && !record_store.IsRelayed(); });
  }

  /// A target that got no requests for a while may have become cold, which its entry tells later.
  void SetColdAfterEvacuation(const dispatch::TargetEntry& target) {
    const auto& current = configuration.Current();
    const Service* service = current ? current->FindService(target.service) : nullptr;
    if (service != nullptr && service->cold_rate_per_s > 0) {
      target_registry.SetCold(Now(), target.id, service->cold_time);
    }
  }

  /// Hands on records to another instance that asks for them at the peer port.
  boost::asio::awaitable<void> ServeRecords(boost::beast::tcp_stream& stream, std::string path) {
    const auto request = store_access::ParseRecordPath(path);
    if (request) {
      co_await reads.Transfers().Serve(stream, *request);
    }
  }

  boost::asio::any_io_executor executor;
  GatewaySettings settings;
  MemoryPlan memory_plan;
  DescriptorPlan descriptor_plan;
  const PlatformCodec& codec;
  diagnostics::Metrics metrics;
  store_access::StoreRelayConnector store_connector;
  store_access::RelayedRecordStore record_store;
  store_access::RetryingRecordStore store;
  PeerSocket peers;
  store_access::SharedReads reads;
  ConfigurationFollower configuration;
  dispatch::TargetRegistry target_registry;
  dispatch::TargetChecks target_checks;
  FleetRegistry fleet;
  TargetConnector connector;
  CrashDetector crash_detector;
  RelayServer relays;
  TargetConnectionPool pool;
  TargetFollower targets;
  TurnStore turns;
  StreamCopier stream_copier;
  QuotaLimiter quota;
  TargetLimiter target_limits;
  TargetHealthExchange target_health;
  BudgetLayout budget_layout;
  BudgetManager budget_manager;
  BudgetCoordinator budget_coordinator;
  BudgetClient budgets;
  RecentPrograms programs;
  dispatch::ProgramAdmission program_admission;
  dispatch::ProgramAges program_ages;
  ResponseMemory response_memory;
  RequestMemory request_memory;
  std::shared_ptr<ConnectionTable> caller_connections;
  /// Bytes that connections read only to discard them; never read.
  std::array<char, 65'536> discarded{};
  /// Requests that wait for room in `request_memory`.
  std::uint32_t waiting_for_room = 0;
  /// Lines about requests that can't be read or are refused before they are.
  LogRate refusal_log;
  /// Lines about callers' connections that were lost after a response.
  LogRate loss_log;
  /// Set by a planned stop; responses then ask callers to open new connections.
  bool stopping = false;
  /// Time by which a planned stop ends all requests; without one, there is no such time.
  base::TimePoint requests_end_at = base::TimePoint::max();
  /// Set by a planned stop once no new connections are accepted. Requests that may last longer than
  /// until `requests_end_at` are then refused.
  bool refuses_long_requests = false;
  /// Requests that were read at least in part and not yet answered.
  std::uint64_t open_requests = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_GATEWAY_CONTEXT_HPP_
