#include "simulation.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

#include "engine.hpp"
#include "events.hpp"
#include "frontend.hpp"

namespace persimmonstair::bench {
namespace {

// Time after which a caller retries when the rate limiter refused it, as the retry hint states.
constexpr double kRateRetrySeconds = 1;

// Runs the programs of a workload in virtual time and collects the measures. Programs are
// identified by their index in the workload.
class Simulation {
 public:
  Simulation(const Deployment& deployment, const Workload& workload, const Policy& policy,
             const RunPeriod& run_period)
      : deployment_(deployment),
        workload_(workload),
        run_period_(run_period),
        static_rate_(policy.static_rate),
        targets_(events_, deployment),
        runs_(workload.programs.size()) {
    frontend_ = policy.settings ? MakeRouterFrontend(events_, deployment_, targets_,
                                                     *policy.settings, run_period.limit_s)
                                : MakeRoundRobinFrontend(events_, deployment_, targets_);
    const std::size_t buckets =
        static_cast<std::size_t>(deployment.instances) * deployment.shares.size();
    bucket_levels_.assign(buckets, 0);
    for (std::size_t i = 0; i < buckets; ++i) bucket_levels_[i] = InstanceBurst(i);
    bucket_refilled_at_.assign(buckets, 0);
    for (std::size_t i = 0; i < runs_.size(); ++i) {
      runs_[i].instance = workload.programs[i].instance;
    }
  }

  Measures Run() {
    for (std::size_t i = 0; i < workload_.programs.size(); ++i) {
      const ProgramPlan& plan = workload_.programs[i];
      if (plan.parent >= 0) continue;
      ++unfinished_roots_;
      events_.ScheduleAfter(plan.arrival_s, [this, i] { Arrive(static_cast<int>(i)); });
    }
    events_.ScheduleAfter(run_period_.end_s, [this] {
      for (const auto& it : targets_.engines) work_s_ += it->work_s();
    });
    while (unfinished_roots_ > 0 && events_.RunNext(run_period_.limit_s)) {
    }
    return ComputeMeasures();
  }

 private:
  struct ProgramRun {
    std::size_t turn = 0;
    /// Tokens of the prompt and completions so far.
    int context = 0;
    /// Engine of the last turn; -1 before the first one.
    int engine = -1;
    /// Activities (pause, service call, sub-programs) that must end before the next turn.
    int pending_activities = 0;
    /// Instance that the load balancer chose.
    int instance = 0;
    bool started = false;
    bool ended = false;
    double begin_s = 0;
    double end_s = 0;
  };

  const ProgramPlan& Plan(int i) const { return workload_.programs[static_cast<std::size_t>(i)]; }
  ProgramRun& State(int i) { return runs_[static_cast<std::size_t>(i)]; }
  bool IsMeasured(const ProgramPlan& plan) const { return plan.arrival_s >= run_period_.warm_up_s; }

  double InstanceBurst(std::size_t bucket) const {
    return workload_.burst[bucket % workload_.burst.size()] / deployment_.instances;
  }

  // Static rate/N limiter: each instance has its own bucket for each workspace.
  bool TakeStaticToken(int i) {
    const ProgramPlan& plan = Plan(i);
    const std::size_t bucket = static_cast<std::size_t>(plan.instance) * deployment_.shares.size() +
                               static_cast<std::size_t>(plan.workspace);
    const double rate =
        workload_.rate_per_s[static_cast<std::size_t>(plan.workspace)] / deployment_.instances;
    // A bucket with a capacity below one token would never admit a program.
    const double capacity = std::max(1.0, InstanceBurst(bucket));
    bucket_levels_[bucket] = std::min(
        capacity, bucket_levels_[bucket] + (events_.now() - bucket_refilled_at_[bucket]) * rate);
    bucket_refilled_at_[bucket] = events_.now();
    if (bucket_levels_[bucket] < 1) return false;
    bucket_levels_[bucket] -= 1;
    return true;
  }

  void Arrive(int i) {
    const ProgramPlan& plan = Plan(i);
    ProgramRun& run = State(i);
    // The exact limiter refuses the excess of the first workspace, which exceeds its rate, under
    // static rates too. Otherwise the excess would compete with that workspace's own admitted
    // programs.
    if (!plan.in_rate) {
      --unfinished_roots_;
      return;
    }
    if (!run.started) run.begin_s = events_.now();
    run.started = true;
    if (static_rate_ && plan.workspace != 0 && !TakeStaticToken(i)) {
      if (IsMeasured(plan)) ++rate_refusals_;
      run.instance = (run.instance + 1) % deployment_.instances;
      events_.ScheduleAfter(kRateRetrySeconds, [this, i] { Arrive(i); });
      return;
    }
    events_.ScheduleAfter(deployment_.caller_delay_s, [this, i] { StartTurn(i); });
  }

  void StartTurn(int i) {
    const ProgramPlan& plan = Plan(i);
    ProgramRun& run = State(i);
    const Turn& turn = plan.turns[run.turn];
    Call call = MakeCall(i);
    call.prompt_tokens = run.context + turn.new_tokens;
    call.completion_tokens = turn.completion_tokens;
    call.last_engine = run.engine;
    call.held_tokens = run.context;
    call.on_done = [this, i](int engine, int cached) { EndTurn(i, engine, cached); };
    call.on_refused = [this, i](double retry_s) { Retry(i, retry_s, &Simulation::StartTurn); };
    frontend_->Submit(std::move(call));
  }

