#ifndef PERSIMMONSTAIR_DAEMON_INSTANCE_RUNTIME_HPP_
#define PERSIMMONSTAIR_DAEMON_INSTANCE_RUNTIME_HPP_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "admin_server.hpp"
#include "event_queue.hpp"
#include "forwarding_table.hpp"
#include "persimmonstair/diagnostics/metrics.hpp"
#include "persimmonstair/net/caller_server.hpp"
#include "persimmonstair/net/io_pool.hpp"
#include "persimmonstair/net/peer_transport.hpp"
#include "persimmonstair/net/target_client.hpp"
#include "persimmonstair/scheduler/actions.hpp"
#include "persimmonstair/scheduler/scheduler.hpp"
#include "persimmonstair/schema/settings.hpp"

namespace persimmonstair::daemon {

/// @brief Settings and secrets that an InstanceRuntime is started with.
struct InstanceOptions {
  schema::Settings settings;
  /// Bearer tokens for targets.
  net::Credentials credentials;
  /// Key that authenticates messages between instances.
  std::string fleet_key;
  /// Identifier of this process, unique in the fleet.
  std::string process;
  /// Larger than in earlier processes of this instance.
  base::Incarnation incarnation;
  /// Capacity of the scheduler thread's event queue. An open request causes only a few events, so
  /// this default is enough for the default of `caller.max_connections`.
  std::size_t ring_capacity = 65'536;
};

/// @brief Functions through which the instance uses the platform thread. Results come back as
/// events.
struct PlatformInterface {
  /// Appends records to the log.
  std::function<void(scheduler::Append)> append;
  /// Reads records of a stream.
  std::function<void(scheduler::FetchRecords)> fetch;
  /// Ends the thread.
  std::function<void()> stop;
};

/// @brief Adds an event to the event queue, or returns false and leaves the event unchanged.
using EventSink = std::function<bool(scheduler::Event&&)>;
/// @brief Starts the platform thread, which passes its events to the sink.
using PlatformStarter = std::function<base::Result<PlatformInterface>(EventSink)>;

/// @brief Why an instance ended.
enum class ExitReason {
  /// A planned stop was completed.
  kStopped,
  /// A planned stop timed out, or a second stop request ended the instance at once.
  kForced,
  /// Another process registered under the same instance id.
  kSuperseded
};

/// Exit codes of the process, one for each ExitReason.
inline constexpr int kExitStopped = 0;
inline constexpr int kExitForced = 1;
inline constexpr int kExitSuperseded = 3;

/// @brief Owns the servers, clients, event queue and metrics of an instance. Converts network and
/// platform input to scheduler events and executes the actions of the scheduler. The scheduler
/// thread owns the scheduler and calls Execute() and SetStatus().
class InstanceRuntime {
 public:
  /// Starts the platform thread and all servers. Returns the first error.
  static base::Result<std::unique_ptr<InstanceRuntime>> Start(InstanceOptions options,
                                                              const PlatformStarter& platform);
  ~InstanceRuntime();
  InstanceRuntime(const InstanceRuntime&) = delete;
  InstanceRuntime& operator=(const InstanceRuntime&) = delete;

  EventQueue& events() { return events_; }
  void Execute(scheduler::Action action);
  /// Stores the status that the admin server reports. Health depends on how recent it is.
  void SetStatus(scheduler::Status status);

  /// The first call begins a planned stop; a second call ends the instance at once. Thread-safe.
  void RequestStop();
  bool ended() const;
  /// Waits until the instance has ended or its planned stop has timed out.
  ExitReason WaitForEnd();
  /// Writes the replies that are still pending (only after a completed planned stop), closes all
  /// servers and clients and logs unfinished work. Later calls do nothing.
  void Shutdown();

  std::uint16_t CallerPort() const { return callers_->Port(); }
  std::uint16_t AdminPort() const { return admin_->Port(); }
  std::uint16_t UdpPort() const { return peers_->UdpPort(); }
  std::uint16_t TcpPort() const { return peers_->TcpPort(); }
  net::PeerTransport& peers() { return *peers_; }

 private:
  using Clock = std::chrono::steady_clock;

  explicit InstanceRuntime(InstanceOptions options);

  base::Result<void> StartTargets();
  base::Result<void> StartCallers();
  base::Result<void> StartPeers();
  base::Result<void> StartAdmin();

  base::RequestId NextRequestId() { return {++last_request_id_}; }
  // Returns false if the event queue has no space for the request.
  bool OnCallerRequest(scheduler::CallerRequest request);
  void OnCallerGone(base::RequestId request);
  void OnTargetFailed(scheduler::TargetFailed failed);
  // Passes part of a target's stream to the caller, or to the instance that forwarded the request.
  void OnRelay(base::RequestId request, std::string data);
  void OnPeerMessage(const base::InstanceId& from, base::Incarnation incarnation,
                     schema::PeerMessage message);
  // A request that another instance forwarded. Replies kOverloaded if the event queue has no space.
  void OnForwardedRequest(const base::InstanceId& from, base::Incarnation incarnation,
                          schema::PeerMessage message);
  void OnPeerSendFailed(const base::InstanceId& to, schema::PeerMessage message, bool sent);
  // Runs on the admin server's thread.
  AdminResponse OnAdminRequest(const std::string& method, const std::string& path);
  // Body of GET /status, as JSON.
  std::string StatusText() const;
  // Body of GET /metrics.
  std::string MetricsText();
  // Numbers of unanswered requests, running attempts and unsettled records, for the log.
  std::string UnfinishedWorkText() const;

  // Execute() calls the overload for the type of the action.
  void Run(scheduler::Reply reply);
  void Run(scheduler::Dispatch dispatch);
  void Run(scheduler::CancelAttempt cancel);
  void Run(scheduler::CloseIdleConnections close);
  void Run(scheduler::Append append);
  void Run(scheduler::FetchRecords fetch);
  void Run(scheduler::SendPeer send);
  void Run(scheduler::BroadcastPeer broadcast);
  void Run(scheduler::Stopped stopped);
  void Run(scheduler::Superseded superseded);

  // Records the status and the latency of a reply to a caller in the metrics.
  void CountReply(const scheduler::Reply& reply);
  // Ends the instance. Only the first reason is kept.
  void SetExitReason(ExitReason exit_reason);

  const InstanceOptions options_;
  EventQueue events_;
  diagnostics::Metrics metrics_;
  ForwardingTable forwarding_table_;
  std::atomic<std::uint64_t> last_request_id_{0};
  PlatformInterface platform_;
  net::IoPool pool_;
  std::unique_ptr<net::TargetClient> targets_;
  std::unique_ptr<net::CallerServer> callers_;
  std::unique_ptr<net::PeerTransport> peers_;
  std::unique_ptr<AdminServer> admin_;

  mutable std::mutex mutex_;
  // Notified when `exit_reason_` or `stop_deadline_` is set.
  std::condition_variable changed_;
  std::optional<ExitReason> exit_reason_;
  // Set when a planned stop begins; the instance is ended at this time at the latest.
  std::optional<Clock::time_point> stop_deadline_;
  scheduler::Status status_;
  Clock::time_point status_updated_at_ = Clock::now();
  // Arrival time of each unanswered caller request, by request id.
  std::unordered_map<std::uint64_t, Clock::time_point> request_start_times_;
  bool shut_down_ = false;
};

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_INSTANCE_RUNTIME_HPP_
