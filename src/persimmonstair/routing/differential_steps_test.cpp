#include <algorithm>
#include <random>
#include <sstream>

#include "differential.hpp"
#include "differential_model.hpp"

namespace persimmonstair::routing::differential {
namespace {

using base::Duration;
using base::TargetId;

constexpr std::uint32_t kTargets = 6;
constexpr std::uint32_t kKinds = 24;

Settings SmallSettings(bool plan_ahead) {
  Settings settings;
  settings.instance = {"i1"};
  settings.data_centre = {"d0"};
  settings.max_queued = 12;
  settings.plan_ahead = plan_ahead;
  settings.retry_burst = 3;
  settings.max_queue_time = Duration{8'000'000};
  settings.default_deadline = Duration{20'000'000};
  return settings;
}

TargetId TargetNamed(std::uint32_t n) { return {"t" + std::to_string(n % kTargets)}; }
base::WorkspaceId WorkspaceNamed(std::uint32_t n) { return {"w" + std::to_string(n % 3)}; }

catalogue::Target Entry(std::uint32_t n) {
  catalogue::Target it;
  it.id = TargetNamed(n);
  it.data_centre = {"d" + std::to_string(n % 2)};
  it.address = "127.0.0.1";
  it.port = 9000 + n;
  it.slots = 1 + n % 3;
  if (n % 3 == 2) {
    it.kind = catalogue::TargetKind::kService;
    it.routes = {{"parts"}};
  } else {
    it.models = {{"small"}};
    if (n % 2 == 0) it.models.push_back({"large"});
  }
  return it;
}

// Turns steps into events; keeps only what it needs to refer to earlier events.
class Driver {
 public:
  explicit Driver(bool plan_ahead)
      : router_(SmallSettings(plan_ahead)), model_(SmallSettings(plan_ahead)) {}

