#include "core.hpp"

namespace persimmonstair::scheduler {

void Scheduler::Core::On(const InstanceListRead& event) {
  std::vector<membership::InstanceListEntry> listed;
  for (const auto& it : event.instances) {
    listed.push_back({it.instance, it.data_centre, it.leaving});
  }
  liveness_.OnList(now_.monotonic, listed);
  Route(routing::InstanceListApplied{{event.leaving_targets.begin(), event.leaving_targets.end()}});
}

void Scheduler::Core::Perform(const membership::Output& output) {
  for (const auto& record : output.records) AppendRecord(kControlStream, record);
  for (const auto& message : output.messages) SendReliable(message.to, message.message);
}

void Scheduler::Core::UseLease() {
  limiter_.SetLease(now_.monotonic, keeper_.View());
  Perform(store_.SetLeaseHeld(now_, keeper_.View().LeaseValid(now_.monotonic)));
}

void Scheduler::Core::TickMembership() {
  // Nothing is registered before the stream was read: a registration made blindly could repeat an
  // incarnation.
  const bool reachable = LogReachable() && Reader(kControlStream).Started();
  if (Reader(kControlStream).Started()) {
    Perform(keeper_.Tick(now_.monotonic, registry_, reachable));
  }
  UseLease();
  Perform(limiter_.Tick(now_.monotonic, registry_, reachable));
  const bool wanted = !stopping_since_ && reachable;
  if (auto record = orders_.Tick(now_.monotonic, registry_, keeper_.View(), wanted)) {
    AppendRecord(kControlStream, *record);
  }
  if (keeper_.Superseded()) Emit(Superseded{});
}

void Scheduler::Core::ApplyLimits() {
  for (const auto& [id, workspace] : document().workspaces) {
    limiter_.SetLimit(now_.monotonic, id, {workspace.rate_per_s, workspace.burst});
  }
  std::map<base::InstanceId, std::uint32_t> floors;
  for (const auto& [id, instance] : document().instances) floors[id] = instance.floor_ppm;
  limiter_.SetReservedShares(now_.monotonic, catalogue_.version(), floors);
  keeper_.SetReservedSharesVersion(limiter_.ReservedSharesVersion());
}

}  // namespace persimmonstair::scheduler
