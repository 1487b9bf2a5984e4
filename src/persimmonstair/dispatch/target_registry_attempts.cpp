#include <algorithm>
#include <chrono>
#include <cmath>

#include "persimmonstair/dispatch/target_registry.hpp"

// The part of the registry that follows attempts and judges their ends.
namespace persimmonstair::dispatch {
namespace {

/// Times for which a target isn't chosen after a failed attempt, unless all targets are avoided.
constexpr std::chrono::milliseconds kAvoidUnreachable{1500};
constexpr std::chrono::milliseconds kAvoidBroken{300};
constexpr std::chrono::milliseconds kAvoidRejected{40};
/// Weight of the newest attempt in the moving average of failures, and the time constant in seconds
/// in which the average fades.
constexpr double kFailureRateWeight = 0.2;
constexpr double kFailureRateSeconds = 5;
/// Weight of a load report in the part of reports that name waiting requests, and the part from
/// which late responses are put down to queues. A sixth of the targets in trouble stays below.
constexpr double kQueueingWeight = 0.05;
constexpr double kQueueing = 0.3;
/// Work time from which other instances are told, and the shortest time between two reports.
constexpr double kToldWorkTime = 2;
constexpr std::chrono::milliseconds kSlownessInterval{500};
/// Requests per slot of a target that rejected a request for lack of capacity, and the most that a
/// report counts, so that a few full targets don't outweigh many idle ones.
constexpr double kFullLoad = 2.5;
/// Weight of the newest report in the usual load of a service's targets.
constexpr double kUsualLoadWeight = 0.05;

}  // namespace

void TargetRegistry::BeginAttempt(base::TimePoint now, const base::TargetId& id,
                                  const TargetCriteria& criteria) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  ++it->second.in_flight;
  outliers_.OnBegin(now, id);
  open_attempts_.Begin(now, id, criteria.request);
  CountSpread(it->second, criteria);
  RecordUse(now, it->second, criteria);
}

void TargetRegistry::ApplyLoad(base::TimePoint now, Target& target, const ReportedLoad& load) {
  // The reported load includes the answered request, which `in_flight` still counts here.
  const double reported = load.running + load.waiting;
  target.other_load = std::max(0.0, reported - target.in_flight);
  target.load_at = now;
  target.load_known = true;
  double& usual = services_[target.entry.service].usual_load;
  usual += kUsualLoadWeight * (target.other_load - usual);
  double& queueing = queueing_[target.entry.service];
  queueing += kQueueingWeight * ((load.waiting > 0 ? 1.0 : 0.0) - queueing);
  if (!load.work_time) return;
  target.work_time.Report(now, *load.work_time);
  const double factor = target.work_time.Factor(now);
  if (factor < kToldWorkTime || now - target.slowness_told_at < kSlownessInterval) return;
  target.slowness_told_at = now;
  outliers_.Reports().Add({target.entry.id, target.entry.started_ms, 0, 0, now, factor});
}

void TargetRegistry::RecordSlotUse(base::TimePoint now, Target& target, bool full,
                                   const std::optional<ReportedLoad>& load) {
  if (!load && !full) return;
  const double slots = load && load->slots > 0 ? load->slots : std::max(1U, target.entry.slots);
  const double reported = load ? (load->running + load->waiting) / slots : 0;
  target.reported_load = full ? kFullLoad : std::min(reported, kFullLoad);
  target.reported_at = now;
}

void TargetRegistry::ApplyResultReport(base::TimePoint now, std::uint64_t instance,
                                       const base::DataCentreId& data_centre,
                                       const ResultReport& report) {
  outliers_.OnReport(now, instance, data_centre, report);
  const auto it = targets_.find(report.target);
  if (it == targets_.end() || it->second.entry.started_ms != report.started_ms) return;
  if (report.work_time <= 0) return;
  it->second.work_time.ReportByOther(now, report.work_time);
  it->second.slowness_told_at = now;
}

double TargetRegistry::FailureRate(base::TimePoint now, const Target& target) {
  const double age = base::ToSeconds(now - target.failure_rate_at);
  return target.failure_rate * std::exp(-age / kFailureRateSeconds);
}

bool TargetRegistry::IsWrongRejection(base::TimePoint now, const Target& target,
                                      const std::optional<ReportedLoad>& load) {
  // A target that names a rate, or is cold, also rejects requests while it has free slots.
  const bool limited = (target.rate && target.rate->limit_per_s) || IsCold(now, target);
  if (!load || limited) return false;
  const std::uint32_t slots = load->slots > 0 ? load->slots : target.entry.slots;
  return load->waiting == 0 && load->running < slots;
}

bool TargetRegistry::IsFarTooSlow(base::TimePoint now, const Target& target,
                                  const std::optional<ReportedLoad>& load,
                                  const AttemptTimes& times) const {
  if (load && load->waiting > 0) return false;
  const auto limit = ResponseLimit(now, target.entry.id);
  return limit && times.response > *limit;
}

