#include "persimmonstair/routing/router.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "router_state.hpp"

namespace persimmonstair::routing {
namespace {

// Interval at which expired crashes and idle programs are removed to free memory.
constexpr base::Duration kSweepInterval{10'000'000};

}  // namespace

Router::Router(Settings settings) : state_(std::make_unique<State>(std::move(settings))) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

std::vector<Decision> Router::Handle(base::TimePoint now, const Event& event) {
  State& state = *state_;
  state.now = std::max(state.now, now);
  state.out.clear();
  std::visit([&state](const auto& it) { state.On(it); }, event);
  state.Schedule();
  return std::exchange(state.out, {});
}

std::size_t Router::Queued() const { return state_->queued; }

std::size_t Router::Running() const { return state_->attempts.size(); }

std::map<base::TargetId, std::uint32_t> Router::InFlight() const {
  std::map<base::TargetId, std::uint32_t> counts;
  for (const auto& [id, target] : state_->targets.All()) {
    if (target->own_in_flight > 0) counts.emplace(id, target->own_in_flight);
  }
  return counts;
}

std::map<base::WorkspaceId, std::uint64_t> Router::AttainedMicros() const {
  std::map<base::WorkspaceId, std::uint64_t> attained;
  for (const auto& [id, workspace] : state_->workspaces) {
    if (workspace.attained_us > 0) attained.emplace(id, workspace.attained_us);
  }
  return attained;
}

bool Router::IsLeaving(const base::TargetId& target) const {
  const Target* it = std::as_const(state_->targets).Find(target);
  return it == nullptr || !it->listed || it->leaving.Any();
}

bool Router::IsSuspect(const base::TargetId& target) const {
  const Target* it = std::as_const(state_->targets).Find(target);
  return it != nullptr && it->health.suspect;
}

void Router::State::On(const TargetReported& event) { targets.ApplyReport(now, event); }

void Router::State::On(const PeerLoad& event) {
  targets.ApplyPeer(now, event);
  const auto known = peer_attained.find(event.instance);
  if (known != peer_attained.end()) {
    for (const auto& [id, total] : event.attained_us) {
      const auto before = known->second.find(id);
      const std::uint64_t last = before == known->second.end() ? 0 : before->second;
      // A lower total means that the peer restarted and counts from zero.
      const std::uint64_t gained = total >= last ? total - last : total;
      const double seconds = static_cast<double>(gained) / 1e6;
      const Workspace& workspace = WorkspaceOf(id);
      for (auto& [key, it] : targets.Classes()) {
        if (it.engine && gained > 0) it.queue.Charge(workspace, seconds, false);
      }
    }
  }
  peer_attained[event.instance] = event.attained_us;
}

void Router::State::On(const PeerGone& event) {
  targets.RemovePeer(event.instance);
  peer_attained.erase(event.instance);
}

void Router::State::On(const PeerPoisonReport& event) {
  crashes.Add(now, {event.workspace, event.fingerprint}, event.target);
  MarkAllClassesChanged();
}

void Router::State::On(const CatalogueApplied& event) {
  weights = event.weights;
  for (auto& [id, workspace] : workspaces) {
    const auto it = weights.find(id);
    workspace.weight = it == weights.end() || it->second <= 0 ? 1 : it->second;
  }
  targets.ApplyCatalogue(event.targets);
}

void Router::State::On(const InstanceListApplied& event) {
  targets.ApplyInstanceList(event.leaving);
}

void Router::State::On(const DataCentreReachability& event) { targets.ApplyReachability(event); }

void Router::State::On(const Tick& /*event*/) {
  // The wait for a busy engine is limited in time, so it can end without any other event.
  MarkAllClassesChanged();
  targets.Expire(now);
  SendProbes();
  RefuseExpired();
  if (now - swept_at < kSweepInterval) return;
  swept_at = now;
  crashes.Expire(now);
  std::erase_if(programs, [this](const auto& entry) {
    const ProgramTree& it = entry.second;
    return it.running == 0 && it.queued.empty() && now - it.last_used_at > settings.program_expiry;
  });
}

}  // namespace persimmonstair::routing
