#include "instance_runtime.hpp"

#include <utility>
#include <variant>

#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/net/caller_request.hpp"

namespace persimmonstair::daemon {
namespace {

using scheduler::Event;

// The scheduler enforces the stop timeout itself. If it does not, the process ends this much later.
constexpr std::chrono::seconds kStopMargin{1};
// Longest time for writing pending replies after the scheduler has stopped.
constexpr std::chrono::seconds kFinalResponseTimeout{5};

}  // namespace

InstanceRuntime::InstanceRuntime(InstanceOptions options)
    : options_(std::move(options)),
      events_(options_.ring_capacity),
      pool_(options_.settings.caller.threads) {}

InstanceRuntime::~InstanceRuntime() { Shutdown(); }

base::Result<std::unique_ptr<InstanceRuntime>> InstanceRuntime::Start(
    InstanceOptions options, const PlatformStarter& platform) {
  std::unique_ptr<InstanceRuntime> runtime(new InstanceRuntime(std::move(options)));
  auto platform_interface = platform([runtime = runtime.get()](Event&& event) {
    return runtime->events_.TryPush(std::move(event));
  });
  if (!platform_interface) return tl::make_unexpected(platform_interface.error());
  runtime->platform_ = std::move(*platform_interface);
  // The caller server starts after the components that requests use. The admin server starts last
  // because its metrics read all other components.
  for (const auto start : {&InstanceRuntime::StartTargets, &InstanceRuntime::StartPeers,
                           &InstanceRuntime::StartCallers, &InstanceRuntime::StartAdmin}) {
    if (auto started = (runtime.get()->*start)(); !started) {
      return tl::make_unexpected(started.error());
    }
  }
  diagnostics::Log(diagnostics::Level::kInfo, "listening",
                   {{"caller_port", runtime->CallerPort()},
                    {"admin_port", runtime->AdminPort()},
                    {"udp_port", runtime->UdpPort()},
                    {"tcp_port", runtime->TcpPort()}});
  return runtime;
}

base::Result<void> InstanceRuntime::StartTargets() {
  net::TargetClientOptions options;
  options.credentials = options_.credentials;
  options.correlation_prefix = options_.process;
  net::TargetClientHandlers handlers;
  handlers.on_first_byte = [this](scheduler::TargetFirstByte event) { events_.Push(event); };
  handlers.on_done = [this](scheduler::TargetDone event) {
    metrics_.CountAttempt("done");
    events_.Push(std::move(event));
  };
  handlers.on_failed = [this](scheduler::TargetFailed event) { OnTargetFailed(event); };
  handlers.relay = [this](base::RequestId request, std::string data) {
    OnRelay(request, std::move(data));
  };
  targets_ = net::MakeTargetClient(pool_, std::move(options), std::move(handlers));
  return {};
}

base::Result<void> InstanceRuntime::StartCallers() {
  net::CallerServerOptions options;
  options.caller = options_.settings.caller;
  options.tls = options_.settings.tls;
  net::CallerServerHandlers handlers;
  handlers.next_request = [this] { return NextRequestId(); };
  handlers.on_request = [this](scheduler::CallerRequest request) {
    return OnCallerRequest(std::move(request));
  };
  handlers.on_disconnect = [this](base::RequestId request) { OnCallerGone(request); };
  auto server = net::StartCallerServer(pool_, std::move(options), std::move(handlers));
  if (!server) return tl::make_unexpected(server.error());
  callers_ = std::move(*server);
  return {};
}

base::Result<void> InstanceRuntime::StartPeers() {
  net::PeerTransportOptions options;
  options.instance = options_.settings.instance;
  options.incarnation = options_.incarnation;
  options.bind_address = options_.settings.bind_address;
  options.udp_port = static_cast<std::uint16_t>(options_.settings.udp_port);
  options.tcp_port = static_cast<std::uint16_t>(options_.settings.tcp_port);
  options.fleet_key = options_.fleet_key;
  options.peers = options_.settings.peers;
  net::PeerTransportHandlers handlers;
  handlers.on_message = [this](base::InstanceId from, base::Incarnation incarnation,
                               schema::PeerMessage message) {
    OnPeerMessage(from, incarnation, std::move(message));
  };
  handlers.on_send_failed = [this](base::InstanceId to, schema::PeerMessage message, bool sent) {
    OnPeerSendFailed(to, std::move(message), sent);
  };
  auto transport = net::StartPeerTransport(std::move(options), std::move(handlers));
  if (!transport) return tl::make_unexpected(transport.error());
  peers_ = std::move(*transport);
  return {};
}

base::Result<void> InstanceRuntime::StartAdmin() {
  auto server = StartAdminServer(options_.settings.bind_address, options_.settings.admin_port,
                                 [this](const std::string& method, const std::string& path) {
                                   return OnAdminRequest(method, path);
                                 });
  if (!server) return tl::make_unexpected(server.error());
  admin_ = std::move(*server);
  return {};
}

bool InstanceRuntime::OnCallerRequest(scheduler::CallerRequest request) {
  const base::RequestId id = request.request;
  {
    const std::lock_guard lock(mutex_);
    request_start_times_.emplace(id.value, Clock::now());
  }
  if (events_.PushRequest(std::move(request))) return true;
  const std::lock_guard lock(mutex_);
  request_start_times_.erase(id.value);
  metrics_.CountRingFull();
  return false;
}

void InstanceRuntime::OnCallerGone(base::RequestId request) {
  {
    const std::lock_guard lock(mutex_);
    request_start_times_.erase(request.value);
  }
  events_.Push(scheduler::CallerGone{request});
}

void InstanceRuntime::RequestStop() {
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    first = !stop_deadline_.has_value();
    if (first) {
      stop_deadline_ =
          Clock::now() + kStopMargin + std::chrono::milliseconds(options_.settings.stop.timeout_ms);
    }
  }
  if (!first) return SetExitReason(ExitReason::kForced);
  diagnostics::Log(diagnostics::Level::kInfo, "stop_requested");
  callers_->BeginDrain();
  changed_.notify_all();
  events_.Push(scheduler::StopRequested{});
}

