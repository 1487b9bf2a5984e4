#include "core.hpp"

namespace persimmonstair::scheduler {

void Scheduler::Core::On(const StopRequested& /*event*/) {
  if (stopping_since_) return;
  stopping_since_ = now_.monotonic;
  liveness_.SetSelfLeaving();
  last_heartbeat_ = {};
}

bool Scheduler::Core::RefusesNew() const {
  return stopping_since_ && now_.monotonic - *stopping_since_ >= options_.stop_grace;
}

void Scheduler::Core::HandOverPrograms() {
  for (const auto& root : store_.Index().RootsOf(options_.instance)) {
    if (!store_.Owns(root)) continue;
    const base::InstanceId heir = HeirOf(root);
    if (heir != options_.instance) Perform(store_.HandOver(now_, root, heir));
  }
}

std::string Scheduler::Core::Unfinished() const {
  std::string out;
  const auto add = [&out](std::size_t n, const char* what) {
    if (n == 0) return;
    if (!out.empty()) out += ", ";
    out += std::to_string(n) + " " + what;
  };
  add(requests_.size(), "requests");
  add(store_.Unsettled(), "programs, releases and copies");
  add(effects_.Live(), "effects");
  add(appends_.Pending(), "records");
  return out;
}

void Scheduler::Core::ContinueStop() {
  if (!stopping_since_ || stopped_) return;
  const bool late = now_.monotonic - *stopping_since_ >= options_.stop_timeout;
  if (RefusesNew()) HandOverPrograms();
  const bool idle = requests_.empty() && store_.Unsettled() == 0 && effects_.Live() == 0;
  if (RefusesNew() && idle && !leaving_) {
    leaving_ = true;
    const auto live = liveness_.Live(now_.monotonic);
    if (!live.empty()) Perform(limiter_.Leave(now_.monotonic, registry_, live.front()));
    keeper_.Leave(now_.monotonic);
  }
  const bool done = leaving_ && keeper_.Left() && appends_.Pending() == 0;
  if (!done && !late) return;
  stopped_ = true;
  Emit(Stopped{done ? std::string() : Unfinished()});
}

}  // namespace persimmonstair::scheduler
