#include "persimmonstair/dispatch/outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "persimmonstair/base/rendezvous.hpp"

namespace persimmonstair::dispatch {
namespace {

using std::chrono::milliseconds;

/// Length of the first ejection; each one in a row takes twice as long as the one before.
constexpr milliseconds kFirstEjection{1000};
constexpr std::uint32_t kMaxDoublings = 3;
/// Time in service after which an ejection is the first in a row again.
constexpr milliseconds kSoundTime{10'000};
/// At most one target of this number is ejected.
constexpr std::size_t kTargetsPerEjection = 3;

/// Usual time between two calls of Tick(). A target returns at the last call before its ejection
/// ends, so that it isn't out of service for longer than stated.
constexpr milliseconds kTickInterval{50};
/// Instances eject a target within this time of each other. Requests that were sent before its end
/// tell nothing new.
constexpr milliseconds kSettleTime{150};
/// Time before the end of an ejection in which probes are sent.
constexpr milliseconds kProbeLead{700};
/// Mean time between the first probes of two instances. About one probe is under way at a time if
/// requests take one or two tenths of a second.
constexpr milliseconds kProbeSpacing{200};
/// Longest time that an instance leaves probing to others, whose reports may be lost.
constexpr milliseconds kMaxProbeDelay{4000};
/// Time after which a probe without an end is followed by another one.
constexpr milliseconds kMaxProbeTime{3000};
/// Answered probes in a row with which a target returns. One that fails 40% of its requests answers
/// five in a row in 8% of the rounds.
constexpr std::uint32_t kProbesToReturn = 5;
/// Answered probes after which one failure doesn't prolong a first ejection.
constexpr std::uint32_t kProbesToForgive = 3;

/// Time in which the share of a returned target grows to 1, and the share at its beginning.
constexpr milliseconds kSlowStart{2000};
constexpr double kFirstShare = 0.2;
/// Score of a returned target, so that fewer failures eject it again.
constexpr double kReturnScore = kFailingScore / 2;

/// Time constants of the request rate and of the background of failures, in seconds.
constexpr double kRequestSeconds = 5;
constexpr double kBackgroundSeconds = 10;
/// Failures of one target in the window that count as background. More are those of an outlier.
constexpr std::size_t kMaxBackgroundFailures = 2;
/// Weight of the background that is assumed without experience: a quarter failure in 50 requests.
constexpr double kPriorFailures = 0.25;
constexpr double kPriorRequests = 50;
constexpr double kMinBackground = 0.001;
constexpr double kMaxBackground = 0.25;
/// An outlier has this multiple of the failures that two thirds of the targets don't exceed.
constexpr std::size_t kOutlierMultiple = 3;
/// Changes that are kept until they are taken; more are dropped.
constexpr std::size_t kMaxChanges = 1024;
/// Failures of a target in the window from which further ones aren't reported: all have heard.
constexpr std::size_t kMaxReportedFailures = 8;

// Penalties in milliseconds of expected delay. An ejected target is chosen before one that refused
// a connection or rejected a request just now, whose penalty is twice as high.
constexpr double kEjectedMs = 50'000;
constexpr double kSlowStartMs = 1'000;
/// For a target that is to be probed: it comes first.
constexpr double kProbeMs = -1'000;

}  // namespace

double OutlierDetector::FadingCount::Value(base::TimePoint now, double seconds) const {
  return count * std::exp(-base::ToSeconds(now - at) / seconds);
}

void OutlierDetector::FadingCount::Add(base::TimePoint now, double seconds) {
  count = Value(now, seconds) + 1;
  at = now;
}

void OutlierDetector::Tick(base::TimePoint now, std::size_t instances) {
  own_path_.Tick(now);
  instances_ = std::max<std::size_t>(1, instances);
  const std::vector<base::TargetId> marked(marked_.begin(), marked_.end());
  for (const auto& id : marked) {
    Target& target = targets_.at(id);
    if (!target.ejected) {
      if (now - target.returned_at >= kSlowStart) marked_.erase(id);
    } else if (target.ejections == 1 && now + kTickInterval >= target.ejected_until) {
      // Otherwise a probe, or an instance that has not ejected it, would have seen a failure.
      Return(now, target, "no request failed");
    }
  }
}

void OutlierDetector::Add(const base::TargetId& id, const base::ServiceId& service,
                          const base::DataCentreId& data_centre, std::int64_t started_ms) {
  const auto it = targets_.find(id);
  const bool same = it != targets_.end() && it->second.started_ms == started_ms &&
                    it->second.service == service && it->second.data_centre == data_centre;
  if (same) return;
  Remove(id);
  Target target;
  target.id = id;
  target.service = service;
  target.data_centre = data_centre;
  target.started_ms = started_ms;
  targets_.emplace(id, std::move(target));
  ++services_[service].targets;
}

void OutlierDetector::Remove(const base::TargetId& id) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  const auto service = services_.find(it->second.service);
  if (it->second.ejected) --service->second.ejected;
  if (--service->second.targets == 0) services_.erase(service);
  own_path_.Remove(id);
  marked_.erase(id);
  targets_.erase(it);
}

void OutlierDetector::OnBegin(base::TimePoint now, const base::TargetId& id) {
  const auto it = targets_.find(id);
  if (it == targets_.end() || !it->second.ejected || now < ProbeFrom(it->second)) return;
  it->second.probing = true;
  it->second.probed_at = now;
}

void OutlierDetector::OnNoResult(const base::TargetId& id) {
  const auto it = targets_.find(id);
  if (it != targets_.end()) it->second.probing = false;
}

void OutlierDetector::OnResult(base::TimePoint now, const base::TargetId& id, bool failed,
                               base::TimePoint sent_at) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  Target& target = it->second;
  target.probing = false;
  services_[target.service].requests.Add(now, kRequestSeconds);
  ResultReport report{id, target.started_ms, 0, 0, sent_at, 0};
  if (!failed) {
    own_path_.OnAnswer(now, id, target.data_centre);
    if (!target.ejected || sent_at < ProbeFrom(target)) return;
    ++target.own_answered_probes;
    report.answers = 1;
    reports_.Add(report);
    OnAnswer(now, target, sent_at);
    return;
  }
  if (!own_path_.OnFailure(now, id, target.data_centre, sent_at)) return;
  report.failures = 1;
  if (target.evidence.Failures(now) < kMaxReportedFailures) reports_.Add(report);
  OnFailure(now, target, {0, true}, sent_at);
}

