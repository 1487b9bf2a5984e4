#ifndef PERSIMMONSTAIR_DISPATCH_TARGET_REGISTRY_HPP_
#define PERSIMMONSTAIR_DISPATCH_TARGET_REGISTRY_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/dispatch/instance_spread.hpp"
#include "persimmonstair/dispatch/open_attempts.hpp"
#include "persimmonstair/dispatch/outlier_detector.hpp"
#include "persimmonstair/dispatch/rate_statement.hpp"
#include "persimmonstair/dispatch/service_load.hpp"
#include "persimmonstair/dispatch/service_times.hpp"

namespace persimmonstair::dispatch {

struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// @brief A target's entry in the platform's list of targets.
struct TargetEntry {
  base::TargetId id;
  base::ServiceId service;
  Endpoint endpoint;
  base::DataCentreId data_centre;
  /// Number of requests that the target runs concurrently.
  std::uint32_t slots = 1;
  bool draining = false;
  /// Start time in Unix milliseconds. A new value under the same id means that the target restarted
  /// and that its cached prompts are gone.
  std::int64_t started_ms = 0;
  /// Streams that one version began can't be continued by another.
  base::SoftwareVersion version;
  /// Time for which the target stays cold; zero if it isn't.
  base::Duration cold_left{0};
};

/// @brief Load that a target reports in its responses.
struct ReportedLoad {
  /// Requests that the target runs, and requests in its queue.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Number of requests that it can run concurrently.
  std::uint32_t slots = 0;
  /// How many times as long as usual work takes there now; empty if the target doesn't say.
  std::optional<double> work_time{};
};

/// @brief One part of a prompt, which targets may have cached.
struct PromptPart {
  /// Identifies the content; equal for equal parts of different prompts.
  std::string id;
  std::uint32_t tokens = 0;
};

/// @brief What the choice of a target for a request depends on.
struct TargetCriteria {
  base::ServiceId service;
  /// Targets to exclude, because the request was already sent to them.
  std::vector<base::TargetId> skip;
  /// Parts of the prompt in order; empty for plain services.
  std::vector<PromptPart> prompt;
  /// Requests with the same affinity value run faster at the same target; may be empty.
  std::string affinity;
  /// Excludes the targets that name a rate limit or are cold.
  bool only_unlimited = false;
  /// Software version that the target must have; empty if any will do.
  base::SoftwareVersion version{};
  /// Names what the requests of one conversation have in common. All instances prefer the same
  /// target for it, its home target; empty for none.
  std::string conversation{};
  /// Id of the request. If it is set, the instance's preference decides among targets whose costs
  /// hardly differ.
  std::string request{};
  /// The request may be sent to another target after a failure, so that it may probe an ejected
  /// one.
  bool may_probe = false;
  /// Returns true if the request may use an idle connection to the target. Without it, the choice
  /// doesn't depend on connections.
  std::function<bool(const base::TargetId&)> has_idle_connection{};
};

/// @brief How an attempt to run a request at a target ended.
enum class AttemptResult {
  /// The target sent a valid response.
  kAnswered,
  /// The target reported that it did not run the request.
  kRejected,
  /// No connection could be opened within the timeout, or another target answered at the address.
  kUnreachable,
  /// The request was sent at least in part, but the connection broke or timed out, or the response
  /// was invalid or a server error. The target may have run the request.
  kBroken,
  /// The caller disconnected.
  kCancelled,
};

/// @brief Registry of the targets of all services that chooses a target for each request.
///
/// Callers bring the requests of a conversation to any instance, and each instance knows only the
/// prompts that it sent itself. So the instances expect a conversation's prompt to be cached at its
/// home target, which rendezvous hashing names, and which gets the conversation unless it is busy.
/// Many instances that each know little of a target's load would also all choose the same one for
/// other requests, so each prefers another target (InstanceSpread).
///
/// Each instance has its own registry. It counts its own attempts exactly; the load that other
/// instances put on a target is taken from the target's last response and counts less the older
/// that response is.
///
///     registry.Upsert(now, entry);
///     if (auto target = registry.Choose(now, criteria)) {
///       registry.BeginAttempt(now, target->id, criteria);
///       registry.EndAttempt(now, target->id, AttemptResult::kAnswered, load);
///     }
class TargetRegistry {
 public:
  /// `instance` decides which of equally good targets this instance prefers.
  explicit TargetRegistry(base::DataCentreId local_data_centre, base::InstanceId instance = {})
      : local_data_centre_(std::move(local_data_centre)),
        instance_(std::move(instance)),
        outliers_(local_data_centre_) {}

