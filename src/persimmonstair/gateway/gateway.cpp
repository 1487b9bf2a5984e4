#include "persimmonstair/gateway/gateway.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "caller_connection.hpp"
#include "clock.hpp"
#include "gateway_context.hpp"
#include "info_server.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/sockets/send_monitor.hpp"

namespace persimmonstair::gateway {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using diagnostics::Level;
using diagnostics::Log;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMaintenanceInterval{500};
constexpr milliseconds kStoreSummaryInterval{1000};
constexpr milliseconds kAcceptPause{20};
constexpr std::string_view kTooManyConnections =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";
/// Time from the start of a stop until the listening socket is closed. The platform checks
/// readiness once a second and redirects callers after two failed checks.
constexpr milliseconds kStopAcceptTime{3200};
/// Time reserved for the last answers and the final writes before the process is killed.
constexpr milliseconds kStopMargin{900};
/// Time in which requests that are ended by the stop write their answers.
constexpr milliseconds kLastAnswersTime{200};
constexpr milliseconds kFinalWriteTimeout{500};
constexpr milliseconds kStopPollInterval{40};

std::string NewProcessName() {
  std::random_device random;
  return std::to_string(random()) + std::to_string(random());
}

}  // namespace

struct Gateway::Impl {
  Impl(asio::io_context& io, GatewaySettings settings, const PlatformCodec& codec,
       RecordStore& store)
      : context(io.get_executor(), std::move(settings), codec, store, NewProcessName()) {}

  /// Returns what keeps this instance from taking new connections; empty if it is ready.
  std::string_view MissingForReadiness() {
    const auto& configuration = context.configuration.Current();
    if (context.stopping) return "stopping";
    if (!configuration) return "configuration";
    if (!context.store.Up()) return "store";
    const bool has_shares =
        !configuration->HasWorkspaces() || context.fleet.Shares().HasLease(Now());
    return has_shares ? "" : "shares";
  }

  bool Ready() {
    const std::string_view missing = MissingForReadiness();
    if (missing != missing_for_readiness) {
      missing_for_readiness = missing;
      Log(Level::kInfo, "readiness_changed",
          {{"ready", missing.empty()},
           {"missing", missing},
           {"targets", context.target_registry.size()}});
    }
    return missing.empty();
  }

  void Spawn(awaitable<void> task) {
    asio::co_spawn(context.executor, std::move(task), [](const std::exception_ptr& error) {
      if (!error) return;
      try {
        std::rethrow_exception(error);
      } catch (const std::exception& what) {
        Log(Level::kError, "task_ended", {{"error", what.what()}});
      }
      // Without this background task the instance would go on serving with stale state.
      std::terminate();
    });
  }

  awaitable<void> Accept() {
    while (callers->is_open()) {
      auto [ec, socket] = co_await callers->async_accept(asio::as_tuple(asio::use_awaitable));
      if (ec) {
        co_await Sleep(kAcceptPause);
        continue;
      }
      if (!context.caller_connections->MakeRoom(Now())) {
        RefuseConnection(socket);
        continue;
      }
      auto connection = std::make_shared<CallerConnection>(context, std::move(socket));
      connections.push_back(connection);
      asio::co_spawn(context.executor, connection->Run(),
                     [connection](const std::exception_ptr& error) {
                       if (error) Log(Level::kError, "caller_connection_failed");
                     });
    }
  }