void OutlierDetector::OnReport(base::TimePoint now, std::uint64_t instance,
                               const base::DataCentreId& data_centre, const ResultReport& report) {
  const auto it = targets_.find(report.target);
  if (it == targets_.end() || it->second.started_ms != report.started_ms) return;
  if (own_path_.JustResumed(now)) return;
  Target& target = it->second;
  // Of the instances of a data centre that is cut off, only those that hear it from a target there
  // or share its fate are to believe that a target is gone.
  const bool trusted = data_centre == local_ || data_centre == target.data_centre;
  const std::uint32_t failures = std::min<std::uint32_t>(report.failures, kMaxReportedFailures);
  for (std::uint32_t n = 0; n < failures; ++n) {
    OnFailure(now, target, {instance, trusted}, report.sent_at);
  }
  const bool answered = report.failures == 0 && report.answers > 0;
  if (answered && trusted) OnAnswer(now, target, report.sent_at);
}

FailureModel OutlierDetector::Model(base::TimePoint now, const Service& service) const {
  const double per_s = service.requests.Value(now, kRequestSeconds) / kRequestSeconds *
                       static_cast<double>(instances_);
  const double failures = service.background.Value(now, kBackgroundSeconds) + kPriorFailures;
  const double requests = kBackgroundSeconds * per_s + kPriorRequests;
  const auto in_service = static_cast<double>(
      std::max<std::size_t>(1, service.targets - std::min(service.targets, service.ejected)));
  return {std::clamp(failures / requests, kMinBackground, kMaxBackground), per_s / in_service};
}

void OutlierDetector::OnFailure(base::TimePoint now, Target& target, const EvidenceSource& source,
                                base::TimePoint sent_at) {
  if (target.ejected) {
    // Also the failure of an instance that has not ejected the target shows that it goes on.
    const bool goes_on = sent_at >= target.decided_at + kSettleTime;
    if (!goes_on || !source.trusted) return;
    ++target.failed_probes;
    // One lost answer among several must not prolong the ejection of a sound target.
    const bool forgiven = target.ejections == 1 && target.failed_probes == 1 &&
                          target.answered_probes >= kProbesToForgive;
    if (!forgiven) Eject(now, target, "requests still fail");
    return;
  }
  if (target.has_returned && sent_at < target.returned_at) return;
  Service& service = services_[target.service];
  const FailureModel model = Model(now, service);
  target.evidence.Add(now, source, model);
  if (target.evidence.Failures(now) <= kMaxBackgroundFailures) {
    service.background.Add(now, kBackgroundSeconds);
  }
  const bool room = (service.ejected + 1) * kTargetsPerEjection <= service.targets;
  const bool fails = target.evidence.Score(now) >= kFailingScore;
  if (room && fails && target.evidence.IsCorroborated(now) && IsOutlier(now, target)) {
    Eject(now, target, "failures");
  }
}

