#include <nlohmann/json.hpp>

#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {
namespace {

using base::ErrorCode;
using base::Verdict;

constexpr std::chrono::milliseconds kHeartbeatInterval{500};
/// Maximum entries of each table in one heartbeat, so that it fits a datagram in a fleet of any
/// size. Larger tables are spread over several heartbeats.
constexpr std::size_t kMaxHeartbeatTargets = 20;
constexpr std::size_t kMaxHeartbeatWorkspaces = 12;

/// Returns at most `max_entries` entries of a map. Successive values of `rotation` return
/// successive parts of it.
template <class Map>
Map RotatingSubset(const Map& all, std::size_t max_entries, std::uint64_t rotation) {
  if (all.size() <= max_entries) return all;
  Map out;
  auto it =
      std::next(all.begin(), static_cast<std::ptrdiff_t>(rotation * max_entries % all.size()));
  while (out.size() < max_entries) {
    out.insert(*it);
    if (++it == all.end()) it = all.begin();
  }
  return out;
}

/// Time between two requests for the snapshot of a peer.
constexpr std::chrono::seconds kSnapshotRequestInterval{1};

}  // namespace

void Scheduler::Impl::SendReliable(const base::InstanceId& to, schema::PeerMessage message) {
  Emit(SendPeer{to, std::move(message), true});
}

void Scheduler::Impl::OnEvent(PeerReceived& event) {
  std::visit([this, &event](const auto& message) { OnMessage(event, message); }, event.message);
}

base::Incarnation Scheduler::Impl::RegisteredIncarnation(const PeerReceived& event) const {
  const auto it = peers_.find(event.from);
  if (it == peers_.end() || it->second.process != event.incarnation) return {};
  return it->second.registered;
}

void Scheduler::Impl::SendHeartbeat() {
  if (now_.monotonic - last_heartbeat_ < kHeartbeatInterval) return;
  last_heartbeat_ = now_.monotonic;
  ++heartbeat_number_;
  schema::Heartbeat heartbeat;
  heartbeat.data_centre = options_.data_centre;
  heartbeat.state = stopping_since_ ? "leaving" : Ready() ? "live" : "starting";
  heartbeat.catalogue_version = catalogue_.version();
  heartbeat.log_reachable = LogReachable();
  heartbeat.in_flight = RotatingSubset(router_.InFlight(), kMaxHeartbeatTargets, heartbeat_number_);
  heartbeat.attained_us =
      RotatingSubset(router_.AttainedMicros(), kMaxHeartbeatWorkspaces, heartbeat_number_);
  heartbeat.registered = lease_manager_.View().incarnation;
  Emit(BroadcastPeer{std::move(heartbeat)});
}

void Scheduler::Impl::OnMessage(const PeerReceived& event, const schema::Heartbeat& message) {
  PeerState& peer = peers_[event.from];
  if (event.incarnation < peer.process) return;
  peer = {event.incarnation, message.registered, message.data_centre};
  // An instance that is still starting cannot own programs yet, but it counts as live.
  liveness_.OnHeartbeat(now_.monotonic, event.from, event.incarnation, message.data_centre,
                        message.state == "leaving");
  lease_manager_.OnPeerSeen(event.from, message.registered);
  Route(routing::PeerLoad{event.from, message.in_flight, message.attained_us});
}

void Scheduler::Impl::OnMessage(const PeerReceived& /*event*/,
                                const schema::KeyWithdrawn& message) {
  // The withdrawal is already part of the catalogue version in use.
  if (message.catalogue_version != 0 && message.catalogue_version <= catalogue_.version()) return;
  catalogue_.DenyKey(message.key);
  EndRequestsOfInvalidKeys();
}

void Scheduler::Impl::OnMessage(const PeerReceived& /*event*/,
                                const schema::PoisonReport& message) {
  Route(routing::PeerPoisonReport{message.workspace, message.fingerprint, message.target});
}

void Scheduler::Impl::OnMessage(const PeerReceived& /*event*/,
                                const schema::TargetSuspect& message) {
  Route(routing::PeerTargetSuspect{message.target, message.leaving});
}

void Scheduler::Impl::Forward(base::RequestId id, const base::InstanceId& to) {
  Request& request = *Find(id);
  request.stage = RequestStage::kForwarded;
  request.handler = to;
  ++forwarded_count_;
  schema::ForwardedRequest message;
  message.request = id;
  message.workspace = request.workspace;
  message.key = request.key;
  message.kind = static_cast<std::uint32_t>(request.call.kind);
  message.route = request.call.route;
  message.program = request.call.program;
  message.parent = request.call.parent;
  message.turn = request.call.turn;
  message.idempotency_key = request.call.idempotency_key;
  message.model = request.call.model;
  message.body = request.call.body;
  message.stream = request.call.stream;
  message.deadline_ms =
      static_cast<std::uint64_t>(base::ToMillis(request.deadline - now_.monotonic));
  message.budget_tokens = request.call.budget_tokens;
  message.admitted = true;
  SendReliable(to, std::move(message));
}

