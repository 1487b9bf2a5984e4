#include <utility>
#include <variant>

#include "instance_runtime.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/net/caller_request.hpp"

namespace persimmonstair::daemon {
namespace {

// Name of a failure in the metrics and the log.
const char* FailureName(scheduler::FailureKind kind) {
  switch (kind) {
    case scheduler::FailureKind::kConnectRefused:
      return "connect_refused";
    case scheduler::FailureKind::kConnectTimeout:
      return "connect_timeout";
    case scheduler::FailureKind::kConnectionClosed:
      return "connection_closed";
    case scheduler::FailureKind::kFirstByteTimeout:
      return "first_byte_timeout";
    case scheduler::FailureKind::kBetweenBytesTimeout:
      return "between_bytes_timeout";
    case scheduler::FailureKind::kMalformedAnswer:
      return "malformed_answer";
    default:
      return "cancelled";
  }
}

// Message types that are sent over UDP (design section 5). Datagrams can get lost anyway, so these
// messages are dropped when the event queue is full.
bool IsDatagramType(const schema::PeerMessage& message) {
  return std::holds_alternative<schema::Heartbeat>(message) ||
         std::holds_alternative<schema::KeyWithdrawn>(message) ||
         std::holds_alternative<schema::PoisonReport>(message) ||
         std::holds_alternative<schema::TargetSuspect>(message);
}

}  // namespace

void InstanceRuntime::OnTargetFailed(scheduler::TargetFailed failed) {
  metrics_.CountAttempt(FailureName(failed.kind));
  diagnostics::Log(diagnostics::Level::kDebug, "attempt_failed",
                   {{"attempt", failed.attempt.value},
                    {"kind", FailureName(failed.kind)},
                    {"verdict", base::ToString(failed.verdict)}});
  events_.Push(failed);
}

void InstanceRuntime::OnRelay(base::RequestId request, std::string data) {
  if (const auto remote = forwarding_table_.FindIncoming(request)) {
    peers_->SendReliable(remote->from, schema::ForwardedChunk{remote->request, std::move(data)});
  } else {
    callers_->Relay(request, std::move(data));
  }
}

void InstanceRuntime::OnPeerMessage(const base::InstanceId& from, base::Incarnation incarnation,
                                    schema::PeerMessage message) {
  if (std::holds_alternative<schema::ForwardedRequest>(message)) {
    return OnForwardedRequest(from, incarnation, std::move(message));
  }
  if (auto* chunk = std::get_if<schema::ForwardedChunk>(&message)) {
    if (forwarding_table_.IsOutgoing(chunk->request, from)) {
      callers_->Relay(chunk->request, std::move(chunk->data));
    }
    return;
  }
  if (const auto* cancel = std::get_if<schema::ForwardedCancel>(&message)) {
    const auto local = forwarding_table_.TakeByRemote({from, cancel->request});
    if (local) events_.Push(scheduler::CallerGone{*local});
    return;
  }
  if (const auto* reply = std::get_if<schema::ForwardedReply>(&message)) {
    // Only the instance that the request was forwarded to may answer it.
    if (!forwarding_table_.IsOutgoing(reply->request, from)) return;
  }
  const bool may_be_lost = IsDatagramType(message);
  scheduler::PeerReceived received{from, incarnation, std::move(message), {}};
  if (!may_be_lost) return events_.Push(std::move(received));
  events_.TryPush(std::move(received));
}

void InstanceRuntime::OnForwardedRequest(const base::InstanceId& from,
                                         base::Incarnation incarnation,
                                         schema::PeerMessage message) {
  const base::RequestId remote = std::get<schema::ForwardedRequest>(message).request;
  const base::RequestId local = NextRequestId();
  if (!forwarding_table_.AddIncoming(local, {from, remote})) return;
  if (events_.PushRequest(scheduler::PeerReceived{from, incarnation, std::move(message), local})) {
    return;
  }
  metrics_.CountRingFull();
  forwarding_table_.TakeIncoming(local);
  auto reply = net::ErrorReply(local, {base::ErrorCode::kOverloaded,
                                       "the instance's event queue has no space for new requests",
                                       base::Verdict::kNotRun, std::chrono::milliseconds(200)});
  peers_->SendReliable(from, schema::ForwardedReply{remote, reply.status, std::move(reply.headers),
                                                    std::move(reply.body)});
}

void InstanceRuntime::OnPeerSendFailed(const base::InstanceId& to, schema::PeerMessage message,
                                       bool sent) {
  // A stream that lost a chunk must not continue, so the request ends as if its caller had
  // disconnected.
  if (const auto* chunk = std::get_if<schema::ForwardedChunk>(&message)) {
    const auto local = forwarding_table_.TakeByRemote({to, chunk->request});
    if (local) events_.Push(scheduler::CallerGone{*local});
    return;
  }
  events_.Push(scheduler::PeerSendFailed{to, std::move(message), sent});
}

}  // namespace persimmonstair::daemon