  /// Answers a connection for which there is no place, as far as it takes the answer at once.
  void RefuseConnection(tcp::socket& socket) {
    boost::system::error_code ignored;  // The connection is closed in any case.
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(kTooManyConnections), ignored);
    context.metrics.CountClientRefusal("too_many_connections");
    const auto left_out = context.refusal_log.Take(Now());
    if (left_out) Log(Level::kWarning, "connection_refused", {{"left_out", *left_out}});
  }

  awaitable<void> RunMaintenance() {
    for (;;) {
      co_await Sleep(kMaintenanceInterval);
      context.pool.CloseIdle();
      context.stream_copier.Expire(Now());
      context.programs.Expire(Now());
      context.target_limits.DropUnused();
      connections.remove_if([](const auto& one) { return one.expired(); });
    }
  }

  awaitable<void> LogStoreCalls() {
    for (;;) {
      co_await Sleep(kStoreSummaryInterval);
      const auto summary = context.store.Counts().TakeSummary();
      if (summary) Log(Level::kWarning, "store_calls", *summary);
    }
  }

  InfoResponse Metrics() {
    const auto& configuration = context.configuration.Current();
    const auto gauge = [this](const char* name, const char* help, double value) {
      context.metrics.SetGauge(name, help, value);
    };
    gauge("persimmonstair_configuration_version", "Version in force",
          configuration ? static_cast<double>(configuration->Version()) : 0);
    gauge("persimmonstair_open_requests", "Requests that are not answered",
          static_cast<double>(context.open_requests));
    gauge("persimmonstair_targets", "Targets in the list",
          static_cast<double>(context.target_registry.size()));
    const base::TimePoint now = Now();
    gauge("persimmonstair_targets_age_seconds",
          "Time since the list of targets was known to be current",
          base::ToSeconds(now - context.targets.ConfirmedAt()));
    gauge("persimmonstair_configuration_age_seconds",
          "Time since the configuration was known to be current",
          base::ToSeconds(now - context.configuration.ConfirmedAt()));
    gauge("persimmonstair_targets_rate_limited", "Targets that name a rate limit",
          static_cast<double>(context.target_registry.LimitedTargets()));
    gauge("persimmonstair_targets_ejected",
          "Targets that failed more than others and get no requests",
          static_cast<double>(context.target_registry.Outliers().Ejected()));
    gauge("persimmonstair_targets_leaving_unlisted",
          "Targets that said in a response that they leave and are listed as in service",
          static_cast<double>(context.target_registry.LeavingUnlisted()));
    gauge("persimmonstair_target_connections_opened", "Connections opened to targets",
          static_cast<double>(context.pool.Opened()));
    gauge("persimmonstair_path_to_targets",
          "Way to the targets: 0 direct, 1 in doubt, 2 only through other instances",
          static_cast<double>(context.connector.Path()));
    gauge("persimmonstair_target_connections_by_relay",
          "Connections to targets that other instances relayed for this one",
          static_cast<double>(context.connector.Relayed()));
    gauge("persimmonstair_target_connections_relayed",
          "Connections to targets that this instance relayed for others",
          static_cast<double>(context.relays.Opened()));
    gauge("persimmonstair_turn_cache_bytes", "Kept turns in memory",
          static_cast<double>(context.turns.CachedBytes()));
    gauge("persimmonstair_response_bytes_held", "Bytes of targets' responses in memory",
          static_cast<double>(context.response_memory.Held()));
    gauge("persimmonstair_request_bytes_held", "Bytes of callers' requests in memory",
          static_cast<double>(context.request_memory.Held()));
    gauge("persimmonstair_caller_connections", "Open connections of callers",
          static_cast<double>(context.caller_connections->Size()));
    gauge("persimmonstair_connections_read_late",
          "Connections whose peer has closed its receive window and is there",
          static_cast<double>(sockets::SendMonitor::Of(context.executor).LateReaders()));
    gauge("persimmonstair_caller_connections_max", "Connections of callers that may be open",
          static_cast<double>(context.caller_connections->Max()));
    gauge("persimmonstair_budget_messages_pending",
          "Reservations and settlements of other instances that are not in the store yet",
          static_cast<double>(context.budget_coordinator.Pending()));
    gauge("persimmonstair_data_centres_evacuated",
          "Data centres to whose targets no request is sent",
          static_cast<double>(context.configuration.Evacuated().size()));
    gauge("persimmonstair_targets_in_doubt",
          "Targets whose entries are missing since the store was away",
          static_cast<double>(context.target_registry.InDoubt()));
    gauge("persimmonstair_store_reachable", "1 if the store answers", context.store.Up() ? 1 : 0);
    gauge("persimmonstair_fleet_holders", "Instances in the share table",
          static_cast<double>(context.fleet.Holders()));
    gauge("persimmonstair_fleet_collected", "Instances whose heartbeats this one reports",
          static_cast<double>(context.fleet.CollectedInstances()));
    gauge("persimmonstair_store_path_relayed", "1 if calls of the store go through other instances",
          context.record_store.IsRelayed() ? 1 : 0);
    gauge("persimmonstair_log_lines_dropped", "Log lines lost for want of room",
          static_cast<double>(diagnostics::DroppedLines()));
    for (const auto& [service, load] : context.program_admission.Loads(now)) {
      context.metrics.SetServiceLoad(service.value, load);
    }
    return {200, context.metrics.Text()};
  }

  template <class Function>
  void ForEachConnection(Function function) {
    for (const auto& one : connections) {
      if (const auto connection = one.lock()) function(*connection);
    }
  }

  /// Waits until no request is open, and with `relays_too` no relayed connection, or until `end`.
  awaitable<void> AwaitRequests(base::TimePoint end, bool relays_too) {
    while (Now() < end) {
      const std::uint64_t relayed = relays_too ? context.relays.Open() : 0;
      if (context.open_requests + relayed == 0) co_return;
      co_await Sleep(kStopPollInterval);
    }
  }

  awaitable<void> Stop(std::function<void()> stopped) {
    const base::TimePoint begun_at = Now();
    const base::TimePoint end = begun_at + context.settings.stop_grace_period - kStopMargin;
    context.stopping = true;
    context.requests_end_at = end;
    context.budget_coordinator.Stop();
    Log(Level::kInfo, "stop_begun", {{"open_requests", context.open_requests}});
    // A short grace period leaves half of its time to the requests.
    co_await Sleep(std::min<base::Duration>(kStopAcceptTime, (end - begun_at) / 2));
    callers->close();
    context.refuses_long_requests = true;
    ForEachConnection([](CallerConnection& one) { one.CloseIfIdle(); });
    co_await AwaitRequests(end, true);
    ForEachConnection([](CallerConnection& one) { one.EndRequest(); });
    co_await AwaitRequests(Now() + kLastAnswersTime, false);
    const base::TimePoint deadline = Now() + kFinalWriteTimeout;
    co_await context.budgets.Flush(deadline);
    co_await context.fleet.ReportStopping(deadline);
    Log(context.open_requests == 0 ? Level::kInfo : Level::kWarning, "stopped",
        {{"open_requests", context.open_requests}, {"ms", base::ToMillis(Now() - begun_at)}});
    stopped();
  }

  GatewayContext context;
  std::optional<tcp::acceptor> callers;
  std::optional<tcp::acceptor> readiness;
  std::optional<tcp::acceptor> metrics;
  std::optional<tcp::acceptor> relays;
  std::list<std::weak_ptr<CallerConnection>> connections;
  /// What was missing when readiness was asked for last.
  std::string missing_for_readiness = "start";
};

