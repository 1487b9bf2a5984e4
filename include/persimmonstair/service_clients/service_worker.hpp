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

struct WorkerSettings {
  Endpoint log;
  /// Absent: no InstanceListRead events.
  std::optional<Endpoint> list;
  ClientSettings client;
  FollowerSettings follower;
  /// Pause between two reads of the instance list.
  base::Duration list_interval = std::chrono::seconds(1);
};

/// @brief Reads the addresses and the deadline from an instance's settings; kInvalidRequest names
/// the member that is not an address. The instance's id becomes part of the User-Agent.
base::Result<WorkerSettings> MakeWorkerSettings(const schema::PlatformSettings& settings,
                                                const base::InstanceId& instance);

/// @brief The platform thread of an instance: executes Append and FetchRecords actions, follows
/// streams and reads the instance list.
///
/// Produces LogRead, LogReadFailed, AppendDone, RecordsFetched and InstanceListRead. Each Append
/// that is taken yields exactly one AppendDone, also at Stop(). An event that finds no room in the
/// sink is offered again, so none is lost before Stop(). All members may be called from any thread.
///
///     ServiceWorker worker{settings, [&](auto&& e) { return ring.TryPush(std::move(e)); }};
///     worker.Follow({"control"}, base::Offset{0});
///     worker.Execute(std::get<scheduler::Append>(action));
class ServiceWorker {
 public:
  /// `sink` runs on the worker's thread.
  ServiceWorker(WorkerSettings settings, EventSink sink);
  ~ServiceWorker();
  ServiceWorker(const ServiceWorker&) = delete;
  ServiceWorker& operator=(const ServiceWorker&) = delete;

  /// Begins to follow a stream; a stream that is followed already is left as it is.
  void Follow(base::StreamName stream, base::Offset from);
  void Execute(scheduler::Append append);
  void Execute(scheduler::FetchRecords fetch);
  /// Breaks calls in flight, offers their results to the sink once and ends the thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_SERVICE_WORKER_HPP_