  Call MakeCall(int i) {
    const ProgramPlan& plan = Plan(i);
    Call call;
    call.program = i;
    call.root = plan.root;
    call.workspace = plan.workspace;
    call.instance = State(i).instance;
    return call;
  }

  void Retry(int i, double retry_s, void (Simulation::*action)(int)) {
    if (IsMeasured(Plan(Plan(i).root))) ++queue_refusals_;
    events_.ScheduleAfter(std::max(retry_s, 0.1), [this, i, action] { (this->*action)(i); });
  }

  void EndTurn(int i, int engine, int cached) {
    const ProgramPlan& plan = Plan(i);
    ProgramRun& run = State(i);
    const Turn& turn = plan.turns[run.turn];
    if (IsMeasured(Plan(plan.root))) {
      const int recomputed = std::max(0, run.context - cached);
      wasted_ += recomputed;
      if (engine == run.engine) evicted_ += recomputed;
    }
    run.context += turn.new_tokens + turn.completion_tokens;
    run.engine = engine;
    const bool last = run.turn + 1 == plan.turns.size();
    if (last && turn.children.empty()) {
      Finish(i);
      return;
    }
    run.pending_activities = static_cast<int>(turn.children.size()) + (last ? 0 : 1);
    for (const int child : turn.children) StartTurn(child);
    if (last) return;
    if (turn.service_s > 0) {
      ++run.pending_activities;
      CallService(i);
    }
    events_.ScheduleAfter(turn.pause_s + 2 * deployment_.caller_delay_s,
                          [this, i] { OnActivityEnded(i); });
  }

  void CallService(int i) {
    Call call = MakeCall(i);
    call.service = true;
    call.service_s = Plan(i).turns[State(i).turn].service_s;
    call.on_done = [this, i](int, int) { OnActivityEnded(i); };
    call.on_refused = [this, i](double retry_s) { Retry(i, retry_s, &Simulation::CallService); };
    frontend_->Submit(std::move(call));
  }

  // Called when the pause, the service call or a sub-program between two turns has ended.
  void OnActivityEnded(int i) {
    ProgramRun& run = State(i);
    if (--run.pending_activities > 0) return;
    if (++run.turn < Plan(i).turns.size()) {
      StartTurn(i);
    } else {
      Finish(i);
    }
  }

  void Finish(int i) {
    const ProgramPlan& plan = Plan(i);
    State(i).ended = true;
    State(i).end_s = events_.now();
    if (plan.parent >= 0) {
      OnActivityEnded(plan.parent);
    } else {
      --unfinished_roots_;
    }
  }

  Measures ComputeMeasures() const {
    Measures out;
    std::vector<double> latencies;
    std::vector<double> slowdown(deployment_.shares.size(), 0);
    std::vector<int> count(slowdown.size(), 0);
    for (std::size_t i = 0; i < runs_.size(); ++i) {
      const ProgramPlan& plan = workload_.programs[i];
      const ProgramRun& run = runs_[i];
      if (plan.parent >= 0 || !IsMeasured(plan) || !run.started) continue;
      const double latency = (run.ended ? run.end_s : events_.now()) - run.begin_s;
      latencies.push_back(latency);
      out.unfinished += run.ended ? 0 : 1;
      slowdown[static_cast<std::size_t>(plan.workspace)] += latency / plan.ideal_s;
      ++count[static_cast<std::size_t>(plan.workspace)];
    }
    std::ranges::sort(latencies);
    const auto quantile = [&latencies](double q) {
      return latencies.empty() ? 0
                               : latencies[static_cast<std::size_t>(
                                     q * static_cast<double>(latencies.size() - 1))];
    };
    out.p50_s = quantile(0.5);
    out.p95_s = quantile(0.95);
    out.p99_s = quantile(0.99);
    for (std::size_t w = 0; w < slowdown.size(); ++w) {
      const double mean = slowdown[w] / std::max(1, count[w]);
      if (mean <= out.worst_slowdown) continue;
      out.worst_slowdown = mean;
      out.worst_workspace = static_cast<int>(w);
    }
    out.wasted_tokens = wasted_;
    out.evicted_tokens = evicted_;
    out.rate_refusals = rate_refusals_;
    out.queue_refusals = queue_refusals_;
    out.utilisation = work_s_ / (run_period_.end_s * deployment_.engines);
    out.programs = static_cast<int>(latencies.size());
    return out;
  }

  const Deployment& deployment_;
  const Workload& workload_;
  RunPeriod run_period_;
  bool static_rate_;
  EventQueue events_;
  SimulatedTargets targets_;
  std::unique_ptr<Frontend> frontend_;
  std::vector<ProgramRun> runs_;
  // Token buckets of the static limiter, by instance and workspace.
  std::vector<double> bucket_levels_;
  std::vector<double> bucket_refilled_at_;
  // Programs without a parent that have not ended.
  int unfinished_roots_ = 0;
  double wasted_ = 0;
  double evicted_ = 0;
  double rate_refusals_ = 0;
  double queue_refusals_ = 0;
  double work_s_ = 0;
};

}  // namespace

Measures Simulate(const Deployment& deployment, const Workload& workload, const Policy& policy,
                  const RunPeriod& run_period) {
  return Simulation(deployment, workload, policy, run_period).Run();
}

}  // namespace persimmonstair::bench
