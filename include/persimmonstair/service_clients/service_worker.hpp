#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_SERVICE_WORKER_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_SERVICE_WORKER_HPP_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "persimmonstair/schema/settings.hpp"
#include "persimmonstair/service_clients/log_client.hpp"
#include "persimmonstair/service_clients/log_follower.hpp"

namespace persimmonstair::service_clients {

/// @brief Endpoints and intervals of a ServiceWorker.
struct WorkerSettings {
  /// Log service.
  Endpoint log;
  /// Service with the platform's instance list. If empty, the list is not read.
  std::optional<Endpoint> list;
  ClientSettings client;
  FollowerSettings follower;
  /// Pause between two reads of the instance list.
  base::Duration list_interval = std::chrono::seconds(1);
};

/// @brief Takes the endpoints and the timeout from the settings of an instance. Returns
/// kInvalidRequest with the name of the member that is not a valid address. The instance id becomes
/// part of the User-Agent.
base::Result<WorkerSettings> MakeWorkerSettings(const schema::PlatformSettings& settings,
                                                const base::InstanceId& instance);

/// @brief Thread that calls the platform services for an instance: executes Append and FetchRecords
/// actions, follows streams of the log and polls the instance list.
///
/// Delivers LogRead, LogReadFailed, AppendDone, RecordsFetched and InstanceListRead events. Each
/// Append that is executed yields exactly one AppendDone, also at Stop(). An event that the sink
/// rejects is offered again, so no event is lost before Stop(). All functions may be called from
/// any thread.
///
///     ServiceWorker worker{settings, [&](auto&& e) { return ring.TryPush(std::move(e)); }};
///     worker.Follow({"control"}, base::Offset{0});
///     worker.Execute(std::get<scheduler::Append>(action));
class ServiceWorker {
 public:
  /// `sink` is called on the thread of the worker.
  ServiceWorker(WorkerSettings settings, EventSink sink);
  ~ServiceWorker();
  ServiceWorker(const ServiceWorker&) = delete;
  ServiceWorker& operator=(const ServiceWorker&) = delete;

  /// Starts to follow a stream at `from`. Has no effect if the stream is already followed.
  void Follow(base::StreamName stream, base::Offset from);
  void Execute(scheduler::Append append);
  void Execute(scheduler::FetchRecords fetch);
  /// Aborts calls in flight, offers each of their results to the sink once and waits for the thread
  /// to end. Later calls of Follow() and Execute() have no effect.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_SERVICE_WORKER_HPP_
