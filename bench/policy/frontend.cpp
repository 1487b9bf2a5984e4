#include "frontend.hpp"

#include <cmath>
#include <unordered_map>
#include <utility>
#include <variant>

namespace persimmonstair::bench {
namespace {

using routing::Decision;

constexpr double kTickSeconds = 0.1;
constexpr double kHeartbeatSeconds = 0.2;
constexpr double kReportSeconds = 1;
// Time between a target's load measurement and its arrival at the instances.
constexpr double kReportLagSeconds = 0.5;

double NetworkDelay(const Deployment& deployment, int instance, int target) {
  const bool local = instance % deployment.data_centres == target % deployment.data_centres;
  return local ? 0 : deployment.between_centres_s;
}

Job MakeJob(const Call& call) {
  Job job;
  job.program = call.program;
  job.prompt_tokens = call.prompt_tokens;
  job.completion_tokens = call.completion_tokens;
  job.service_s = call.service_s;
  return job;
}

// See MakeRoundRobinFrontend().
class RoundRobinFrontend : public Frontend {
 public:
  RoundRobinFrontend(EventQueue& events, const Deployment& deployment,
                     SimulatedTargets& simulated_targets)
      : events_(events), deployment_(deployment), targets_(simulated_targets) {
    // Each instance starts its rotation at a different target.
    for (int i = 0; i < deployment.instances; ++i) {
      next_engine_.push_back(i);
      next_service_.push_back(i);
    }
  }

  void Submit(Call call) override {
    const auto instance = static_cast<std::size_t>(call.instance);
    const std::size_t n = call.service ? targets_.services.size() : targets_.engines.size();
    int& next = call.service ? next_service_[instance] : next_engine_[instance];
    const int target = next++ % static_cast<int>(n);
    const double delay = NetworkDelay(deployment_, call.instance, target);
    Job job = MakeJob(call);
    job.on_done = [this, target, delay, done = call.on_done](const Job& it) {
      events_.ScheduleAfter(delay,
                            [done, target, cached = it.cached_tokens] { done(target, cached); });
    };
    events_.ScheduleAfter(delay, [this, target, service = call.service, job = std::move(job)] {
      const auto at = static_cast<std::size_t>(target);
      if (service) {
        targets_.services[at]->Submit(job);
      } else {
        targets_.engines[at]->Submit(job);
      }
    });
  }

 private:
  EventQueue& events_;
  const Deployment& deployment_;
  SimulatedTargets& targets_;
  std::vector<int> next_engine_;
  std::vector<int> next_service_;
};

std::string TargetName(bool service, int n) {
  std::string digits = std::to_string(n);
  return (service ? "s" : "e") + std::string(3 - digits.size(), '0') + digits;
}

std::string WorkspaceName(int n) { return "w" + std::to_string(n); }

std::vector<catalogue::Target> MakeTargetEntries(const Deployment& deployment) {
  std::vector<catalogue::Target> entries;
  for (int n = 0; n < deployment.engines + deployment.services; ++n) {
    const bool service = n >= deployment.engines;
    const int number = service ? n - deployment.engines : n;
    catalogue::Target it;
    it.id = {TargetName(service, number)};
    it.data_centre = {"d" + std::to_string(number % deployment.data_centres)};
    it.kind = service ? catalogue::TargetKind::kService : catalogue::TargetKind::kEngine;
    it.slots =
        static_cast<std::uint32_t>(service ? deployment.service_slots : deployment.engine_slots);
    it.prefill_tokens_per_s = deployment.prefill_tokens_per_s;
    it.decode_tokens_per_s = deployment.decode_tokens_per_s;
    if (service) {
      it.routes = {{"tool"}};
    } else {
      it.models = {{"model"}};
    }
    entries.push_back(std::move(it));
  }
  return entries;
}

// See MakeRouterFrontend().
class RouterFrontend : public Frontend {
 public:
  RouterFrontend(EventQueue& events, const Deployment& deployment,
                 SimulatedTargets& simulated_targets, const routing::Settings& settings,
                 double end_s)
      : events_(events), deployment_(deployment), targets_(simulated_targets), end_s_(end_s) {
    routing::CatalogueApplied catalogue{MakeTargetEntries(deployment), {}};
    for (std::size_t w = 0; w < deployment.shares.size(); ++w) {
      catalogue.weights[{WorkspaceName(static_cast<int>(w))}] = deployment.shares[w];
    }
    for (int i = 0; i < deployment.instances; ++i) {
      routing::Settings instance_settings = settings;
      instance_settings.instance = {"i" + std::to_string(i)};
      instance_settings.data_centre = {"d" + std::to_string(i % deployment.data_centres)};
      instance_settings.seed = static_cast<std::uint64_t>(i);
      instances_.push_back(std::make_unique<SimulatedInstance>(std::move(instance_settings)));
      DeliverEvent(i, catalogue);
      const double offset = static_cast<double>(i) / deployment.instances;
      SchedulePeriodic(kTickSeconds, kTickSeconds * offset,
                       [this, i] { DeliverEvent(i, routing::Tick{}); });
      SchedulePeriodic(kHeartbeatSeconds, kHeartbeatSeconds * offset,
                       [this, i] { SendHeartbeat(i); });
    }
    for (int n = 0; n < deployment.engines; ++n) {
      const double offset = static_cast<double>(n) / deployment.engines;
      SchedulePeriodic(kReportSeconds, kReportSeconds * offset, [this, n] { SendTargetReport(n); });
    }
  }

