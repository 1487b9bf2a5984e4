#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {

void Scheduler::Impl::OnEvent(const InstanceListRead& event) {
  std::vector<membership::InstanceListEntry> listed;
  for (const auto& it : event.instances) {
    listed.push_back({it.instance, it.data_centre, it.leaving});
  }
  liveness_.OnList(now_.monotonic, listed);
  Route(routing::InstanceListApplied{{event.leaving_targets.begin(), event.leaving_targets.end()}});
}

void Scheduler::Impl::Perform(const membership::Output& output) {
  for (const auto& record : output.records) AppendRecord(kControlStream, record);
  for (const auto& message : output.messages) SendReliable(message.to, message.message);
}

void Scheduler::Impl::PropagateLease() {
  limiter_.SetLease(now_.monotonic, lease_manager_.View());
  Perform(store_.SetLeaseHeld(now_, lease_manager_.View().LeaseValid(now_.monotonic)));
}

void Scheduler::Impl::TickMembership() {
  // The lease manager runs only after the control stream was read: a registration made before that
  // could reuse an incarnation.
  const bool reachable = LogReachable() && Reader(kControlStream).CaughtUp();
  if (Reader(kControlStream).CaughtUp()) {
    Perform(lease_manager_.Tick(now_.monotonic, registry_, reachable));
  }
  PropagateLease();
  Perform(limiter_.Tick(now_.monotonic, registry_, reachable));
  const bool wanted = !stopping_since_ && reachable;
  if (auto record = order_lease_.Tick(now_.monotonic, registry_, lease_manager_.View(), wanted)) {
    AppendRecord(kControlStream, *record);
  }
  if (lease_manager_.Superseded()) Emit(Superseded{});
}

void Scheduler::Impl::ApplyLimits() {
  for (const auto& [id, workspace] : document().workspaces) {
    limiter_.SetLimit(now_.monotonic, id, {workspace.rate_per_s, workspace.burst});
  }
  std::map<base::InstanceId, std::uint32_t> reserved_shares;
  for (const auto& [id, instance] : document().instances) reserved_shares[id] = instance.floor_ppm;
  limiter_.SetReservedShares(now_.monotonic, catalogue_.version(), reserved_shares);
  lease_manager_.SetReservedSharesVersion(limiter_.ReservedSharesVersion());
}

}  // namespace persimmonstair::scheduler