void Scheduler::Impl::OnMessage(const PeerReceived& event,
                                const schema::ForwardedRequest& message) {
  if (!peer_requests_.emplace(std::pair(event.from, message.request), event.request).second) return;
  Request request;
  request.origin = event.from;
  request.origin_request = message.request;
  request.workspace = message.workspace;
  request.key = message.key;
  CallerRequest& call = request.call;
  call.request = event.request;
  call.kind = static_cast<CallKind>(message.kind);
  call.route = message.route;
  call.program = message.program;
  call.parent = message.parent;
  call.turn = message.turn;
  call.idempotency_key = message.idempotency_key;
  call.model = message.model;
  call.body = message.body;
  call.stream = message.stream;
  call.deadline = std::chrono::milliseconds(message.deadline_ms);
  call.budget_tokens = message.budget_tokens;
  if (const auto key = document().keys.find(request.key); key != document().keys.end()) {
    request.entry_class = key->second.ownership.entry_class;
  }
  Accept(std::move(request));
}

void Scheduler::Impl::OnMessage(const PeerReceived& event, const schema::ForwardedReply& message) {
  const Request* request = Find(message.request);
  // Only the instance to which the request was forwarded may reply to it.
  if (request == nullptr || request->stage != RequestStage::kForwarded ||
      request->handler != event.from) {
    return;
  }
  Finish(message.request, message.status, message.headers, message.body);
}

void Scheduler::Impl::OnMessage(const PeerReceived& event, const schema::ForwardedCancel& message) {
  const auto it = peer_requests_.find({event.from, message.request});
  if (it != peer_requests_.end()) OnEvent(CallerGone{it->second});
}

void Scheduler::Impl::OnMessage(const PeerReceived& event,
                                const schema::TokenLoanRequest& message) {
  Perform(limiter_.OnLoanRequest(now_.monotonic, event.from, message));
}

void Scheduler::Impl::OnMessage(const PeerReceived& event, const schema::TokenLoan& message) {
  Perform(limiter_.OnLoan(now_.monotonic, event.from, message));
}

void Scheduler::Impl::OnMessage(const PeerReceived& event,
                                const schema::LeaseConsentRequest& message) {
  const auto incarnation = RegisteredIncarnation(event);
  Perform(
      lease_manager_.OnConsentRequest(now_.monotonic, event.from, incarnation, message, registry_));
}

void Scheduler::Impl::OnMessage(const PeerReceived& event, const schema::LeaseConsent& message) {
  lease_manager_.OnConsent(now_.monotonic, event.from, RegisteredIncarnation(event), message,
                           registry_);
  PropagateLease();
}

void Scheduler::Impl::OnMessage(const PeerReceived& event,
                                const schema::ReplicateTurnAck& message) {
  Perform(store_.OnReplicated(now_, message.record_id, event.from));
}

void Scheduler::Impl::RequestSnapshot() {
  // A peer's snapshot is used only while the log is unreachable, because the log is more current.
  if (Ready() || LogReachable() || peers_.empty()) return;
  if (now_.monotonic - last_snapshot_request_ < kSnapshotRequestInterval) return;
  last_snapshot_request_ = now_.monotonic;
  auto it = peers_.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random_() % peers_.size()));
  SendReliable(it->first, schema::SnapshotRequest{random_()});
}

void Scheduler::Impl::OnMessage(const PeerReceived& event, const schema::SnapshotRequest& message) {
  if (!Ready()) return;
  schema::Snapshot snapshot;
  snapshot.nonce = message.nonce;
  for (const auto& [name, reader] : readers_) snapshot.offsets[name] = reader.NextOffset().value;
  snapshot.parts["catalogue"] = catalogue_.Snapshot();
  snapshot.parts["control"] = StreamState(kControlStream);
  snapshot.parts["claims"] = effects_.Table().Snapshot();
  snapshot.parts["programs"] = store_.Index().Snapshot();
  SendReliable(event.from, std::move(snapshot));
}

void Scheduler::Impl::OnMessage(const PeerReceived& /*event*/, const schema::Snapshot& message) {
  if (Ready()) return;
  const auto part = [&message](const char* name) {
    const auto it = message.parts.find(name);
    return it == message.parts.end() ? std::string() : it->second;
  };
  const bool restored = RestoreStream(kCatalogueStream, part("catalogue")) &&
                        RestoreStream(kControlStream, part("control")) &&
                        effects_.RestoreTable(part("claims")).has_value() &&
                        store_.RestoreIndex(part("programs")).has_value();
  if (!restored) return;
  for (const auto& [stream, next] : message.offsets) {
    if (const auto it = readers_.find(stream); it != readers_.end()) it->second.SkipTo({next});
  }
}

void Scheduler::Impl::OnEvent(const PeerSendFailed& event) {
  if (const auto* request = std::get_if<schema::ForwardedRequest>(&event.message)) {
    const Request* known = Find(request->request);
    if (known == nullptr || known->stage != RequestStage::kForwarded) return;
    const Verdict verdict = event.sent ? Verdict::kMayHaveRun : Verdict::kNotRun;
    return FinishError(request->request,
                       {ErrorCode::kOwnerUnavailable, "the owner of the program cannot be reached",
                        verdict, std::chrono::seconds{1}});
  }
  if (const auto* loan = std::get_if<schema::TokenLoanRequest>(&event.message)) {
    Perform(limiter_.OnLoanRequestFailed(now_.monotonic, event.to, *loan));
  }
}

}  // namespace persimmonstair::scheduler
