#include "core.hpp"

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

/// Time between two rounds of work that need not happen at each tick.
constexpr std::chrono::seconds kMaintenanceInterval{1};

}  // namespace

Scheduler::Core::Core(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      keeper_({options_.instance, options_.data_centre, options_.process}),
      orders_("orders." + options_.data_centre.value, options_.instance, options_.process),
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

std::vector<Action> Scheduler::Core::Handle(const base::Now& now, Event event) {
  now_ = now;
  if (!started_) started_ = now.monotonic;
  std::visit([this](auto& value) { On(value); }, event);
  FlushAppends();
  return std::exchange(out_, {});
}

void Scheduler::Core::On(const Tick& /*event*/) {
  TickMembership();
  Perform(effects_.OnTick(now_));
  Perform(store_.OnTick(now_));
  Route(routing::Tick{});
  SendHeartbeat();
  if (now_.monotonic - last_maintenance_ >= kMaintenanceInterval) {
    last_maintenance_ = now_.monotonic;
    PollEngines();
    CompareHeld();
    AskForSnapshot();
    WriteSnapshots();
    EndRequestsOfInvalidKeys();
  }
  ExpireRequests();
  ContinueStop();
}

void Scheduler::Core::FlushAppends() {
  for (Append& append : appends_.Flush(now_.monotonic)) Emit(std::move(append));
}

Status Scheduler::Core::GetStatus(const base::Now& now) const {
  Status out;
  out.ready = Ready() && !stopping_since_;
  out.stopping = stopping_since_.has_value();
  out.log_reachable = LogReachable();
  out.catalogue_version = catalogue_.version();
  out.incarnation = keeper_.View().incarnation;
  out.live = liveness_.Live(now.monotonic);
  out.requests = requests_.size();
  out.queued = router_.Queued();
  out.running = router_.Running();
  out.programs_known = store_.Index().size();
  out.program_bytes = store_.Bytes();
  out.unsettled = store_.Unsettled() + effects_.Live();
  for (const auto& [stream, reader] : readers_) out.records_skipped += reader.Skipped();
  out.appends = appends_.Calls();
  out.records_appended = appends_.Records();
  out.forwarded = forwarded_;
  out.rate_refusals = rate_refusals_;
  return out;
}

}  // namespace persimmonstair::scheduler
