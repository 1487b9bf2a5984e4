#include <algorithm>
#include <cmath>
#include <optional>
#include <string>

#include "router_state.hpp"

namespace persimmonstair::routing {
namespace {

// A request is refused for its estimated wait only if the estimate exceeds the limit by this
// factor, because the estimate ignores that later programs may be shorter and other instances may
// be idle.
constexpr double kWaitMargin = 2;
constexpr base::Duration kMinRetryHint{100'000};
constexpr base::Duration kMaxRetryHint{10'000'000};
// Retry hint while no target serves the class. The catalogue or the state of a target may change
// within this time.
constexpr base::Duration kNoTargetRetryHint{1'000'000};

base::Duration FromSeconds(double seconds) {
  return base::Duration{static_cast<std::int64_t>(std::llround(seconds * 1e6))};
}

}  // namespace

Workspace& Router::State::WorkspaceOf(const base::WorkspaceId& id) {
  const auto [it, added] = workspaces.try_emplace(id);
  if (added) {
    it->second.id = id;
    it->second.index = static_cast<std::uint32_t>(workspaces.size() - 1);
    const auto weight = weights.find(id);
    if (weight != weights.end() && weight->second > 0) it->second.weight = weight->second;
  }
  return it->second;
}

ProgramTree* Router::State::ProgramOf(const Request& request) {
  if (request.program_key.empty()) return nullptr;
  ProgramTree& program = programs[request.program_key];
  program.last_used_at = now;
  return &program;
}

void Router::State::On(const RequestQueued& event) {
  const auto [it, added] = requests.try_emplace(event.request);
  if (!added) return;
  Request& request = it->second;
  request.spec = event;
  request.sequence = next_sequence++;
  request.queued_at = now;
  request.deadline =
      now + (event.deadline.count() > 0 ? event.deadline : settings.default_deadline);
  request.request_class = &targets.ClassOf(event);
  request.workspace = &WorkspaceOf(event.workspace);
  // Different workspaces may use the same program id.
  const base::ProgramId& root = event.root.empty() ? event.program : event.root;
  if (!root.empty()) request.program_key.value = event.workspace.value + '\n' + root.value;
  request.program = ProgramOf(request);
  if (const auto admission_error = CheckAdmission(request)) {
    out.emplace_back(Refuse{event.request, *admission_error});
    requests.erase(it);
    return;
  }
  Enqueue(request);
}

std::optional<base::Error> Router::State::CheckAdmission(const Request& request) {
  using base::ErrorCode;
  const RequestClass& it = *request.request_class;
  const auto error = [](ErrorCode code, std::string text, base::Duration retry = {}) {
    return base::Error{code, std::move(text), base::Verdict::kNotRun, retry};
  };
  if (crashes.IsPoison({request.spec.workspace, request.spec.fingerprint})) {
    return error(ErrorCode::kPoisonRequest, "this request crashed several targets");
  }
  if (it.serving_targets == 0) {
    return error(ErrorCode::kNoTarget, "no target serves this model or route", kNoTargetRetryHint);
  }
  const double wait =
      it.queue.BacklogSeconds(*request.workspace) /
      (std::max(1U, it.serving_targets) * it.queue.CapacityShare(*request.workspace)) *
      static_cast<double>(targets.PeerCount() + 1);
  const double limit =
      std::min(base::ToSeconds(settings.max_queue_time), base::ToSeconds(request.deadline - now));
  if (wait > kWaitMargin * limit) {
    return error(ErrorCode::kOverloaded, "estimated wait exceeds the deadline or queue time",
                 std::clamp(FromSeconds(wait - limit), kMinRetryHint, kMaxRetryHint));
  }
  if (queued >= settings.max_queued && !TryEvictFor(*request.workspace)) {
    return error(ErrorCode::kOverloaded, "queue is full", RetryHint(request));
  }
  return std::nullopt;
}

bool Router::State::TryEvictFor(const Workspace& incoming) {
  const Workspace* longest = nullptr;
  for (const auto& [id, it] : workspaces) {
    const auto length = [](const Workspace& workspace) {
      return static_cast<double>(workspace.queued.size()) / workspace.weight;
    };
    if (longest == nullptr || length(it) > length(*longest)) longest = &it;
  }
  // The incoming request is counted as queued, so that two workspaces with equal queues don't
  // alternately evict each other's requests.
  const double new_length = static_cast<double>(incoming.queued.size() + 1) / incoming.weight;
  if (longest == nullptr || longest == &incoming) return false;
  if (static_cast<double>(longest->queued.size()) / longest->weight <= new_length) return false;
  Request& victim = *longest->queued.rbegin()->second;
  Dequeue(victim);
  RefuseRequest(victim, base::ErrorCode::kOverloaded, "queue is full", RetryHint(victim));
  return true;
}

void Router::State::Enqueue(Request& request) {
  request.backlog_s = request.request_class->mean_service_s;
  if (request.request_class->serving_targets > 0 && request.request_class->slots > 0) {
    request.backlog_s *= static_cast<double>(request.request_class->serving_targets) /
                         static_cast<double>(request.request_class->slots);
  }
  request.request_class->queue.Insert(request);
  request.request_class->changed = true;
  if (request.program != nullptr) request.program->queued.insert(&request);
  request.workspace->queued.emplace(request.sequence, &request);
  ++queued;
  const base::TimePoint limit = request.queued_at + settings.max_queue_time;
  expiries.emplace(std::min(limit, request.deadline), request.spec.request.value);
}

void Router::State::Dequeue(Request& request) {
  const base::TimePoint limit = request.queued_at + settings.max_queue_time;
  expiries.erase({std::min(limit, request.deadline), request.spec.request.value});
  request.request_class->queue.Erase(request);
  if (request.program != nullptr) request.program->queued.erase(&request);
  request.workspace->queued.erase({request.sequence, &request});
  --queued;
}

void Router::State::End(Request& request) { requests.erase(request.spec.request); }

void Router::State::RefuseRequest(Request& request, base::ErrorCode code, std::string message,
                                  base::Duration retry_after) {
  out.emplace_back(
      Refuse{request.spec.request, {code, std::move(message), request.verdict, retry_after}});
  End(request);
}

base::Duration Router::State::RetryHint(const Request& request) const {
  const RequestClass& it = *request.request_class;
  const double drain =
      static_cast<double>(it.queue.size() + 1) * it.mean_service_s / std::max(1U, it.slots);
  return std::clamp(FromSeconds(drain), kMinRetryHint, kMaxRetryHint);
}

void Router::State::RefuseExpired() {
  while (!expiries.empty() && expiries.begin()->first <= now) {
    const auto [at, id] = *expiries.begin();
    Request& request = requests.at(base::RequestId{id});
    if (request.running) {
      // A non-idempotent request is not cancelled, so that its outcome becomes known.
      expiries.erase(expiries.begin());
      if (request.spec.idempotent && !request.cancel_sent) {
        request.cancel_sent = true;
        out.emplace_back(CancelAttempt{request.attempt});
      }
      continue;
    }
    Dequeue(request);
    const bool late = request.deadline <= now;
    RefuseRequest(request, late ? base::ErrorCode::kTimeout : base::ErrorCode::kOverloaded,
                  late ? "deadline passed in the queue" : "waited too long in the queue",
                  RetryHint(request));
  }
}

void Router::State::On(const RequestCancelled& event) {
  const auto it = requests.find(event.request);
  if (it == requests.end()) return;
  Request& request = it->second;
  if (!request.running) {
    Dequeue(request);
    End(request);
    return;
  }
  if (!request.spec.idempotent) return;
  request.cancelled = true;
  if (request.cancel_sent) return;
  request.cancel_sent = true;
  out.emplace_back(CancelAttempt{request.attempt});
}

}  // namespace persimmonstair::routing
