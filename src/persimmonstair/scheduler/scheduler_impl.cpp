#include "scheduler_impl.hpp"

#include <algorithm>

namespace persimmonstair::scheduler {
namespace {

effects::EffectOptions MakeEffectOptions(const Options& options) {
  effects::EffectOptions out;
  out.instance = options.instance;
  out.incarnation = options.incarnation;
  return out;
}

programs::ProgramOptions MakeProgramOptions(const Options& options) {
  programs::ProgramOptions out;
  out.instance = options.instance;
  out.incarnation = options.incarnation;
  out.retention = options.retention;
  return out;
}

routing::Settings MakeRoutingSettings(const Options& options) {
  routing::Settings out;
  out.instance = options.instance;
  out.data_centre = options.data_centre;
  out.seed = options.seed;
  return out;
}

/// Period of the work that is not needed at every tick.
constexpr std::chrono::seconds kMaintenanceInterval{1};

}  // namespace

Scheduler::Impl::Impl(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      lease_manager_({options_.instance, options_.data_centre, options_.process}),
      order_lease_("orders." + options_.data_centre.value, options_.instance, options_.process),
      liveness_(options_.instance, options_.data_centre),
      limiter_(options_.instance, options_.process, options_.seed),
      effects_(MakeEffectOptions(options_)),
      store_(MakeProgramOptions(options_)),
      router_(MakeRoutingSettings(options_)),
      appends_(options_.appends_per_s) {
  readers_.emplace(kCatalogueStream, StreamReader(true));
  readers_.emplace(kControlStream, StreamReader(true));
  readers_.emplace(kClaimsStream, StreamReader(false));
  readers_.emplace(kProgramsStream, StreamReader(false));
  for (const PeerInfo& peer : options_.peers) peers_[peer.instance].data_centre = peer.data_centre;
}

std::vector<Action> Scheduler::Impl::Handle(const base::Now& now, Event event) {
  now_ = now;
  if (!started_at_) started_at_ = now.monotonic;
  std::visit([this](auto& value) { OnEvent(value); }, event);
  FlushAppends();
  return std::exchange(actions_, {});
}

void Scheduler::Impl::OnEvent(const Tick& /*event*/) {
  TickMembership();
  Perform(effects_.OnTick(now_));
  Perform(store_.OnTick(now_));
  Route(routing::Tick{});
  SendHeartbeat();
  if (now_.monotonic - last_maintenance_ >= kMaintenanceInterval) {
    last_maintenance_ = now_.monotonic;
    PollLoads();
    PollHeldPrograms();
    RequestSnapshot();
    WriteSnapshots();
    EndRequestsOfInvalidKeys();
  }
  ExpireRequests();
  ContinueStop();
}

void Scheduler::Impl::FlushAppends() {
  for (Append& append : appends_.Flush(now_.monotonic)) Emit(std::move(append));
}

Status Scheduler::Impl::GetStatus(const base::Now& now) const {
  Status out;
  out.ready = Ready() && !stopping_since_;
  out.stopping = stopping_since_.has_value();
  out.log_reachable = LogReachable();
  out.catalogue_version = catalogue_.version();
  out.incarnation = lease_manager_.View().incarnation;
  out.live = liveness_.Live(now.monotonic);
  out.requests = requests_.size();
  out.queued = router_.Queued();
  out.running = router_.Running();
  out.programs_known = store_.Index().size();
  out.program_bytes = store_.Bytes();
  out.unsettled = store_.Unsettled() + effects_.Live();
  for (const auto& [stream, reader] : readers_) out.records_skipped += reader.SkippedRecords();
  out.appends = appends_.CallCount();
  out.records_appended = appends_.RecordCount();
  out.forwarded = forwarded_count_;
  out.rate_refusals = rate_refusals_;
  return out;
}

}  // namespace persimmonstair::scheduler
