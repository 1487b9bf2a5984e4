#ifndef PERSIMMONSTAIR_DISPATCH_OUTLIER_DETECTOR_HPP_
#define PERSIMMONSTAIR_DISPATCH_OUTLIER_DETECTOR_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/dispatch/failure_evidence.hpp"
#include "persimmonstair/dispatch/own_path.hpp"
#include "persimmonstair/dispatch/result_reports.hpp"

namespace persimmonstair::dispatch {

/// @brief A target was ejected or returned, with the figures that decided it.
struct OutlierChange {
  base::TargetId target;
  bool ejected = false;
  std::string_view reason;
  /// Failures in the window and the instances that reported them.
  std::size_t failures = 0;
  std::size_t reporters = 0;
  double score = 0;
  FailureModel model;
  /// Length of the ejection, or time since it began.
  base::Duration time{0};
  /// Number of ejections in a row.
  std::uint32_t ejections = 0;
};

/// @brief Finds targets that fail more than the others of their service, and decides when they get
/// requests again.
///
/// A single instance sends a target a request in some seconds, so instances tell each other their
/// failures (ResultReport). Each one decides by itself. An ejected target returns after requests
/// that may be repeated were answered there; one instance after the other sends one, and all hear
/// of the result. A returned target gets a growing share of its requests.
///
///     detector.OnResult(now, target, {failed, sent_at});
///     cost += detector.Penalty(now, target, {request, may_repeat});
class OutlierDetector {
 public:
  explicit OutlierDetector(base::DataCentreId local) : local_(std::move(local)) {}

  /// Sets the name that determines when this instance probes.
  void SetInstance(std::string instance) { instance_ = std::move(instance); }
  /// Records that the instance runs, and how many instances there are with it. Call it several
  /// times a second.
  void Tick(base::TimePoint now, std::size_t instances);

  /// Adds a target, or clears what is known of one that started again.
  void Add(const base::TargetId& id, const base::ServiceId& service,
           const base::DataCentreId& data_centre, std::int64_t started_ms);
  void Remove(const base::TargetId& id);

  /// Records that a request is sent to the target.
  void OnBegin(base::TimePoint now, const base::TargetId& id);
  /// Records that a request ended without a result that tells something about the target.
  void OnNoResult(const base::TargetId& id);
  /// Records the result of a request of this instance.
  void OnResult(base::TimePoint now, const base::TargetId& id, bool failed,
                base::TimePoint sent_at);
  /// Records a report of another instance, which arrived now.
  void OnReport(base::TimePoint now, std::uint64_t instance, const base::DataCentreId& data_centre,
                const ResultReport& report);

  /// Returns what is to be added to the cost of the target for a request, in milliseconds of delay.
  /// `may_repeat` says that the request may be sent again after a failure, so that it may probe.
  double Penalty(base::TimePoint now, const base::TargetId& id, const std::string& request,
                 bool may_repeat) const;

  bool IsEjected(const base::TargetId& id) const;
  std::size_t Ejected() const;
  /// Returns the changes since the last call.
  std::vector<OutlierChange> TakeChanges();
  /// What other instances are to be told.
  ResultReports& Reports() { return reports_; }

 private:
  struct Target {
    base::TargetId id;
    base::ServiceId service;
    base::DataCentreId data_centre;
    std::int64_t started_ms = 0;
    FailureEvidence evidence;
    bool ejected = false;
    /// Begin of the ejection, and the last time at which it was prolonged.
    base::TimePoint ejected_at;
    base::TimePoint decided_at;
    /// Time at which the ejection ends at the earliest without enough answered probes.
    base::TimePoint ejected_until;
    /// Ejections in a row.
    std::uint32_t ejections = 0;
    /// Answered probes of all instances in this ejection, and of this one.
    std::uint32_t answered_probes = 0;
    std::uint32_t own_answered_probes = 0;
    /// Failures since the ejection began or was prolonged.
    std::uint32_t failed_probes = 0;
    bool probing = false;
    base::TimePoint probed_at;
    bool has_returned = false;
    base::TimePoint returned_at;
  };
  /// Sum of events that fades with a time constant.
  struct FadingCount {
    double count = 0;
    base::TimePoint at;
    double Value(base::TimePoint now, double seconds) const;
    void Add(base::TimePoint now, double seconds);
  };
  struct Service {
    std::size_t targets = 0;
    std::size_t ejected = 0;
    FadingCount requests;
    FadingCount background;
  };

  FailureModel Model(base::TimePoint now, const Service& service) const;
  void OnFailure(base::TimePoint now, Target& target, const EvidenceSource& source,
                 base::TimePoint sent_at);
  void OnAnswer(base::TimePoint now, Target& target, base::TimePoint sent_at);
  /// True if the target fails more than the others of its service.
  bool IsOutlier(base::TimePoint now, const Target& target) const;
  void Eject(base::TimePoint now, Target& target, std::string_view reason);
  void Return(base::TimePoint now, Target& target, std::string_view reason);
  void AddChange(OutlierChange change);
  static base::TimePoint ProbeFrom(const Target& target);
  bool IsProbeDue(base::TimePoint now, const Target& target) const;
  /// Share of its requests that the target may get, up to 1.
  static double SlowStartShare(base::TimePoint now, const Target& target);

  base::DataCentreId local_;
  std::string instance_;
  std::size_t instances_ = 1;
  OwnPath own_path_;
  ResultReports reports_;
  std::map<base::TargetId, Target> targets_;
  std::map<base::ServiceId, Service> services_;
  /// Targets that are ejected or in slow start; usually empty.
  std::set<base::TargetId> marked_;
  std::vector<OutlierChange> changes_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_OUTLIER_DETECTOR_HPP_
