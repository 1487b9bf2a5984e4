#ifndef PERSIMMONSTAIR_DISPATCH_PROGRAM_ADMISSION_HPP_
#define PERSIMMONSTAIR_DISPATCH_PROGRAM_ADMISSION_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/dispatch/service_load.hpp"

namespace persimmonstair::dispatch {

/// @brief A request that may begin a program.
struct ProgramRequest {
  base::ServiceId service;
  base::ProgramId program;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Longest time since the program may have begun. Nothing if it is unknown.
  std::optional<base::Duration> age;
};

/// @brief Whether a program may begin.
struct ProgramDecision {
  bool admitted = true;
  /// Share of the programs with this priority that are admitted, 0 to 1.
  double share = 1;
  /// Load of the service that the share follows from.
  double load = 0;
  /// Time until a retry may succeed; set in a refusal.
  base::Duration retry_after{0};
};

/// @brief Decides whether programs may begin while the targets of their service are overloaded.
///
/// A program sends many more requests after its first one, and all work on it is lost if one of
/// them fails. So the load is limited where programs begin. Less urgent programs give way at a
/// lower load; of each priority a small share is always admitted. A hash of the program's id
/// determines which programs are admitted: all instances that see the same load decide alike, and a
/// retry doesn't turn a refusal into a late start.
///
/// An instance can't tell a program that begins from one whose earlier requests went through other
/// instances. A request is therefore judged by the lowest load in the time in which its program may
/// have begun, by which another instance admitted it.
///
///     admission.Observe(now, service, registry.LoadOf(now, service));
///     const ProgramDecision decision = admission.Decide(now, request);
class ProgramAdmission {
 public:
  /// Records the load of a service. To be called often, at best with each request.
  void Observe(base::TimePoint now, const base::ServiceId& service, const ServiceLoad& load);

  ProgramDecision Decide(base::TimePoint now, const ProgramRequest& request) const;

  /// Returns the loads that the decisions at `now` are based on, by service.
  std::map<base::ServiceId, double> Loads(base::TimePoint now) const;

  /// Share of the programs with the priority that is admitted at a load.
  static double Share(double load, std::uint32_t priority);

 private:
  /// Lowest load in an interval of time.
  struct Interval {
    base::TimePoint begin;
    double lowest = 0;
  };
  struct History {
    /// In the order of time, without gaps in which the load was observed.
    std::deque<Interval> intervals;
    base::TimePoint observed_at;
    /// Moving average.
    double load = 0;
  };

  std::unordered_map<base::ServiceId, History> services_;
};

/// @brief Estimates the time since a program began from what its request says.
///
/// Programs of a route begin with similar time until their objective and with few prompt parts. A
/// request with less time left may belong to a program that began earlier, through another
/// instance; one with more prompt parts does.
class ProgramAges {
 public:
  /// Records a request of a route and returns the longest time since its program may have begun, or
  /// nothing if the program is under way. `parts` is the number of prompt parts, 0 if not stated.
  std::optional<base::Duration> OnRequest(base::TimePoint now, const base::RouteId& route,
                                          base::Duration finish_in, std::size_t parts);

 private:
  /// What requests of a route said in one period.
  struct Period {
    base::Duration longest{0};
    /// 0 if no request stated any.
    std::size_t fewest_parts = 0;
  };
  struct Recent {
    base::TimePoint begin;
    Period current;
    Period previous;
  };
  std::unordered_map<base::RouteId, Recent> routes_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_PROGRAM_ADMISSION_HPP_