  /// Adds or updates a target. A changed start time clears its load, failures and known prompts.
  /// An entry that says that the target is draining counts like MarkLeaving().
  void Upsert(base::TimePoint now, const TargetEntry& entry);
  void Remove(const base::TargetId& id);

  /// Records that the target's entry is missing, although the target may be alive, because entries
  /// may have expired while the store was away. Choose() returns such a target only if more targets
  /// of its service are in doubt than not: an outage makes many entries expire, and a target that
  /// leaves goes alone. Upsert() ends the doubt. Ignored if the target is unknown.
  void SetInDoubt(const base::TargetId& id);
  /// Returns true if the target is in doubt and not chosen therefore.
  bool IsShunned(const base::TargetId& id) const;
  /// Number of targets in doubt.
  std::size_t InDoubt() const { return in_doubt_; }
  std::vector<base::TargetId> Ids() const;

  /// Records that the target that started at `started_ms` leaves: Choose() never returns it again,
  /// even if its entry is removed, or still or later lists it as in service. A target that started
  /// at another time under the same id is not affected. Returns false if that was known.
  bool MarkLeaving(base::TimePoint now, const base::TargetId& id, std::int64_t started_ms);
  /// Returns true if the target that started at `started_ms` leaves, as far as known.
  bool IsLeaving(const base::TargetId& id, std::int64_t started_ms) const;
  /// Number of targets that leave although their entries list them as in service.
  std::size_t LeavingUnlisted() const;

  /// Records that the target says that it stays cold for `left`.
  void SetCold(base::TimePoint now, const base::TargetId& id, base::Duration left);
  bool IsCold(base::TimePoint now, const base::TargetId& id) const;

  /// Excludes the targets of these data centres until the next call. Requests at them go on.
  void SetEvacuated(std::set<base::DataCentreId> data_centres);
  bool IsEvacuated(const base::DataCentreId& data_centre) const {
    return evacuated_.contains(data_centre);
  }

  /// Returns the target with the lowest expected delay that is neither leaving, evacuated nor
  /// already tried, if any.
  std::optional<TargetEntry> Choose(base::TimePoint now, const TargetCriteria& criteria) const;

  /// Returns true if any target of the service is neither leaving nor evacuated.
  bool HasAvailableTarget(const base::ServiceId& service) const;

  /// Returns true if any target meets the criteria, whether or not it is avoided now.
  bool HasTargetFor(const TargetCriteria& criteria) const;

  /// Counts a started attempt and remembers the prompt and affinity value sent with it.
  void BeginAttempt(base::TimePoint now, const base::TargetId& id, const TargetCriteria& criteria);
  /// Updates the target's load and failure rate. After kRejected, kUnreachable and kBroken, the
  /// target is avoided for a while.
  void EndAttempt(base::TimePoint now, const base::TargetId& id, AttemptResult result,
                  const std::optional<ReportedLoad>& load, const AttemptTimes& times = {});
  /// Records that the response to an attempt has begun.
  void OnFirstEvent(const base::TargetId& id, const std::string& request);
  /// Records that the instance runs, one of `instances`, and finds attempts whose response is
  /// overdue. Call it several times a second.
  void Tick(base::TimePoint now, std::size_t instances);
  /// Applies what another instance tells about a target.
  void ApplyResultReport(base::TimePoint now, std::uint64_t instance,
                         const base::DataCentreId& data_centre, const ResultReport& report);
  /// Targets that fail more than others, and what other instances are to be told.
  OutlierDetector& Outliers() { return outliers_; }
  const OutlierDetector& Outliers() const { return outliers_; }
  /// Returns how many times as long as usual work takes at the target; 1 if it is unknown.
  double WorkTimeOf(base::TimePoint now, const base::TargetId& id) const;