std::optional<base::Duration> TargetRegistry::ResponseLimit(base::TimePoint now,
                                                            const base::TargetId& id) const {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return std::nullopt;
  const base::ServiceId& service = it->second.entry.service;
  const auto limit_ms = service_times_.LimitMs(service);
  const auto queueing = queueing_.find(service);
  if (!limit_ms || (queueing != queueing_.end() && queueing->second > kQueueing)) {
    return std::nullopt;
  }
  const double work_time = std::max(1.0, it->second.work_time.Factor(now));
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(work_time * *limit_ms));
}

void TargetRegistry::OnFirstEvent(const base::TargetId& id, const std::string& request) {
  open_attempts_.OnResponse(id, request);
}

void TargetRegistry::Tick(base::TimePoint now, std::size_t instances) {
  outliers_.Tick(now, instances);
  const auto limit = [&](const base::TargetId& id) { return ResponseLimit(now, id); };
  for (const auto& [id, begun_at] : open_attempts_.TakeOverdue(now, limit)) {
    const auto it = targets_.find(id);
    if (it == targets_.end() || it->second.leaving) continue;
    if (begun_at < it->second.restarted_at) continue;
    outliers_.OnResult(now, id, true, begun_at);
  }
}

void TargetRegistry::JudgeAttempt(base::TimePoint now, const Target& target, AttemptResult result,
                                  const std::optional<ReportedLoad>& load,
                                  const AttemptTimes& times) {
  const bool answered = result == AttemptResult::kAnswered;
  const bool rejected = result == AttemptResult::kRejected;
  // An attempt that was overdue has been counted as a failure.
  const bool counted = open_attempts_.End(target.entry.id, times.request);
  const bool sent = times.sent_at != base::TimePoint{};
  const bool earlier_start = sent && times.sent_at < target.restarted_at;
  const bool says_nothing = counted || earlier_start || result == AttemptResult::kCancelled ||
                            target.leaving || (!answered && times.request_suspected) ||
                            (rejected && !IsWrongRejection(now, target, load));
  if (says_nothing) {
    outliers_.OnNoResult(target.entry.id);
    return;
  }
  const bool failed = !answered || IsFarTooSlow(now, target, load, times);
  outliers_.OnResult(now, target.entry.id, failed, times.sent_at);
}

void TargetRegistry::LearnTimes(base::TimePoint now, Target& target,
                                const std::optional<ReportedLoad>& load,
                                const AttemptTimes& times) {
  // An attempt that may have waited for a slot says nothing about the time that work takes.
  const bool waited = load ? load->waiting > 0 : target.in_flight >= target.entry.slots;
  if (waited || times.response.count() <= 0) return;
  const base::ServiceId& service = target.entry.service;
  if (const auto expected_ms = service_times_.ResponseMs(service)) {
    const double ms = std::chrono::duration<double, std::milli>(times.response).count();
    target.work_time.Measure(now, ms / *expected_ms);
  }
  service_times_.Learn(service, times, load && load->work_time ? *load->work_time : 1);
}

double TargetRegistry::WorkTimeOf(base::TimePoint now, const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? 1 : it->second.work_time.Factor(now);
}

void TargetRegistry::EndAttempt(base::TimePoint now, const base::TargetId& id, AttemptResult result,
                                const std::optional<ReportedLoad>& load,
                                const AttemptTimes& times) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    open_attempts_.End(id, times.request);
    return;
  }
  Target& target = it->second;
  if (load) ApplyLoad(now, target, *load);
  const bool rejected = result == AttemptResult::kRejected;
  const bool limited = target.rate && target.rate->limit_per_s;
  const bool full = rejected && !limited && !IsWrongRejection(now, target, load);
  RecordSlotUse(now, target, full, load);
  JudgeAttempt(now, target, result, load, times);
  if (result == AttemptResult::kAnswered) LearnTimes(now, target, load, times);
  if (target.in_flight > 0) --target.in_flight;
  const auto avoid = [&](base::Duration time) {
    target.avoid_until = std::max(target.avoid_until, now + time);
  };
  if (result == AttemptResult::kUnreachable) avoid(kAvoidUnreachable);
  if (result == AttemptResult::kBroken) avoid(kAvoidBroken);
  if (result == AttemptResult::kRejected) avoid(kAvoidRejected);
  if (result == AttemptResult::kCancelled || result == AttemptResult::kRejected) return;
  const bool broke = result != AttemptResult::kAnswered;
  const double rate = FailureRate(now, target);
  target.failure_rate = rate + kFailureRateWeight * ((broke ? 1.0 : 0.0) - rate);
  target.failure_rate_at = now;
}

}  // namespace persimmonstair::dispatch