Gateway::Gateway(asio::io_context& io, GatewaySettings settings, const PlatformCodec& codec,
                 RecordStore& store)
    : impl_(std::make_unique<Impl>(io, std::move(settings), codec, store)) {}

Gateway::~Gateway() = default;

base::Result<void> Gateway::Start() {
  Impl& impl = *impl_;
  const auto listen = [&impl](std::optional<tcp::acceptor>& acceptor,
                              const dispatch::Endpoint& endpoint) -> base::Result<void> {
    auto opened = Listen(impl.context.executor, endpoint);
    if (!opened) return tl::make_unexpected(opened.error());
    acceptor.emplace(std::move(*opened));
    return {};
  };
  const GatewaySettings& settings = impl.context.settings;
  if (auto result = listen(impl.callers, settings.listen); !result) return result;
  if (auto result = listen(impl.readiness, settings.readiness_listen); !result) return result;
  if (auto result = listen(impl.metrics, settings.metrics_listen); !result) return result;
  if (auto result = impl.context.peers.Listen(settings.peer_listen); !result) return result;
  if (auto result = listen(impl.relays, settings.peer_listen); !result) return result;
  impl.Spawn(impl.context.peers.Run());
  impl.Spawn(impl.context.relays.Run(*impl.relays));
  impl.Spawn(impl.context.configuration.Run());
  impl.Spawn(impl.context.targets.Run());
  impl.Spawn(impl.context.fleet.Run());
  impl.Spawn(impl.context.fleet.RunReports());
  impl.Spawn(impl.context.record_store.RunProbes());
  impl.Spawn(impl.context.turns.DropExpired());
  impl.Spawn(impl.context.budget_manager.DropExpired());
  impl.Spawn(impl.context.target_health.Run());
  impl.Spawn(impl.RunMaintenance());
  impl.Spawn(impl.LogStoreCalls());
  impl.Spawn(impl.Accept());
  impl.Spawn(
      ServeInfo(*impl.readiness, impl.context.request_memory, [&impl](std::string_view path) {
        if (path != impl.context.settings.readiness_path) return InfoResponse{404, ""};
        return InfoResponse{impl.Ready() ? 200U : 503U, ""};
      }));
  impl.Spawn(ServeInfo(*impl.metrics, impl.context.request_memory, [&impl](std::string_view path) {
    return path == "/metrics" ? impl.Metrics() : InfoResponse{404, ""};
  }));
  Log(Level::kInfo, "started",
      {{"listen", settings.listen.address + ":" + std::to_string(settings.listen.port)},
       {"data_centre", settings.data_centre.value}});
  return {};
}

std::uint16_t Gateway::CallerPort() const { return impl_->callers->local_endpoint().port(); }

bool Gateway::Ready() const { return impl_->MissingForReadiness().empty(); }

std::size_t Gateway::KnownTargets() const { return impl_->context.target_registry.size(); }

bool Gateway::HasConfiguration() const { return impl_->context.configuration.Current() != nullptr; }

std::uint64_t Gateway::ConfigurationVersion() const {
  return HasConfiguration() ? impl_->context.configuration.Current()->Version() : 0;
}

void Gateway::Stop(std::function<void()> stopped) {
  if (!impl_->context.stopping) impl_->Spawn(impl_->Stop(std::move(stopped)));
}

}  // namespace persimmonstair::gateway
