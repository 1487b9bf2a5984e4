#include <nlohmann/json.hpp>

#include "core.hpp"

namespace persimmonstair::scheduler {
namespace {

enum InternalKind : int { kLoad, kHeld, kRelease, kProbe };

constexpr std::chrono::seconds kHeldInterval{10};
constexpr std::chrono::seconds kInternalTimeout{2};
/// Attempt numbers from here on are internal calls; the router counts from 1.
constexpr std::uint64_t kFirstInternal = std::uint64_t{1} << 63U;

}  // namespace

void Scheduler::Core::StartInternal(const catalogue::Target& target, int kind,
                                    const base::ProgramId& program) {
  Dispatch out;
  out.attempt = {kFirstInternal + ++last_internal_};
  out.target = target.id;
  out.address = target.address;
  out.port = target.port;
  out.credential = target.credential;
  out.method = kind == kRelease ? "DELETE" : "GET";
  out.path = kind == kLoad || kind == kProbe ? "/v1/load" : "/v1/programs";
  if (kind == kRelease) out.path += "/" + program.value;
  out.connect_timeout = kInternalTimeout;
  out.first_byte_timeout = kInternalTimeout;
  out.between_bytes_timeout = kInternalTimeout;
  out.fresh_connection = kind == kProbe;
  internal_[out.attempt] = {kind, target.id, program};
  Emit(std::move(out));
}

bool Scheduler::Core::EndInternal(base::AttemptId attempt, const TargetDone* done) {
  const auto it = internal_.find(attempt);
  if (it == internal_.end()) return attempt.value >= kFirstInternal;
  const InternalAttempt internal = it->second;
  internal_.erase(it);
  const bool ok = done != nullptr && done->status >= 200 && done->status < 300;
  switch (internal.kind) {
    case kLoad:
      if (ok) OnLoad(internal.target, *done);
      break;
    case kHeld:
      if (ok) OnHeld(internal.target, *done);
      break;
    case kRelease:
      // 404 confirms as well: the engine holds nothing of the program.
      if (ok || (done != nullptr && done->status == 404)) {
        store_.OnReleased(internal.program, internal.target);
      }
      break;
    default:
      Route(routing::ProbeFinished{internal.target, ok});
  }
  return true;
}

void Scheduler::Core::OnLoad(const base::TargetId& target, const TargetDone& done) {
  const auto json = nlohmann::json::parse(done.body, nullptr, false);
  if (!json.is_object()) return;
  try {
    Route(routing::TargetReported{target,
                                  json.value("running", 0U),
                                  json.value("waiting", 0U),
                                  json.value("leaving", false),
                                  {}});
  } catch (const nlohmann::json::exception&) {
    // A report with wrong types is ignored; the next one comes within a second.
  }
}

void Scheduler::Core::OnHeld(const base::TargetId& target, const TargetDone& done) {
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

void Scheduler::Core::Do(const programs::ReleaseMemory& action) {
  const auto target = document().targets.find(action.target);
  if (target == document().targets.end()) {
    // An engine that left the catalogue cannot be asked any more; its memory went with it.
    store_.OnReleased(action.program, action.target);
    return;
  }
  StartInternal(target->second, kRelease, action.program);
}

void Scheduler::Core::Do(const routing::Probe& decision) {
  const auto target = document().targets.find(decision.target);
  if (target == document().targets.end()) return;
  StartInternal(target->second, kProbe, {});
}

void Scheduler::Core::PollEngines() {
  if (now_.monotonic - last_load_ < options_.load_interval) return;
  last_load_ = now_.monotonic;
  for (const auto& [id, target] : document().targets) {
    StartInternal(target, kLoad, {});
  }
}

void Scheduler::Core::CompareHeld() {
  if (now_.monotonic - last_held_ < kHeldInterval) return;
  last_held_ = now_.monotonic;
  // One instance of a data centre compares, so that an engine gets one question at a time.
  if (!orders_.FencingIfHeld(now_.monotonic, keeper_.View())) return;
  for (const auto& [id, target] : document().targets) {
    const bool engine = target.kind == catalogue::TargetKind::kEngine;
    if (engine && target.data_centre == options_.data_centre) StartInternal(target, kHeld, {});
  }
}

}  // namespace persimmonstair::scheduler