  /// Applies a target's statement about its rate. Ignores it if the target is unknown, has started
  /// again since, or has made a later statement. Returns true if a limit began, changed or ended.
  bool ApplyRateStatement(const base::TargetId& id, const RateStatement& statement);
  /// Returns the last statement of the target, if it has made one.
  std::optional<RateStatement> LastRateStatement(const base::TargetId& id) const;
  /// Records when the target's rate is expected to allow another request. Choose() counts the time
  /// until then as delay.
  void ExpectToken(const base::TargetId& id, base::TimePoint at);
  /// Returns the time until the target's rate is expected to allow a request; 0 without a limit.
  base::Duration TokenWait(base::TimePoint now, const base::TargetId& id) const;
  /// Returns the time that a request sent to the target would wait for a slot and for the target's
  /// rate; 0 if the target is unknown.
  base::Duration QueueDelay(base::TimePoint now, const base::TargetId& id) const;
  /// Returns the load of the service's targets that reported theirs within the last second. A
  /// rejection by a full target counts as a report.
  ServiceLoad LoadOf(base::TimePoint now, const base::ServiceId& service) const;
  /// True if a target of the service names a limit.
  bool HasLimitedTarget(const base::ServiceId& service) const;
  /// Number of targets whose last statement names a limit.
  std::size_t LimitedTargets() const;

  /// Returns null if the target is unknown.
  const TargetEntry* Find(const base::TargetId& id) const;
  std::size_t size() const { return targets_.size(); }
  /// Number of attempts of this instance that are in flight at the target.
  std::uint32_t InFlight(const base::TargetId& id) const;

 private:
  struct Target {
    /// What the list says; `entry.draining` may lag behind `leaving`.
    TargetEntry entry;
    bool leaving = false;
    bool in_doubt = false;
    /// End of its last cold time as far as known; nothing if it wasn't cold.
    std::optional<base::TimePoint> cold_until;
    /// True if its data centre is evacuated.
    bool evacuated = false;
    std::uint32_t in_flight = 0;
    /// Requests of other instances at the target, as of `load_at`.
    double other_load = 0;
    base::TimePoint load_at;
    bool load_known = false;
    /// Last reported requests per slot, those of this instance included, as of `reported_at`.
    double reported_load = 0;
    base::TimePoint reported_at;
    WorkTime work_time;
    /// Time at which an instance last told others that work takes long there.
    base::TimePoint slowness_told_at;
    /// Place in the order in which this instance prefers targets.
    std::uint64_t spread_place = 0;
    /// Requests without a home target that this instance has sent to it.
    std::uint64_t spread_requests = 0;
    /// Time at which this instance learned that the target had started again. Attempts that began
    /// before say nothing about the new start.
    base::TimePoint restarted_at;
    /// Time until which a failed attempt raises the target's cost.
    base::TimePoint avoid_until;
    /// Exponential moving average of the fraction of attempts that failed, 0 to 1, as of
    /// `failure_rate_at`. It fades, because a target that is avoided gets no attempts.
    double failure_rate = 0;
    base::TimePoint failure_rate_at;
    /// Last statement about the rate that the target takes; empty if there is none.
    std::optional<RateStatement> rate;
    /// Time at which its rate is expected to allow another request; used only with a limit.
    base::TimePoint token_at;
    /// Prompt parts and affinity values sent to the target, with the time of their last use.
    std::unordered_map<std::string, base::TimePoint> last_used;
  };

  /// One start of a target.
  struct TargetStart {
    base::TargetId id;
    std::int64_t started_ms = 0;

    auto operator<=>(const TargetStart&) const = default;
  };

