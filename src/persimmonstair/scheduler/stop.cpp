#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {

void Scheduler::Impl::OnEvent(const StopRequested& /*event*/) {
  if (stopping_since_) return;
  stopping_since_ = now_.monotonic;
  liveness_.SetSelfLeaving();
  last_heartbeat_ = {};
}

bool Scheduler::Impl::RejectsNewRequests() const {
  return stopping_since_ && now_.monotonic - *stopping_since_ >= options_.stop_grace;
}

void Scheduler::Impl::HandOverPrograms() {
  for (const auto& root : store_.Index().RootsOf(options_.instance)) {
    if (!store_.Owns(root)) continue;
    const base::InstanceId successor = SuccessorOf(root);
    if (successor != options_.instance) Perform(store_.HandOver(now_, root, successor));
  }
}

std::string Scheduler::Impl::DescribeUnfinished() const {
  std::string out;
  const auto append_count = [&out](std::size_t n, const char* what) {
    if (n == 0) return;
    if (!out.empty()) out += ", ";
    out += std::to_string(n) + " " + what;
  };
  append_count(requests_.size(), "requests");
  append_count(store_.Unsettled(), "unsettled programs, memory releases and turn copies");
  append_count(effects_.Live(), "effects");
  append_count(appends_.PendingRecords(), "records");
  return out;
}

void Scheduler::Impl::ContinueStop() {
  if (!stopping_since_ || stopped_) return;
  const bool timed_out = now_.monotonic - *stopping_since_ >= options_.stop_timeout;
  if (RejectsNewRequests()) HandOverPrograms();
  const bool idle = requests_.empty() && store_.Unsettled() == 0 && effects_.Live() == 0;
  if (RejectsNewRequests() && idle && !leaving_) {
    leaving_ = true;
    const auto live = liveness_.Live(now_.monotonic);
    if (!live.empty()) Perform(limiter_.Leave(now_.monotonic, registry_, live.front()));
    lease_manager_.Leave(now_.monotonic);
  }
  const bool done = leaving_ && lease_manager_.Left() && appends_.PendingRecords() == 0;
  if (!done && !timed_out) return;
  stopped_ = true;
  Emit(Stopped{done ? std::string() : DescribeUnfinished()});
}

}  // namespace persimmonstair::scheduler
