#include "persimmonstair/scheduler/scheduler.hpp"

#include <utility>

#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {

Scheduler::Scheduler(Options options) : impl_(std::make_unique<Impl>(std::move(options))) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

std::vector<Action> Scheduler::Handle(const base::Now& now, Event event) {
  return impl_->Handle(now, std::move(event));
}

Status Scheduler::status(const base::Now& now) const { return impl_->GetStatus(now); }

std::vector<base::StreamName> Scheduler::Streams() {
  return {kCatalogueStream, kControlStream, kClaimsStream, kProgramsStream};
}

}  // namespace persimmonstair::scheduler