  void Submit(Call call) override {
    routing::RequestQueued event;
    event.request = {++requests_};
    event.workspace = {WorkspaceName(call.workspace)};
    event.program = {"p" + std::to_string(call.program)};
    event.root = {"p" + std::to_string(call.root)};
    if (call.service) {
      event.route = {"tool"};
    } else {
      event.model = {"model"};
      // The length of this completion is unknown, so the router gets the mean of the model.
      event.expected_completion_tokens = static_cast<std::int64_t>(deployment_.completion_tokens);
      if (call.last_engine >= 0) event.last_target = {TargetName(false, call.last_engine)};
    }
    event.prompt_tokens = call.prompt_tokens;
    event.held_tokens = call.held_tokens;
    event.fingerprint = requests_;
    const int instance = call.instance;
    instances_[static_cast<std::size_t>(instance)]->calls.emplace(event.request, std::move(call));
    DeliverEvent(instance, event);
  }

 private:
  // Router of one instance with the calls that are queued or in flight there.
  struct SimulatedInstance {
    explicit SimulatedInstance(routing::Settings settings) : router(std::move(settings)) {}
    routing::Router router;
    std::unordered_map<base::RequestId, Call> calls;
  };

  void SchedulePeriodic(double period, double offset, const std::function<void()>& action) {
    events_.ScheduleAfter(offset, [this, period, action] {
      action();
      if (events_.now() < end_s_) SchedulePeriodic(period, period, action);
    });
  }

  // Delivers the event to the router of the instance and executes its decisions.
  void DeliverEvent(int instance, const routing::Event& event) {
    const base::TimePoint now{base::Duration{std::llround(events_.now() * 1e6)}};
    SimulatedInstance& node = *instances_[static_cast<std::size_t>(instance)];
    for (const Decision& it : node.router.Handle(now, event)) {
      if (const auto* start = std::get_if<routing::Dispatch>(&it)) StartAttempt(instance, *start);
      if (const auto* refuse = std::get_if<routing::Refuse>(&it)) {
        const auto call = node.calls.extract(refuse->request);
        const double seconds = base::ToSeconds(refuse->error.retry_after);
        events_.ScheduleAfter(0, [done = call.mapped().on_refused, seconds] { done(seconds); });
      }
      if (const auto* probe = std::get_if<routing::Probe>(&it)) {
        events_.ScheduleAfter(0.001, [this, instance, target = probe->target] {
          DeliverEvent(instance, routing::ProbeFinished{target, true});
        });
      }
      if (const auto* cancel = std::get_if<routing::CancelAttempt>(&it)) {
        // The caller's deadline has passed. The simulated engine finishes the request anyway.
        events_.ScheduleAfter(0, [this, instance, attempt = cancel->attempt] {
          DeliverEvent(instance, routing::AttemptFailed{attempt, routing::FailureKind::kCancelled});
        });
      }
    }
  }

