#ifndef PERSIMMONSTAIR_SRC_GATEWAY_CORE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_CORE_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <string>

#include "budget_keeper.hpp"
#include "durable_store.hpp"
#include "fleet_keeper.hpp"
#include "followers.hpp"
#include "known_programs.hpp"
#include "partitions.hpp"
#include "persimmonstair/diagnostics/metrics.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/platform_codec.hpp"
#include "persimmonstair/gateway/settings.hpp"
#include "quota_gate.hpp"
#include "target_connection_pool.hpp"
#include "turn_keeper.hpp"

namespace persimmonstair::gateway {

/// @brief The parts of an entry instance that its requests share.
struct Core {
  Core(const boost::asio::any_io_executor& executor_used, GatewaySettings settings_used,
       const PlatformCodec& dialect_used, RecordStore& records, std::string process)
      : executor(executor_used),
        settings(std::move(settings_used)),
        dialect(dialect_used),
        store(records),
        configuration(store, dialect),
        board(settings.data_centre),
        pool(executor),
        targets(store, dialect, board, pool),
        turns(executor, store, {"turns", settings.parts_of_stream}, settings.turn_cache_bytes),
        budgets(executor, store, {"budgets", settings.parts_of_stream}),
        fleet(store, settings, std::move(process)),
        quota(executor, fleet, configuration) {}

  boost::asio::any_io_executor executor;
  GatewaySettings settings;
  const PlatformCodec& dialect;
  DurableStore store;
  ConfigurationFollower configuration;
  dispatch::TargetRegistry board;
  TargetConnectionPool pool;
  TargetFollower targets;
  TurnKeeper turns;
  BudgetKeeper budgets;
  FleetKeeper fleet;
  QuotaGate quota;
  KnownPrograms programs;
  diagnostics::Metrics metrics;
  /// Set by a planned stop: answers ask callers to use other connections.
  bool stopping = false;
  /// Requests of which a part was read and that are not answered.
  std::uint64_t open_requests = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_CORE_HPP_