  /// Drops the oldest records of leaving targets that aren't listed if there are too many.
  void ForgetOldestLeaving();
  static bool IsCold(base::TimePoint now, const Target& target) {
    return target.cold_until && now < *target.cold_until;
  }
  static base::Duration WaitForToken(base::TimePoint now, const Target& target);
  /// Requests at the target as far as known, its own instance's and others'.
  static double Load(base::TimePoint now, const Target& target);
  /// Number of requests for which the target has no slot if it gets one more.
  static double Excess(base::TimePoint now, const Target& target);
  /// Expected delay by the work before the request and by the target's speed, in milliseconds.
  double LoadCost(base::TimePoint now, const Target& target) const;
  /// Records the load that the target reports, or that it was full, for LoadOf().
  static void RecordSlotUse(base::TimePoint now, Target& target, bool full,
                            const std::optional<ReportedLoad>& load);
  /// Applies a target's statement about its load.
  void ApplyLoad(base::TimePoint now, Target& target, const ReportedLoad& load);
  static double FailureRate(base::TimePoint now, const Target& target);
  /// Tells the outlier detector how an attempt ended.
  void JudgeAttempt(base::TimePoint now, const Target& target, AttemptResult result,
                    const std::optional<ReportedLoad>& load, const AttemptTimes& times);
  /// Returns the time that hardly any response of the target takes; nothing if it isn't known or
  /// the service's requests wait in queues.
  std::optional<base::Duration> ResponseLimit(base::TimePoint now, const base::TargetId& id) const;
  /// True if the target rejected the request as full although it states that it has a free slot.
  static bool IsWrongRejection(base::TimePoint now, const Target& target,
                               const std::optional<ReportedLoad>& load);
  /// True if the response took far longer than is expected of the service and the target.
  bool IsFarTooSlow(base::TimePoint now, const Target& target,
                    const std::optional<ReportedLoad>& load, const AttemptTimes& times) const;
  /// Learns from the times of an answered attempt.
  void LearnTimes(base::TimePoint now, Target& target, const std::optional<ReportedLoad>& load,
                  const AttemptTimes& times);
  /// Returns the home target of the conversation among those that meet the criteria, in this data
  /// centre if there is one; null without a conversation.
  const Target* FindHome(const TargetCriteria& criteria) const;
  /// Expected delay in milliseconds if the request is sent to the target.
  double Cost(base::TimePoint now, const Target& target, const TargetCriteria& criteria,
              bool is_home) const;
  /// Cost of a new connection, if the request needs one.
  static double ConnectionCost(const Target& target, const TargetCriteria& criteria);
  /// Load that is added for a target that was cold, so that its share of the requests grows slowly.
  static double SlowStartLoad(base::TimePoint now, const Target& target);
  /// Load that the target probably has beyond Load(), because its last report is old or missing.
  double UnreportedLoad(base::TimePoint now, const Target& target) const;
  /// Counts a request without a home target and moves the preference on after some of them.
  void CountSpread(Target& chosen, const TargetCriteria& criteria);
  /// The part of the delay that caches at the target decide.
  static double MissCost(const Target& target, const TargetCriteria& criteria, bool is_home);
  /// True if the target may be chosen by the criteria. `shuns_doubtful` is ShunsDoubtful() of the
  /// service.
  static bool Meets(const Target& target, const TargetCriteria& criteria, bool shuns_doubtful);
  /// True if the service's targets in doubt aren't chosen.
  bool ShunsDoubtful(const base::ServiceId& service) const;
  void EndDoubt(Target& target);
  /// Sets the time of last use of the request's prompt parts and affinity value.
  void RecordUse(base::TimePoint now, Target& target, const TargetCriteria& criteria);

  /// What an instance knows of the targets of a service together.
  struct ServiceState {
    InstanceSpread spread;
    /// Moving average of the load of other instances in the reports of the service's targets.
    double usual_load = 0;
  };

  base::DataCentreId local_data_centre_;
  base::InstanceId instance_;
  std::map<base::ServiceId, ServiceState> services_;
  std::map<base::TargetId, Target> targets_;
  std::set<base::DataCentreId> evacuated_;
  ServiceTimes service_times_;
  OpenAttempts open_attempts_;
  /// Share of the recent load reports of a service in which requests wait, 0 to 1.
  std::map<base::ServiceId, double> queueing_;
  OutlierDetector outliers_;
  std::size_t in_doubt_ = 0;
  /// Starts of targets that are known to leave, also of those that aren't listed, with the time at
  /// which that was learned.
  std::map<TargetStart, base::TimePoint> leaving_since_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_TARGET_REGISTRY_HPP_