  void StartAttempt(int instance, const routing::Dispatch& dispatch) {
    const Call& call = instances_[static_cast<std::size_t>(instance)]->calls.at(dispatch.request);
    const int target = std::stoi(dispatch.target.value.substr(1));
    const double delay = NetworkDelay(deployment_, instance, target);
    Job job = MakeJob(call);
    job.on_first_byte = [this, instance, delay, attempt = dispatch.attempt] {
      events_.ScheduleAfter(delay, [this, instance, attempt] {
        DeliverEvent(instance, routing::AttemptFirstByte{attempt});
      });
    };
    job.on_done = [this, instance, delay, target, dispatch](const Job& it) {
      const routing::AttemptFinished event{dispatch.attempt, it.prompt_tokens, it.cached_tokens,
                                           it.completion_tokens, false};
      events_.ScheduleAfter(delay, [this, instance, target, request = dispatch.request, event] {
        auto call = instances_[static_cast<std::size_t>(instance)]->calls.extract(request);
        DeliverEvent(instance, event);
        if (call) call.mapped().on_done(target, static_cast<int>(event.cached_tokens));
      });
    };
    events_.ScheduleAfter(delay, [this, target, service = call.service, job = std::move(job)] {
      const auto at = static_cast<std::size_t>(target);
      if (service) {
        targets_.services[at]->Submit(job);
      } else {
        targets_.engines[at]->Submit(job);
      }
    });
  }

  void SendHeartbeat(int instance) {
    const SimulatedInstance& node = *instances_[static_cast<std::size_t>(instance)];
    const routing::PeerLoad load{
        {"i" + std::to_string(instance)}, node.router.InFlight(), node.router.AttainedMicros()};
    for (int i = 0; i < deployment_.instances; ++i) {
      if (i == instance) continue;
      events_.ScheduleAfter(NetworkDelay(deployment_, instance, i),
                            [this, i, load] { DeliverEvent(i, load); });
    }
  }

  void SendTargetReport(int n) {
    const Engine& engine = *targets_.engines[static_cast<std::size_t>(n)];
    const routing::TargetReported report{{TargetName(false, n)},
                                         static_cast<std::uint32_t>(engine.running()),
                                         static_cast<std::uint32_t>(engine.waiting()),
                                         false,
                                         base::Duration{std::llround(kReportLagSeconds * 1e6)}};
    for (int i = 0; i < deployment_.instances; ++i) {
      events_.ScheduleAfter(kReportLagSeconds, [this, i, report] { DeliverEvent(i, report); });
    }
  }

  EventQueue& events_;
  const Deployment& deployment_;
  SimulatedTargets& targets_;
  double end_s_;
  std::vector<std::unique_ptr<SimulatedInstance>> instances_;
  std::uint64_t requests_ = 0;
};

}  // namespace

SimulatedTargets::SimulatedTargets(EventQueue& events, const Deployment& deployment) {
  for (int n = 0; n < deployment.engines; ++n) {
    engines.push_back(std::make_unique<Engine>(events, deployment));
  }
  for (int n = 0; n < deployment.services; ++n) {
    services.push_back(std::make_unique<Service>(events, deployment.service_slots));
  }
}

std::unique_ptr<Frontend> MakeRoundRobinFrontend(EventQueue& events, const Deployment& deployment,
                                                 SimulatedTargets& simulated_targets) {
  return std::make_unique<RoundRobinFrontend>(events, deployment, simulated_targets);
}

std::unique_ptr<Frontend> MakeRouterFrontend(EventQueue& events, const Deployment& deployment,
                                             SimulatedTargets& simulated_targets,
                                             const routing::Settings& settings, double end_s) {
  return std::make_unique<RouterFrontend>(events, deployment, simulated_targets, settings, end_s);
}

}  // namespace persimmonstair::bench
