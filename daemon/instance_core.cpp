#include "instance_core.hpp"

#include <utility>
#include <variant>

#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/net/caller_request.hpp"

namespace persimmonstair::daemon {
namespace {

using scheduler::Event;

// The scheduler bounds its stop itself; the process waits this much longer before it ends anyway.
constexpr std::chrono::seconds kStopMargin{1};
// Time to write the last answers after the scheduler has stopped.
constexpr std::chrono::seconds kLastAnswers{5};

}  // namespace

InstanceCore::InstanceCore(InstanceOptions options)
    : options_(std::move(options)),
      events_(options_.ring_capacity),
      pool_(options_.settings.caller.threads) {}

InstanceCore::~InstanceCore() { Shutdown(); }

base::Result<std::unique_ptr<InstanceCore>> InstanceCore::Start(InstanceOptions options,
                                                                const PlatformStarter& platform) {
  std::unique_ptr<InstanceCore> core(new InstanceCore(std::move(options)));
  auto port = platform(
      [core = core.get()](Event&& event) { return core->events_.TryPush(std::move(event)); });
  if (!port) return tl::make_unexpected(port.error());
  core->platform_ = std::move(*port);
  // Callers come after everything that their requests need, and the figures of all come last.
  for (const auto start : {&InstanceCore::StartTargets, &InstanceCore::StartPeers,
                           &InstanceCore::StartCallers, &InstanceCore::StartAdmin}) {
    if (auto started = (core.get()->*start)(); !started) {
      return tl::make_unexpected(started.error());
    }
  }
  diagnostics::Log(diagnostics::Level::kInfo, "listening",
                   {{"caller_port", core->CallerPort()},
                    {"admin_port", core->AdminPort()},
                    {"udp_port", core->UdpPort()},
                    {"tcp_port", core->TcpPort()}});
  return core;
}

base::Result<void> InstanceCore::StartTargets() {
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

base::Result<void> InstanceCore::StartCallers() {
  net::CallerServerOptions options;
  options.caller = options_.settings.caller;
  options.tls = options_.settings.tls;
  net::CallerServerHandlers handlers;
  handlers.next_request = [this] { return NextRequest(); };
  handlers.on_request = [this](scheduler::CallerRequest request) {
    return OnCallerRequest(std::move(request));
  };
  handlers.on_disconnect = [this](base::RequestId request) { OnCallerGone(request); };
  auto server = net::StartCallerServer(pool_, std::move(options), std::move(handlers));
  if (!server) return tl::make_unexpected(server.error());
  callers_ = std::move(*server);
  return {};
}

base::Result<void> InstanceCore::StartPeers() {
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
    OnPeer(from, incarnation, std::move(message));
  };
  handlers.on_send_failed = [this](base::InstanceId to, schema::PeerMessage message, bool sent) {
    OnPeerSendFailed(to, std::move(message), sent);
  };
  auto transport = net::StartPeerTransport(std::move(options), std::move(handlers));
  if (!transport) return tl::make_unexpected(transport.error());
  peers_ = std::move(*transport);
  return {};
}

base::Result<void> InstanceCore::StartAdmin() {
  auto server = StartAdminServer(
      options_.settings.bind_address, options_.settings.admin_port,
      [this](const std::string& method, const std::string& path) { return OnAdmin(method, path); });
  if (!server) return tl::make_unexpected(server.error());
  admin_ = std::move(*server);
  return {};
}

bool InstanceCore::OnCallerRequest(scheduler::CallerRequest request) {
  const base::RequestId id = request.request;
  {
    const std::lock_guard lock(mutex_);
    started_.emplace(id.value, Clock::now());
  }
  if (events_.PushRequest(std::move(request))) return true;
  const std::lock_guard lock(mutex_);
  started_.erase(id.value);
  metrics_.CountRingFull();
  return false;
}

void InstanceCore::OnCallerGone(base::RequestId request) {
  {
    const std::lock_guard lock(mutex_);
    started_.erase(request.value);
  }
  events_.Push(scheduler::CallerGone{request});
}

void InstanceCore::RequestStop() {
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    first = !stop_deadline_.has_value();
    if (first) {
      stop_deadline_ =
          Clock::now() + kStopMargin + std::chrono::milliseconds(options_.settings.stop.timeout_ms);
    }
  }
  if (!first) return End(Ending::kForced);
  diagnostics::Log(diagnostics::Level::kInfo, "stop_requested");
  callers_->BeginDrain();
  changed_.notify_all();
  events_.Push(scheduler::StopRequested{});
}

bool InstanceCore::ended() const {
  const std::lock_guard lock(mutex_);
  return ending_.has_value();
}

void InstanceCore::End(Ending ending) {
  {
    const std::lock_guard lock(mutex_);
    if (!ending_) ending_ = ending;
  }
  changed_.notify_all();
}

Ending InstanceCore::WaitForEnd() {
  std::unique_lock lock(mutex_);
  while (!ending_) {
    if (!stop_deadline_) {
      changed_.wait(lock);
    } else if (changed_.wait_until(lock, *stop_deadline_) == std::cv_status::timeout) {
      if (!ending_) ending_ = Ending::kForced;
    }
  }
  return *ending_;
}

void InstanceCore::Shutdown() {
  if (shut_down_) return;
  shut_down_ = true;
  const bool planned = ending_ == Ending::kStopped;
  const bool answered =
      callers_ && callers_->WaitUntilAnswered(planned ? kLastAnswers : std::chrono::seconds(0));
  if (callers_ && (!planned || !answered)) {
    diagnostics::Log(diagnostics::Level::kWarning, "left", {{"left", LeftText()}});
  }
  events_.Close();
  if (callers_) callers_->Stop();
  if (targets_) targets_->Stop();
  if (peers_) peers_->Stop();
  if (platform_.stop) platform_.stop();
  if (admin_) admin_->Stop();
  pool_.Stop();
}

std::string InstanceCore::LeftText() const {
  const std::lock_guard lock(mutex_);
  return std::to_string(started_.size()) + " unanswered requests, " +
         std::to_string(targets_ ? targets_->InFlight() : 0) + " running attempts, " +
         std::to_string(status_.unsettled) + " unsettled records";
}

void InstanceCore::SetStatus(scheduler::Status status) {
  const std::lock_guard lock(mutex_);
  status_ = std::move(status);
  status_at_ = Clock::now();
}

}  // namespace persimmonstair::daemon
