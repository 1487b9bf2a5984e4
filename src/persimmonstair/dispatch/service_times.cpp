#include "persimmonstair/dispatch/service_times.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace persimmonstair::dispatch {
namespace {

/// Measurements after which the expected times of a service are used.
constexpr std::uint32_t kMinSamples = 20;
/// Number of measurements that the averages go back.
constexpr std::uint32_t kAveragedSamples = 100;
/// A measurement counts as at most this multiple of the average, so that a few requests that hang
/// don't raise it.
constexpr double kMaxOfAverage = 4;
/// A response beyond the mean and this multiple of the mean deviation is far too late, but not
/// before these bounds: 1% of exponentially distributed times are.
constexpr double kLimitDeviations = 5;
constexpr double kMinLimitOfMean = 2.5;
constexpr double kMinLimitMs = 100;
/// Time constant in which the newest statement about the work time replaces earlier ones. It
/// changes many times a second.
constexpr double kStatementSeconds = 0.3;
/// Lowest weight of a statement, so that a change shows under frequent requests too.
constexpr double kMinStatementWeight = 0.2;
/// Response times vary with the request, so that one measurement has little weight.
constexpr double kMeasurementWeight = 0.25;
/// Ratio of a request's response time to the average up to which it is taken for ordinary: prompts
/// and answers differ in length.
constexpr double kOrdinaryRatio = 2;
/// Weight of what another instance was told. It is somewhat older than an own statement.
constexpr double kOtherWeight = 0.5;

double ToMs(base::Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

}  // namespace

void ServiceTimes::Learn(const base::ServiceId& service, const AttemptTimes& times,
                         double work_time) {
  if (times.response.count() <= 0 || times.total.count() <= 0) return;
  Expected& expected = services_[service];
  const double weight = 1.0 / ++expected.samples;
  expected.samples = std::min(expected.samples, kAveragedSamples);
  const auto learn = [&](double& average, base::Duration time) {
    double ms = ToMs(time) / std::max(work_time, kMinWorkTime);
    if (expected.samples >= kMinSamples) ms = std::min(ms, kMaxOfAverage * average);
    average += std::max(weight, 1.0 / kAveragedSamples) * (ms - average);
  };
  learn(expected.response_ms, times.response);
  const double distance =
      std::abs(ToMs(times.response) / std::max(work_time, kMinWorkTime) - expected.response_ms);
  expected.deviation_ms +=
      std::max(weight, 1.0 / kAveragedSamples) *
      (std::min(distance, kMaxOfAverage * expected.response_ms) - expected.deviation_ms);
  learn(expected.total_ms, times.total);
}

const ServiceTimes::Expected* ServiceTimes::Find(const base::ServiceId& service) const {
  const auto it = services_.find(service);
  return it == services_.end() || it->second.samples < kMinSamples ? nullptr : &it->second;
}

std::optional<double> ServiceTimes::ResponseMs(const base::ServiceId& service) const {
  const Expected* expected = Find(service);
  if (expected == nullptr) return std::nullopt;
  return expected->response_ms;
}

std::optional<double> ServiceTimes::LimitMs(const base::ServiceId& service) const {
  const Expected* expected = Find(service);
  if (expected == nullptr) return std::nullopt;
  const double late = expected->response_ms + kLimitDeviations * expected->deviation_ms;
  return std::max({late, kMinLimitOfMean * expected->response_ms, kMinLimitMs});
}

std::optional<double> ServiceTimes::SlotMs(const base::ServiceId& service) const {
  const Expected* expected = Find(service);
  if (expected == nullptr) return std::nullopt;
  return expected->total_ms;
}

void WorkTime::Report(base::TimePoint now, double factor) {
  const double age = base::ToSeconds(now - at_);
  Blend(now, factor, std::max(kMinStatementWeight, 1 - std::exp(-age / kStatementSeconds)));
  stated_at_ = now;
  stated_ = true;
}

void WorkTime::Measure(base::TimePoint now, double ratio) {
  if (stated_ && now - stated_at_ < kWorkTimeMaxAge) return;
  Blend(now, std::max(1.0, ratio / kOrdinaryRatio), kMeasurementWeight);
}

void WorkTime::ReportByOther(base::TimePoint now, double factor) {
  Blend(now, factor, kOtherWeight);
}

void WorkTime::Blend(base::TimePoint now, double factor, double weight) {
  const double before = Factor(now);
  factor_ = before + weight * (std::clamp(factor, kMinWorkTime, kMaxWorkTime) - before);
  at_ = now;
}

double WorkTime::Factor(base::TimePoint now) const {
  const double age = base::ToSeconds(now - at_) / base::ToSeconds(kWorkTimeMaxAge);
  return 1 + (factor_ - 1) * std::clamp(1 - age, 0.0, 1.0);
}

}  // namespace persimmonstair::dispatch
