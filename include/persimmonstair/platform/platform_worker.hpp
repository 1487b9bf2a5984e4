#ifndef PERSIMMONSTAIR_PLATFORM_PLATFORM_WORKER_HPP_
#define PERSIMMONSTAIR_PLATFORM_PLATFORM_WORKER_HPP_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "persimmonstair/platform/log_client.hpp"
#include "persimmonstair/platform/log_follower.hpp"
#include "persimmonstair/schema/settings.hpp"

namespace persimmonstair::platform {

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
///     PlatformWorker worker{settings, [&](auto&& e) { return ring.TryPush(std::move(e)); }};
///     worker.Follow({"control"}, base::Offset{0});
///     worker.Execute(std::get<scheduler::Append>(action));
class PlatformWorker {
 public:
  /// `sink` runs on the worker's thread.
  PlatformWorker(WorkerSettings settings, EventSink sink);
  ~PlatformWorker();
  PlatformWorker(const PlatformWorker&) = delete;
  PlatformWorker& operator=(const PlatformWorker&) = delete;

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

}  // namespace persimmonstair::platform

#endif  // PERSIMMONSTAIR_PLATFORM_PLATFORM_WORKER_HPP_
