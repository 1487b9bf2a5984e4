#include <utility>
#include <variant>

#include "instance_runtime.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::daemon {

void InstanceRuntime::Execute(scheduler::Action action) {
  std::visit([this](auto&& alternative) { Run(std::forward<decltype(alternative)>(alternative)); },
             std::move(action));
}

void InstanceRuntime::CountReply(const scheduler::Reply& reply) {
  Clock::time_point started;
  {
    const std::lock_guard lock(mutex_);
    const auto it = request_start_times_.find(reply.request.value);
    // Requests that another instance forwarded have no start time here; that instance counts them.
    if (it == request_start_times_.end()) return;
    started = it->second;
    request_start_times_.erase(it);
  }
  const auto latency = std::chrono::duration_cast<base::Duration>(Clock::now() - started);
  metrics_.CountAnswer(reply.workspace.value, reply.entry_class, reply.status, latency);
}

void InstanceRuntime::Run(scheduler::Reply reply) {
  if (auto remote = forwarding_table_.TakeIncoming(reply.request)) {
    peers_->SendReliable(remote->from,
                         schema::ForwardedReply{remote->request, reply.status,
                                                std::move(reply.headers), std::move(reply.body)});
    return;
  }
  CountReply(reply);
  forwarding_table_.RemoveOutgoing(reply.request);
  callers_->Reply(std::move(reply));
}

void InstanceRuntime::Run(scheduler::Dispatch dispatch) { targets_->Dispatch(std::move(dispatch)); }

void InstanceRuntime::Run(scheduler::CancelAttempt cancel) { targets_->Cancel(cancel.attempt); }

void InstanceRuntime::Run(scheduler::CloseIdleConnections close) {
  diagnostics::Log(diagnostics::Level::kWarning, "close_idle_connections",
                   {{"address", close.address}, {"port", close.port}});
  targets_->CloseIdle(close.address, close.port);
}

void InstanceRuntime::Run(scheduler::Append append) { platform_.append(std::move(append)); }

void InstanceRuntime::Run(scheduler::FetchRecords fetch) { platform_.fetch(std::move(fetch)); }

void InstanceRuntime::Run(scheduler::SendPeer send) {
  if (const auto* request = std::get_if<schema::ForwardedRequest>(&send.message)) {
    forwarding_table_.AddOutgoing(request->request, send.to);
  } else if (const auto* cancel = std::get_if<schema::ForwardedCancel>(&send.message)) {
    forwarding_table_.RemoveOutgoing(cancel->request);
  }
  if (send.reliable) {
    peers_->SendReliable(send.to, std::move(send.message));
  } else {
    peers_->SendDatagram(send.to, send.message);
  }
}

void InstanceRuntime::Run(scheduler::BroadcastPeer broadcast) {
  peers_->Broadcast(broadcast.message);
}

void InstanceRuntime::Run(scheduler::Stopped stopped) {
  Log(stopped.left.empty() ? diagnostics::Level::kInfo : diagnostics::Level::kWarning, "stopped",
      {{"left", stopped.left}});
  SetExitReason(ExitReason::kStopped);
}

void InstanceRuntime::Run(scheduler::Superseded /*superseded*/) {
  diagnostics::Log(diagnostics::Level::kError, "superseded",
                   {{"reason", "another process registered under the same instance id"}});
  SetExitReason(ExitReason::kSuperseded);
}

}  // namespace persimmonstair::daemon