void OutlierDetector::OnAnswer(base::TimePoint now, Target& target, base::TimePoint sent_at) {
  if (!target.ejected || sent_at < ProbeFrom(target)) return;
  ++target.answered_probes;
  if (target.answered_probes >= kProbesToReturn) Return(now, target, "probes were answered");
}

bool OutlierDetector::IsOutlier(base::TimePoint now, const Target& target) const {
  std::vector<std::size_t> others;
  for (const auto& [id, other] : targets_) {
    if (other.service != target.service || other.ejected || &other == &target) continue;
    others.push_back(other.evidence.Failures(now));
  }
  if (others.empty()) return false;
  const auto at = others.begin() + static_cast<std::ptrdiff_t>(others.size() * 2 / 3);
  const auto upper = std::min(at, others.end() - 1);
  std::nth_element(others.begin(), upper, others.end());
  return target.evidence.Failures(now) >= kOutlierMultiple * *upper;
}

void OutlierDetector::Eject(base::TimePoint now, Target& target, std::string_view reason) {
  Service& service = services_[target.service];
  const FailureModel model = Model(now, service);
  const bool again = target.ejected;
  const bool in_row = again || (target.has_returned && now - target.returned_at < kSoundTime);
  target.ejections = in_row ? target.ejections + 1 : 1;
  const base::Duration time =
      kFirstEjection * (1U << std::min(target.ejections - 1, kMaxDoublings));
  AddChange({target.id, true, reason, target.evidence.Failures(now), target.evidence.Reporters(now),
             target.evidence.Score(now), model, time, target.ejections});
  target.decided_at = now;
  if (!again) {
    target.ejected_at = now;
    ++service.ejected;
  }
  target.ejected = true;
  target.ejected_until = now + time;
  target.answered_probes = 0;
  target.own_answered_probes = 0;
  target.failed_probes = 0;
  target.probing = false;
  target.evidence.Reset(now, 0, model);
  marked_.insert(target.id);
}

void OutlierDetector::Return(base::TimePoint now, Target& target, std::string_view reason) {
  Service& service = services_[target.service];
  const FailureModel model = Model(now, service);
  AddChange({target.id, false, reason, 0, 0, 0, model, now - target.ejected_at, target.ejections});
  target.ejected = false;
  --service.ejected;
  target.has_returned = true;
  target.returned_at = now;
  target.evidence.Reset(now, kReturnScore, model);
}

base::TimePoint OutlierDetector::ProbeFrom(const Target& target) {
  return target.ejected_until - kProbeLead;
}

bool OutlierDetector::IsProbeDue(base::TimePoint now, const Target& target) const {
  if (!target.ejected || now < ProbeFrom(target)) return false;
  if (target.probing && now - target.probed_at < kMaxProbeTime) return false;
  if (target.own_answered_probes > 0) return true;
  const std::string key = instance_ + "/" + std::to_string(target.ejections);
  const double place = base::RendezvousFraction(key, target.id.value);
  const double in_turn_s = place * base::ToSeconds(kProbeSpacing) * static_cast<double>(instances_);
  // By half of the longest delay enough probes have ended, if their reports arrive.
  const double alone_s = base::ToSeconds(kMaxProbeDelay) * (1 + place) / 2;
  return base::ToSeconds(now - ProbeFrom(target)) >= std::min(in_turn_s, alone_s);
}

double OutlierDetector::SlowStartShare(base::TimePoint now, const Target& target) {
  const double part = base::ToSeconds(now - target.returned_at) / base::ToSeconds(kSlowStart);
  return kFirstShare + (1 - kFirstShare) * std::clamp(part, 0.0, 1.0);
}

double OutlierDetector::Penalty(base::TimePoint now, const base::TargetId& id,
                                const std::string& request, bool may_repeat) const {
  if (marked_.empty() || !marked_.contains(id)) return 0;
  const Target& target = targets_.at(id);
  if (target.ejected) return may_repeat && IsProbeDue(now, target) ? kProbeMs : kEjectedMs;
  // Without a request's name its share can't be told.
  if (request.empty()) return 0;
  return base::RendezvousFraction(request, id.value) < SlowStartShare(now, target) ? 0
                                                                                   : kSlowStartMs;
}

bool OutlierDetector::IsEjected(const base::TargetId& id) const {
  const auto it = targets_.find(id);
  return it != targets_.end() && it->second.ejected;
}

std::size_t OutlierDetector::Ejected() const {
  std::size_t ejected = 0;
  for (const auto& [id, service] : services_) ejected += service.ejected;
  return ejected;
}

void OutlierDetector::AddChange(OutlierChange change) {
  if (changes_.size() < kMaxChanges) changes_.push_back(std::move(change));
}

std::vector<OutlierChange> OutlierDetector::TakeChanges() { return std::exchange(changes_, {}); }

}  // namespace persimmonstair::dispatch