bool InstanceRuntime::ended() const {
  const std::lock_guard lock(mutex_);
  return exit_reason_.has_value();
}

void InstanceRuntime::SetExitReason(ExitReason exit_reason) {
  {
    const std::lock_guard lock(mutex_);
    if (!exit_reason_) exit_reason_ = exit_reason;
  }
  changed_.notify_all();
}

ExitReason InstanceRuntime::WaitForEnd() {
  std::unique_lock lock(mutex_);
  while (!exit_reason_) {
    if (!stop_deadline_) {
      changed_.wait(lock);
    } else if (changed_.wait_until(lock, *stop_deadline_) == std::cv_status::timeout) {
      if (!exit_reason_) exit_reason_ = ExitReason::kForced;
    }
  }
  return *exit_reason_;
}

void InstanceRuntime::Shutdown() {
  if (shut_down_) return;
  shut_down_ = true;
  const bool planned = exit_reason_ == ExitReason::kStopped;
  const bool answered = callers_ && callers_->WaitUntilAnswered(planned ? kFinalResponseTimeout
                                                                        : std::chrono::seconds(0));
  if (callers_ && (!planned || !answered)) {
    diagnostics::Log(diagnostics::Level::kWarning, "left", {{"left", UnfinishedWorkText()}});
  }
  events_.Close();
  if (callers_) callers_->Stop();
  if (targets_) targets_->Stop();
  if (peers_) peers_->Stop();
  if (platform_.stop) platform_.stop();
  if (admin_) admin_->Stop();
  pool_.Stop();
}

std::string InstanceRuntime::UnfinishedWorkText() const {
  const std::lock_guard lock(mutex_);
  return std::to_string(request_start_times_.size()) + " unanswered requests, " +
         std::to_string(targets_ ? targets_->InFlight() : 0) + " running attempts, " +
         std::to_string(status_.unsettled) + " unsettled records";
}

void InstanceRuntime::SetStatus(scheduler::Status status) {
  const std::lock_guard lock(mutex_);
  status_ = std::move(status);
  status_updated_at_ = Clock::now();
}

}  // namespace persimmonstair::daemon
