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

/// @brief Everything an instance needs beside its scheduler.
struct InstanceOptions {
  schema::Settings settings;
  net::Credentials credentials;
  std::string fleet_key;
  /// Text that differs between any two processes of the fleet.
  std::string process;
  base::Incarnation incarnation;
  /// Events that wait for the scheduler thread. Each open request causes only a few, so that this
  /// leaves room for `caller.max_connections` of its default.
  std::size_t ring_capacity = 65'536;
};

/// @brief The platform thread as the instance sees it.
struct PlatformInterface {
  std::function<void(scheduler::Append)> append;
  std::function<void(scheduler::FetchRecords)> fetch;
  std::function<void()> stop;
};

/// @brief Takes an event, or returns false and leaves it unchanged.
using EventSink = std::function<bool(scheduler::Event&&)>;
/// @brief Starts the platform thread; its events go into the sink.
using PlatformStarter = std::function<base::Result<PlatformInterface>(EventSink)>;

/// @brief How an instance ended.
enum class ExitReason { kStopped, kForced, kSuperseded };

/// Process exit codes.
inline constexpr int kExitStopped = 0;
inline constexpr int kExitForced = 1;
inline constexpr int kExitSuperseded = 3;

/// @brief Sockets, rings and counters of an instance: turns what happens on them into events and
/// executes actions. The scheduler thread owns the scheduler and calls Execute() and SetStatus().
class InstanceRuntime {
 public:
  static base::Result<std::unique_ptr<InstanceRuntime>> Start(InstanceOptions options,
                                                              const PlatformStarter& platform);
  ~InstanceRuntime();
  InstanceRuntime(const InstanceRuntime&) = delete;
  InstanceRuntime& operator=(const InstanceRuntime&) = delete;

  EventQueue& events() { return events_; }
  void Execute(scheduler::Action action);
  void SetStatus(scheduler::Status status);

  /// First call: planned stop. Second call: end at once. From any thread.
  void RequestStop();
  bool ended() const;
  /// Waits until the instance has ended, by itself or by the stop timeout.
  ExitReason WaitForEnd();
  /// Sends what has been answered, closes everything and reports what was left.
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
  bool OnCallerRequest(scheduler::CallerRequest request);
  void OnCallerGone(base::RequestId request);
  void OnTargetFailed(scheduler::TargetFailed failed);
  void OnRelay(base::RequestId request, std::string data);
  void OnPeerMessage(const base::InstanceId& from, base::Incarnation incarnation,
                     schema::PeerMessage message);
  void OnForwardedRequest(const base::InstanceId& from, base::Incarnation incarnation,
                          schema::PeerMessage message);
  void OnPeerSendFailed(const base::InstanceId& to, schema::PeerMessage message, bool sent);
  AdminResponse OnAdminRequest(const std::string& method, const std::string& path);
  std::string StatusText() const;
  std::string MetricsText();
  std::string UnfinishedWorkText() const;

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

  void CountReply(const scheduler::Reply& reply);
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
  std::condition_variable changed_;
  std::optional<ExitReason> exit_reason_;
  std::optional<Clock::time_point> stop_deadline_;
  scheduler::Status status_;
  Clock::time_point status_updated_at_ = Clock::now();
  std::unordered_map<std::uint64_t, Clock::time_point> request_start_times_;
  bool shut_down_ = false;
};

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_INSTANCE_RUNTIME_HPP_
