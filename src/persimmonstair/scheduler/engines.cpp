#include <nlohmann/json.hpp>

#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {
namespace {

enum InternalCallKind : int { kLoad, kHeld, kRelease, kProbe };

constexpr std::chrono::seconds kHeldProgramsInterval{10};
constexpr std::chrono::seconds kInternalCallTimeout{2};
/// Attempt ids from this value on are internal calls; the router assigns ids from 1.
constexpr std::uint64_t kFirstInternalAttempt = std::uint64_t{1} << 63U;

}  // namespace

void Scheduler::Impl::StartInternalCall(const catalogue::Target& target, int kind,
                                        const base::ProgramId& program) {
  Dispatch out;
  out.attempt = {kFirstInternalAttempt + ++internal_attempt_count_};
  out.target = target.id;
  out.address = target.address;
  out.port = target.port;
  out.credential = target.credential;
  out.method = kind == kRelease ? "DELETE" : "GET";
  out.path = kind == kLoad || kind == kProbe ? "/v1/load" : "/v1/programs";
  if (kind == kRelease) out.path += "/" + program.value;
  out.connect_timeout = kInternalCallTimeout;
  out.first_byte_timeout = kInternalCallTimeout;
  out.between_bytes_timeout = kInternalCallTimeout;
  out.fresh_connection = kind == kProbe;
  internal_attempts_[out.attempt] = {kind, target.id, program};
  Emit(std::move(out));
}

bool Scheduler::Impl::EndInternalCall(base::AttemptId attempt, const TargetDone* done) {
  const auto it = internal_attempts_.find(attempt);
  if (it == internal_attempts_.end()) return attempt.value >= kFirstInternalAttempt;
  const InternalAttempt internal = it->second;
  internal_attempts_.erase(it);
  const bool ok = done != nullptr && done->status >= 200 && done->status < 300;
  switch (internal.kind) {
    case kLoad:
      if (ok) OnLoadReport(internal.target, *done);
      break;
    case kHeld:
      if (ok) OnHeldPrograms(internal.target, *done);
      break;
    case kRelease:
      // Status 404 also confirms that the engine holds no memory of the program.
      if (ok || (done != nullptr && done->status == 404)) {
        store_.OnReleased(internal.program, internal.target);
      }
      break;
    default:
      Route(routing::ProbeFinished{internal.target, ok});
  }
  return true;
}

void Scheduler::Impl::OnLoadReport(const base::TargetId& target, const TargetDone& done) {
  const auto json = nlohmann::json::parse(done.body, nullptr, false);
  if (!json.is_object()) return;
  try {
    Route(routing::TargetReported{target,
                                  json.value("running", 0U),
                                  json.value("waiting", 0U),
                                  json.value("leaving", false),
                                  {}});
  } catch (const nlohmann::json::exception&) {
    // A report with wrong types is ignored; loads are requested again every load_interval, by
    // default each second.
  }
}

void Scheduler::Impl::OnHeldPrograms(const base::TargetId& target, const TargetDone& done) {
  const auto json = nlohmann::json::parse(done.body, nullptr, false);
  if (!json.is_object() || !json.contains("programs") || !json["programs"].is_array()) return;
  std::vector<base::ProgramId> held;
  for (const auto& it : json["programs"]) {
    if (it.is_object() && it.contains("program") && it["program"].is_string()) {
      held.push_back({it["program"].get<std::string>()});
    }
  }
  Perform(store_.OnEngineReport(now_, target, held));
}

void Scheduler::Impl::ExecuteAction(const programs::ReleaseMemory& action) {
  const auto target = document().targets.find(action.target);
  if (target == document().targets.end()) {
    // A target that was removed from the catalogue can no longer be called. Its memory counts as
    // released.
    store_.OnReleased(action.program, action.target);
    return;
  }
  StartInternalCall(target->second, kRelease, action.program);
}

void Scheduler::Impl::ExecuteAction(const routing::Probe& decision) {
  const auto target = document().targets.find(decision.target);
  if (target == document().targets.end()) return;
  StartInternalCall(target->second, kProbe, {});
}

void Scheduler::Impl::PollLoads() {
  if (now_.monotonic - last_load_poll_ < options_.load_interval) return;
  last_load_poll_ = now_.monotonic;
  for (const auto& [id, target] : document().targets) {
    StartInternalCall(target, kLoad, {});
  }
}

void Scheduler::Impl::PollHeldPrograms() {
  if (now_.monotonic - last_held_poll_ < kHeldProgramsInterval) return;
  last_held_poll_ = now_.monotonic;
  // Only the holder of the order lease asks the engines of its data centre, so that an engine gets
  // one such request at a time.
  if (!order_lease_.FencingIfHeld(now_.monotonic, lease_manager_.View())) return;
  for (const auto& [id, target] : document().targets) {
    const bool engine = target.kind == catalogue::TargetKind::kEngine;
    if (engine && target.data_centre == options_.data_centre) StartInternalCall(target, kHeld, {});
  }
}

}  // namespace persimmonstair::scheduler
