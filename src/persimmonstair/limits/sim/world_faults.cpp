#include <algorithm>
#include <chrono>
#include <utility>

#include "sim/process.hpp"
#include "sim/world.hpp"

// Applies the faults of a plan, and changes of the configuration.
namespace persimmonstair::limits::sim {

void World::Apply(const Fault& fault) {
  const std::size_t instance = fault.subject % instances_;
  const std::size_t data_centre = fault.subject % plan_.data_centres;
  const base::TimePoint until = now_ + fault.length;
  switch (fault.kind) {
    case FaultKind::kKill:
      return Kill(instance, fault.length);
    case FaultKind::kPause:
      return Pause(instance, fault.length);
    case FaultKind::kDuplicate:
      return Start(instance);
    case FaultKind::kJoin:
      Start(instances_++);
      return EditReservedShares();
    case FaultKind::kLeave:
      return Leave(instance);
    case FaultKind::kLogOutage:
      log_down_until_ = std::max(log_down_until_, until);
      return;
    case FaultKind::kLogSlow:
      log_slow_until_ = std::max(log_slow_until_, until);
      return;
    case FaultKind::kLogUnreachable:
      log_unreachable_until_[instance] = until;
      return;
    case FaultKind::kLogUnreadable:
      unreadable_until_[instance] = until;
      return;
    case FaultKind::kPartition:
      partitioned_until_[data_centre] = until;
      return;
    case FaultKind::kPeerSplit:
      peers_disconnected_until_[data_centre] = until;
      return;
    case FaultKind::kLimitEdit:
      return EditLimit(fault);
    case FaultKind::kReservedShareEdit:
      return EditReservedShares();
  }
}

std::shared_ptr<World::Process> World::PickRunning(std::size_t instance) {
  std::vector<std::shared_ptr<Process>> running;
  for (const auto& process : processes_) {
    if (process->instance == instance && process->alive) running.push_back(process);
  }
  if (running.empty()) return nullptr;
  return running[running.size() == 1 ? 0
                                     : static_cast<std::size_t>(RandomBetween(
                                           0, static_cast<std::int64_t>(running.size()) - 1))];
}

void World::Pause(std::size_t instance, base::Duration length) {
  if (const auto process = PickRunning(instance)) process->paused_until = now_ + length;
}

void World::Stop(Process& process) {
  process.alive = false;
  const std::size_t before = undecided_requests_.size();
  std::erase_if(undecided_requests_,
                [&](const auto& entry) { return entry.second.process.get() == &process; });
  totals_.lost += before - undecided_requests_.size();
  UpdateExactBuckets();
}

void World::Kill(std::size_t instance, base::Duration restart_after) {
  const auto process = PickRunning(instance);
  if (!process) return;
  Stop(*process);
  if (restart_after.count() > 0) {
    After(restart_after, nullptr, [this, instance] { Start(instance); });
  }
}

void World::Leave(std::size_t instance) {
  const auto process = PickRunning(instance);
  if (!process) return;
  const auto receiver = PickRunning((instance + 1) % instances_);
  At(now_, process, [this, process, receiver] {
    const base::TimePoint local = process->LocalTime(now_);
    if (receiver) Perform(process, process->limiter.Leave(local, process->registry, receiver->id));
    process->lease_manager.Leave(local);
    process->limiter.SetLease(local, process->lease_manager.View());
  });
}

void World::EditLimit(const Fault& fault) {
  Config next = configs_.back();
  next.limits[fault.subject % next.limits.size()] = fault.limit;
  configs_.push_back(std::move(next));
}

void World::EditReservedShares() {
  Config next = configs_.back();
  ++next.reserved_shares_version;
  next.reserved_shares.clear();
  std::int64_t left = 200'000;
  for (std::size_t n = 0; n < instances_; ++n) {
    const std::int64_t share = RandomBetween(
        0, std::min<std::int64_t>(left, 400'000 / static_cast<std::int64_t>(instances_)));
    left -= share;
    next.reserved_shares[InstanceName(n)] = static_cast<std::uint32_t>(share);
  }
  configs_.push_back(std::move(next));
}

void World::AdoptConfig(Process& process) {
  const bool first = process.limiter.ReservedSharesVersion() == 0;
  if (!first && process.config + 1 == configs_.size()) return;
  process.config = configs_.size() - 1;
  const Config& config = configs_.back();
  const base::TimePoint local = process.LocalTime(now_);
  process.limiter.SetReservedShares(local, config.reserved_shares_version, config.reserved_shares);
  process.lease_manager.SetReservedSharesVersion(process.limiter.ReservedSharesVersion());
  for (std::size_t n = 0; n < config.limits.size(); ++n) {
    process.limiter.SetLimit(local, WorkspaceName(n), config.limits[n]);
  }
  UpdateExactBuckets();
}

void World::UpdateExactBuckets() {
  for (std::size_t n = 0; n < exact_buckets_.size(); ++n) {
    Limit largest;
    for (const auto& process : processes_) {
      if (!process->alive) continue;
      const Limit& limit = configs_[process->config].limits[n];
      largest.rate_per_s = std::max(largest.rate_per_s, limit.rate_per_s);
      largest.burst = std::max(largest.burst, limit.burst);
    }
    // Without a running process nothing is admitted, and the last limits stay.
    if (largest.rate_per_s <= 0) continue;
    if (largest.rate_per_s == exact_limits_[n].rate_per_s &&
        largest.burst == exact_limits_[n].burst) {
      continue;
    }
    exact_limits_[n] = largest;
    exact_buckets_[n].SetLimit(now_, largest);
  }
}

}  // namespace persimmonstair::limits::sim
