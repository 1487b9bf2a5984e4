#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <random>
#include <string>
#include <vector>

#include "persimmonstair/routing/router.hpp"

namespace persimmonstair::bench {
namespace {

using base::Duration;

// Sizes of the present deployments; the runs multiply them by 1, 10 and 100.
constexpr int kWorkspaces = 8;
constexpr int kTargets = 30;
constexpr int kQueued = 200;
constexpr int kSlots = 4;
// Targets in groups of ten share one model (engines) or one route (services). A third of the
// targets are services.
constexpr int kTargetsPerModel = 10;

// Keeps a router under load with all slots in use and a constant queue.
class RouterLoad {
 public:
  RouterLoad(int scale, std::uint64_t seed)
      : scale_(scale), random_(seed), router_(MakeSettings()) {
    routing::CatalogueApplied catalogue;
    for (int n = 0; n < kTargets * scale; ++n) {
      catalogue::Target it;
      it.id = {"t" + std::to_string(n)};
      it.data_centre = {"d1"};
      it.slots = kSlots;
      it.kind = n % 3 == 2 ? catalogue::TargetKind::kService : catalogue::TargetKind::kEngine;
      it.models = {{"m" + std::to_string(n / kTargetsPerModel % 15)}};
      it.routes = {{"r" + std::to_string(n / kTargetsPerModel % 15)}};
      catalogue.targets.push_back(std::move(it));
    }
    Handle(catalogue);
    // Fill all slots and the queue.
    for (int n = 0; n < (kTargets * kSlots + kQueued) * scale; ++n) Queue();
  }

  void Queue() {
    routing::RequestQueued it;
    it.request = {++requests_};
    it.workspace = {"w" + std::to_string(RandomBelow(kWorkspaces * scale_))};
    it.program = {"p" + std::to_string(RandomBelow(500 * scale_))};
    const int target = RandomBelow(kTargets * scale_);
    const std::string group = std::to_string(target / kTargetsPerModel % 15);
    if (target % 3 == 2) {
      it.route = {"r" + group};
    } else {
      it.model = {"m" + group};
      it.last_target = {"t" + std::to_string(target)};
    }
    it.prompt_tokens = 4000;
    it.held_tokens = 3500;
    it.expected_completion_tokens = 150;
    it.fingerprint = requests_;
    Handle(it);
  }

  void Finish() {
    if (running_.empty()) return;
    const auto at = static_cast<std::size_t>(RandomBelow(static_cast<int>(running_.size())));
    std::swap(running_[at], running_.back());
    const base::AttemptId attempt = running_.back();
    running_.pop_back();
    Handle(routing::AttemptFinished{attempt, 4000, 3500, 150});
  }

  void TickOnce() { Handle(routing::Tick{}); }
  std::size_t Queued() const { return router_.Queued(); }

 private:
  static routing::Settings MakeSettings() {
    routing::Settings it;
    it.data_centre = {"d1"};
    it.max_queued = 1'000'000;
    // No request expires or is refused, so that the queue keeps its length.
    it.max_queue_time = Duration{1'000'000'000'000};
    it.default_deadline = Duration{1'000'000'000'000};
    return it;
  }

  int RandomBelow(int n) { return static_cast<int>(random_() % static_cast<std::uint64_t>(n)); }

  void Handle(const routing::Event& event) {
    now_ += Duration{100};
    for (const auto& it : router_.Handle(now_, event)) {
      if (const auto* dispatch = std::get_if<routing::Dispatch>(&it)) {
        running_.push_back(dispatch->attempt);
      }
    }
  }

  int scale_;
  std::mt19937_64 random_;
  routing::Router router_;
  base::TimePoint now_;
  std::vector<base::AttemptId> running_;
  std::uint64_t requests_ = 0;
};

template <class Action>
double CpuNanosPerCall(int n, Action action) {
  // CPU time does not include other processes of the machine.
  const std::clock_t begin = std::clock();
  for (int i = 0; i < n; ++i) action();
  return static_cast<double>(std::clock() - begin) * 1e9 / CLOCKS_PER_SEC / n;
}

}  // namespace
}  // namespace persimmonstair::bench

int main(int argc, char** argv) {
  int rounds = 20'000;
  CLI::App app{
      "Time of routing decisions at 1, 10 and 100 times 8 workspaces, 30 targets and 200 queued "
      "requests"};
  app.add_option("--rounds", rounds, "Number of requests that finish and are replaced by new ones");
  CLI11_PARSE(app, argc, argv);
  std::printf("| scale | queued | ns per request (finish, dispatch, queue) | ns per tick |\n");
  std::printf("|---|---|---|---|\n");
  for (const int scale : {1, 10, 100}) {
    persimmonstair::bench::RouterLoad load(scale, 1);
    const double request = persimmonstair::bench::CpuNanosPerCall(rounds, [&load] {
      load.Finish();
      load.Queue();
    });
    const double tick = persimmonstair::bench::CpuNanosPerCall(200, [&load] { load.TickOnce(); });
    std::printf("| %dx | %zu | %.0f | %.0f |\n", scale, load.Queued(), request, tick);
  }
}