  std::string Apply(const Step& step) {
    now_ += Duration{(step.c >> 8U) % 4 == 0 ? (step.c >> 12U) % 400'000 : 0};
    return Send(MakeEvent(step));
  }

  // Closes the connections of all attempts at one target.
  std::string Crash(const Step& step) {
    const TargetId target = TargetNamed(step.a);
    for (const base::AttemptId attempt : model_.Running()) {
      if (model_.TargetOf(attempt) != target) continue;
      auto broken = Send(AttemptFailed{attempt, FailureKind::kConnectionClosed});
      if (!broken.empty()) return broken;
    }
    return "";
  }

  std::string Begin() { return Send(Catalogue(0, 0)); }

 private:
  std::string Send(const Event& event) {
    model_.Observe(now_, event);
    const auto decisions = router_.Handle(now_, event);
    for (const auto& it : decisions) {
      if (const auto* dispatch = std::get_if<Dispatch>(&it)) sent_.push_back(dispatch->attempt);
    }
    return model_.Verify(decisions, router_);
  }

  base::AttemptId PickAttempt(const Step& step) const {
    const auto running = model_.Running();
    // One in eight is any attempt of the past: a late or repeated event.
    if (!sent_.empty() && (running.empty() || step.b % 8 == 0)) return sent_[step.a % sent_.size()];
    return running.empty() ? base::AttemptId{step.a} : running[step.a % running.size()];
  }

  Event Catalogue(std::uint32_t a, std::uint32_t b) const {
    CatalogueApplied event;
    for (std::uint32_t n = 0; n < kTargets; ++n) {
      if (b != 0 && (b >> n) % 4 == 1) continue;
      event.targets.push_back(Entry(n));
      if (a % (2 * kTargets) == n + 1) {
        event.targets.back().state = catalogue::TargetState::kLeaving;
      }
    }
    event.weights = {{{"w0"}, 1}, {{"w1"}, 4}};
    return event;
  }

  Event Request(const Step& step) {
    RequestQueued event;
    // Sometimes a repeated id.
    event.request = {1 + step.a % (1 + requests_)};
    if (step.b % 16 != 0 || !model_.IsActive(event.request)) event.request = {++requests_};
    event.workspace = WorkspaceNamed(step.a);
    event.program = {"p" + std::to_string(step.a % 5)};
    if (step.a % 7 == 0) event.root = {"p0"};
    if (step.b % 3 == 0) {
      event.route = {"parts"};
    } else {
      event.model = {step.b % 3 == 1 ? "small" : "large"};
    }
    event.prompt_tokens = step.c % 4000;
    event.expected_completion_tokens = step.c % 300;
    event.last_target = TargetNamed(step.c);
    event.held_tokens = event.prompt_tokens / 2;
    event.idempotent = step.b % 4 != 1;
    event.fingerprint = step.c % 6;
    if (step.c % 5 == 0) event.deadline = Duration{1'000 + step.c % 3'000'000};
    return event;
  }

  Event Failure(const Step& step) const {
    AttemptFailed event{PickAttempt(step)};
    event.kind = static_cast<FailureKind>(step.b % 7);
    const bool sent =
        event.kind != FailureKind::kConnectRefused && event.kind != FailureKind::kConnectTimeout;
    event.verdict = sent ? base::Verdict::kMayHaveRun : base::Verdict::kNotRun;
    if (step.c % 8 == 0) {
      event.leaving = true;
      event.kind = FailureKind::kMalformedAnswer;
      event.verdict = base::Verdict::kNotRun;
    }
    event.partly_relayed = sent && step.c % 8 == 1;
    return event;
  }

  Event Peer(const Step& step) const {
    PeerLoad event{{"i" + std::to_string(2 + step.a % 2)}, {}, {}};
    for (std::uint32_t n = 0; n < kTargets; ++n) {
      if ((step.b >> n) % 4 == 0) event.in_flight[TargetNamed(n)] = 1 + (step.c >> n) % 2;
    }
    event.attained_us[WorkspaceNamed(step.c)] = step.a % 9'000'000;
    return event;
  }

  Event MakeEvent(const Step& step) {
    switch (step.kind % kKinds) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
      case 5:
        return Request(step);
      case 6:
        return RequestCancelled{{1 + step.a % (1 + requests_)}};
      case 7:
        return AttemptStarted{PickAttempt(step)};
      case 8:
        return AttemptFirstByte{PickAttempt(step)};
      case 9:
      case 10:
      case 11:
        return AttemptFinished{PickAttempt(step), 100, 50, 20, step.c % 16 == 0};
      case 12:
      case 13:
        return Failure(step);
      case 14:
        return TargetReported{TargetNamed(step.a), step.b % 4, step.b % 2, step.c % 8 == 0,
                              Duration{step.c % 2'000'000}};
      case 15:
        return Peer(step);
      case 16:
        return PeerGone{{"i" + std::to_string(2 + step.a % 2)}};
      case 17:
        return PeerPoisonReport{WorkspaceNamed(step.a), step.b % 6, TargetNamed(step.c)};
      case 18:
        return PeerTargetSuspect{TargetNamed(step.a), step.b % 4 == 0};
      case 19:
        return Catalogue(step.a, step.b % 2 == 0 ? 0 : step.c);
      case 20:
        return InstanceListApplied{step.b % 2 == 0 ? std::set<TargetId>{}
                                                   : std::set<TargetId>{TargetNamed(step.a)}};
      case 21:
        return DataCentreReachability{{"d" + std::to_string(step.a % 2)}, step.b % 3 != 0};
      case 22:
        return ProbeFinished{TargetNamed(step.a), step.b % 4 != 0};
      default:
        return Tick{};
    }
  }

  base::TimePoint now_{Duration{1'000'000'000}};
  Router router_;
  ReferenceModel model_;
  std::vector<base::AttemptId> sent_;
  std::uint64_t requests_ = 0;
};

}  // namespace

std::vector<Step> MakeSteps(std::uint64_t seed, std::size_t n) {
  std::mt19937_64 random(seed);
  const auto draw = [&random] { return static_cast<std::uint32_t>(random() >> 32U); };
  std::vector<Step> steps(n);
  // One kind beyond the events stands for a crash of a target.
  for (Step& it : steps) it = {draw() % (kKinds + 1), draw(), draw(), draw()};
  return steps;
}

std::string Run(const std::vector<Step>& steps, bool plan_ahead) {
  Driver driver(plan_ahead);
  if (auto broken = driver.Begin(); !broken.empty()) return broken;
  for (const Step& it : steps) {
    auto broken = it.kind == kKinds ? driver.Crash(it) : driver.Apply(it);
    if (!broken.empty()) return broken;
  }
  return "";
}

std::vector<Step> Shrink(std::vector<Step> steps, bool plan_ahead) {
  for (std::size_t chunk = steps.size() / 2; chunk > 0;) {
    bool shorter = false;
    for (std::size_t at = 0; at + chunk <= steps.size();) {
      std::vector<Step> fewer = steps;
      const auto begin = fewer.begin() + static_cast<std::ptrdiff_t>(at);
      fewer.erase(begin, begin + static_cast<std::ptrdiff_t>(chunk));
      if (Run(fewer, plan_ahead).empty()) {
        at += chunk;
      } else {
        steps = std::move(fewer);
        shorter = true;
      }
    }
    if (!shorter || chunk > 1) chunk = chunk > 1 ? chunk / 2 : 0;
  }
  return steps;
}

std::string RunAndShrink(std::uint64_t seed, std::size_t n) {
  const auto steps = MakeSteps(seed, n);
  const bool plan_ahead = seed % 2 == 1;
  if (Run(steps, plan_ahead).empty()) return "";
  const auto shortest = Shrink(steps, plan_ahead);
  std::ostringstream text;
  text << "seed " << seed << ": " << Run(shortest, plan_ahead) << "; shortest sequence, "
       << shortest.size() << " steps {kind, a, b, c}:\n";
  for (const Step& it : shortest) {
    text << "  {" << it.kind << ", " << it.a << ", " << it.b << ", " << it.c << "},\n";
  }
  return text.str();
}

}  // namespace persimmonstair::routing::differential
