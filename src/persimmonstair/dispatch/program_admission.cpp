#include "persimmonstair/dispatch/program_admission.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "persimmonstair/base/rendezvous.hpp"

namespace persimmonstair::dispatch {
namespace {

using std::chrono::milliseconds;

/// Loads between which the admitted share falls from 1 to the remainder.
struct Ramp {
  double begin = 0;
  double end = 0;
};
/// By priority; the last one applies to all higher numbers. The usual load at peak times is up to
/// 0.65, and an instance's view of it varies by some 0.1. Lower ramps refuse programs at that load.
constexpr std::array<Ramp, 3> kRamps{{{1.1, 2.0}, {1.05, 1.7}, {1.0, 1.4}}};
/// Share that is admitted at any load, so that no kind of program starves.
constexpr double kMinShare = 0.15;

/// A load is known only if this many targets reported one, or all if there are fewer.
constexpr std::size_t kMinReporting = 3;
/// Reports of targets expire after this time, and so does the load.
constexpr std::chrono::seconds kMaxObservationAge{1};
/// Time constant of the average by which the load is smoothed. An instance sees few reports a
/// second; without it, more refused programs are admitted late, through another instance.
constexpr double kSmoothingSeconds = 0.3;
/// Length of the intervals of the history and the time that it covers. The latter exceeds the
/// time that long programs take, some 4 s, by the slack in their objectives.
constexpr milliseconds kInterval{100};
constexpr std::chrono::seconds kMaxHistory{8};

/// Retry-After at the beginning of a ramp, and what each unit of load above it adds.
constexpr milliseconds kBaseRetryAfter{300};
constexpr milliseconds kRetryAfterPerLoad{1500};
constexpr milliseconds kMaxRetryAfter{2500};
/// Retry times differ by this factor at most from the middle, so that refused callers don't return
/// all at once.
constexpr double kRetrySpread = 0.3;

/// Period in which the longest time left and the fewest prompt parts of a route are sought. Longer
/// than the interval between two programs of a route at an instance that handles few requests.
constexpr std::chrono::seconds kAgePeriod{10};

const Ramp& RampOf(std::uint32_t priority) {
  return kRamps.at(std::min<std::size_t>(priority, kRamps.size() - 1));
}

// Returns the position of a program among all, from 0 to 1.
double Position(const base::ProgramId& program) {
  return base::RendezvousFraction(program.value, "admission");
}

base::Duration RetryAfter(double load, std::uint32_t priority, double position) {
  const double excess = std::max(0.0, load - RampOf(priority).begin);
  const double spread = 1 + kRetrySpread * (2 * position - 1);
  const std::chrono::duration<double, std::milli> wait =
      spread * (kBaseRetryAfter + excess * kRetryAfterPerLoad);
  return std::min<base::Duration>(std::chrono::duration_cast<base::Duration>(wait), kMaxRetryAfter);
}

}  // namespace

double ProgramAdmission::Share(double load, std::uint32_t priority) {
  const Ramp& ramp = RampOf(priority);
  return std::clamp((ramp.end - load) / (ramp.end - ramp.begin), kMinShare, 1.0);
}

void ProgramAdmission::Observe(base::TimePoint now, const base::ServiceId& service,
                               const ServiceLoad& load) {
  if (load.reporting < std::min(kMinReporting, std::max<std::size_t>(1, load.available))) return;
  History& history = services_[service];
  auto& intervals = history.intervals;
  // Without observations nobody was refused in between.
  if (now - history.observed_at >= kMaxObservationAge) intervals.clear();
  const double weight =
      intervals.empty()
          ? 1
          : 1 - std::exp(-base::ToSeconds(now - history.observed_at) / kSmoothingSeconds);
  history.load += weight * (load.load - history.load);
  history.observed_at = now;
  if (intervals.empty() || now - intervals.back().begin >= kInterval) {
    intervals.push_back({now, history.load});
  } else {
    intervals.back().lowest = std::min(intervals.back().lowest, history.load);
  }
  while (now - intervals.front().begin > kMaxHistory) intervals.pop_front();
}

std::map<base::ServiceId, double> ProgramAdmission::Loads(base::TimePoint now) const {
  std::map<base::ServiceId, double> loads;
  for (const auto& [service, history] : services_) {
    const bool known = now - history.observed_at < kMaxObservationAge;
    loads[service] = known ? history.load : 0;
  }
  return loads;
}

ProgramDecision ProgramAdmission::Decide(base::TimePoint now, const ProgramRequest& request) const {
  ProgramDecision decision;
  const auto it = services_.find(request.service);
  if (it == services_.end() || now - it->second.observed_at >= kMaxObservationAge) return decision;
  const History& history = it->second;
  decision.load = history.load;
  const base::TimePoint since =
      now - std::min<base::Duration>(request.age.value_or(kMaxHistory), kMaxHistory - kInterval);
  // A program that may have begun before the first observation may have been admitted then.
  const bool covered = history.intervals.front().begin <= since;
  if (request.age.value_or(kMaxHistory) > base::Duration{0} && !covered) return decision;
  // The age is an upper bound, and programs live shorter than their time left, so that the begin is
  // sought in the first half. A retry of a refused program looks older too; its begin is refused.
  const base::TimePoint until = since + (now - since) / 2;
  double lowest = history.load;
  if (since + kInterval <= now) {
    for (const Interval& one : history.intervals) {
      if (one.begin > until) break;
      lowest = one.begin <= since ? one.lowest : std::min(lowest, one.lowest);
    }
  }
  decision.share = Share(lowest, request.priority);
  const double position = Position(request.program);
  decision.admitted = position < decision.share;
  if (!decision.admitted) {
    decision.retry_after = RetryAfter(history.load, request.priority, position);
  }
  return decision;
}

std::optional<base::Duration> ProgramAges::OnRequest(base::TimePoint now,
                                                     const base::RouteId& route,
                                                     base::Duration finish_in, std::size_t parts) {
  Recent& recent = routes_[route];
  if (now - recent.begin >= kAgePeriod) {
    recent.previous = now - recent.begin < 2 * kAgePeriod ? recent.current : Period{};
    recent.current = {};
    recent.begin = now;
  }
  Period& current = recent.current;
  current.longest = std::max(current.longest, finish_in);
  if (parts > 0 && (current.fewest_parts == 0 || parts < current.fewest_parts)) {
    current.fewest_parts = parts;
  }
  std::size_t fewest = current.fewest_parts;
  if (recent.previous.fewest_parts > 0) fewest = std::min(fewest, recent.previous.fewest_parts);
  if (parts > fewest) return std::nullopt;
  return std::max(current.longest, recent.previous.longest) - finish_in;
}

}  // namespace persimmonstair::dispatch
