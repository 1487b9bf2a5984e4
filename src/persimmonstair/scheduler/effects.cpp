#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {
namespace {

using base::ErrorCode;
using base::Verdict;

std::int64_t UnixSeconds(const base::Now& now) { return base::UnixMillis(now.wall) / 1000; }

}  // namespace

void Scheduler::Impl::StartServiceCall(base::RequestId id) {
  Request& request = *Find(id);
  if (request.idempotent) return EnqueueServiceCall(id);
  if (request.call.idempotency_key.empty()) {
    // Without an idempotency key of the caller, each call is a new request. The generated key still
    // makes it run at most once.
    request.call.idempotency_key =
        std::to_string(UnixSeconds(now_)) + "." + options_.process + "-" + std::to_string(id.value);
  }
  request.stage = RequestStage::kEffect;
  effects::EffectRequest effect;
  effect.request = id;
  effect.key = {request.workspace, request.call.route, request.call.idempotency_key};
  effect.fingerprint = effects::FingerprintBody(request.call.body);
  Perform(effects_.Begin(now_, effect));
}

void Scheduler::Impl::EnqueueServiceCall(base::RequestId id) {
  Request& request = *Find(id);
  request.stage = RequestStage::kRouting;
  routing::RequestQueued queued;
  queued.request = id;
  queued.workspace = request.workspace;
  queued.route = request.call.route;
  queued.deadline = request.deadline - now_.monotonic;
  queued.idempotent = request.idempotent;
  queued.fingerprint =
      effects::FingerprintBody(request.call.route.value + "\n" + request.call.body);
  Route(queued);
}

void Scheduler::Impl::Perform(effects::EffectActions actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& value) { ExecuteAction(value); }, action);
  }
}

void Scheduler::Impl::ExecuteAction(const effects::AppendRecord& action) {
  AppendRecord(kClaimsStream, action.record);
}

void Scheduler::Impl::ExecuteAction(const effects::ReadyToDispatch& action) {
  if (Find(action.request) != nullptr) return EnqueueServiceCall(action.request);
  Perform(effects_.Withdraw(
      now_, action.request,
      {ErrorCode::kTimeout, "the request ended before it was dispatched", Verdict::kNotRun, {}}));
}

void Scheduler::Impl::ExecuteAction(const effects::EffectAnswer& action) {
  std::map<std::string, std::string> headers{
      {"persimmonstair-verdict", std::string(base::ToString(action.verdict))}};
  if (action.replayed) headers["persimmonstair-replayed"] = "true";
  Finish(action.request, action.status, std::move(headers), action.body);
}

void Scheduler::Impl::ExecuteAction(const effects::EffectRefusal& action) {
  FinishError(action.request, action.error);
}

}  // namespace persimmonstair::scheduler
