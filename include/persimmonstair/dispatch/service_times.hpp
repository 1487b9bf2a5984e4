#ifndef PERSIMMONSTAIR_DISPATCH_SERVICE_TIMES_HPP_
#define PERSIMMONSTAIR_DISPATCH_SERVICE_TIMES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// @brief Times that an attempt took at a target.
struct AttemptTimes {
  /// Time at which the request was sent; the start of the clock if it wasn't.
  base::TimePoint sent_at;
  /// Time until the first event of a stream or the end of another response; 0 if unknown.
  base::Duration response{0};
  /// Time for which the request occupied a slot of the target; 0 if unknown.
  base::Duration total{0};
  /// Name of the request, as in its criteria.
  std::string request{};
  /// The request may itself be the cause of a failure, because it failed like this elsewhere.
  bool request_suspected = false;
};

/// @brief Expected times of each service's requests, learned from this instance's attempts.
///
/// Only attempts that didn't wait for a slot are learned from, and their times are divided by the
/// target's work time, so that the values are those of an idle target in its usual state.
class ServiceTimes {
 public:
  /// Learns from an answered attempt at a target at which work took `work_time` times as long as
  /// usual.
  void Learn(const base::ServiceId& service, const AttemptTimes& times, double work_time);

  /// Returns the expected time until a response, in milliseconds; nothing with few measurements.
  std::optional<double> ResponseMs(const base::ServiceId& service) const;
  /// Returns the time that hardly any response takes at a sound target, in milliseconds; nothing
  /// with few measurements.
  std::optional<double> LimitMs(const base::ServiceId& service) const;
  /// Returns the expected time for which a request occupies a slot, in milliseconds; nothing with
  /// few measurements.
  std::optional<double> SlotMs(const base::ServiceId& service) const;

 private:
  struct Expected {
    double response_ms = 0;
    /// Mean absolute deviation of the response time.
    double deviation_ms = 0;
    double total_ms = 0;
    std::uint32_t samples = 0;
  };

  const Expected* Find(const base::ServiceId& service) const;

  std::unordered_map<base::ServiceId, Expected> services_;
};

/// @brief How much longer than usual work takes at one target, as a factor; 1 means as usual.
class WorkTime {
 public:
  /// Adds a statement of the target; statements in short succession are averaged.
  void Report(base::TimePoint now, double factor);
  /// Adds a response time relative to what is expected; used while the target states nothing.
  void Measure(base::TimePoint now, double ratio);
  /// Adds what another instance was told.
  void ReportByOther(base::TimePoint now, double factor);

  /// Returns the factor, at least kMinWorkTime. It returns to 1 within kWorkTimeMaxAge of the last
  /// statement or measurement.
  double Factor(base::TimePoint now) const;

 private:
  void Blend(base::TimePoint now, double factor, double weight);

  double factor_ = 1;
  base::TimePoint at_;
  base::TimePoint stated_at_;
  bool stated_ = false;
};

/// Age at which a statement about the work time no longer counts.
inline constexpr std::chrono::milliseconds kWorkTimeMaxAge{4000};
inline constexpr double kMinWorkTime = 0.5;
inline constexpr double kMaxWorkTime = 20;

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_SERVICE_TIMES_HPP_
