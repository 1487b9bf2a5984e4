#ifndef PERSIMMONSTAIR_LIMITS_SIM_WORLD_HPP_
#define PERSIMMONSTAIR_LIMITS_SIM_WORLD_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "persimmonstair/membership/liveness.hpp"
#include "sim/exact_bucket.hpp"
#include "sim/plan.hpp"

namespace persimmonstair::limits::sim {

/// @brief Counts of requests by outcome, and of the instances' log and peer traffic, in a run.
struct Totals {
  std::uint64_t arrivals = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Requests that were queued in a process when it stopped.
  std::uint64_t lost = 0;
  /// Appends to the log and the records in them. Byte counts stay 0 without World::CountBytes().
  std::uint64_t appends = 0;
  std::uint64_t records = 0;
  std::uint64_t record_bytes = 0;
  /// Messages between instances.
  std::uint64_t messages = 0;
  std::uint64_t message_bytes = 0;
};

/// @brief Callbacks for single requests, for measurements. Empty functions are not called. The time
/// is the simulated one; workspaces and instances are given by their index, requests by their
/// number.
struct Observer {
  std::function<void(base::TimePoint, std::size_t workspace, std::uint64_t request,
                     std::size_t instance)>
      arrived;
  std::function<void(base::TimePoint, std::size_t workspace, std::uint64_t request)> admitted;
  std::function<void(base::TimePoint, std::size_t workspace, std::uint64_t request)> refused;
};

/// @brief Simulation of a fleet with simulated time, log and network, driven by a plan. Checks
/// every admitted request against one exact bucket per workspace.
///
///     World world{RandomPlan(7), {}};
///     if (auto violation = world.Run()) std::cerr << *violation;
class World {
 public:
  World(Plan plan, Switches switches, Observer observer = {});
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// @brief Runs the whole plan, or up to the first violation, and returns its description.
  std::optional<std::string> Run();
  /// @brief Runs up to a time since the start, so that a test can check the state in between.
  std::optional<std::string> RunUntil(base::Duration at);
  /// Time of the violation since the start; without one, the time of the last event. The simulated
  /// clock starts at 1 s.
  base::Duration ViolationAt() const { return now_.time_since_epoch() - std::chrono::seconds{1}; }

  const Totals& Counts() const { return totals_; }
  /// Turns on the byte counts. They are off by default, because encoding each message and record
  /// costs more than the run itself.
  void CountBytes() { count_bytes_ = true; }
  void ResetTotals() { totals_ = {}; }
  LimiterCounters Counters() const;
  /// Number of running processes.
  std::size_t RunningProcesses() const;
  /// Sum of the shares in use over the processes that run and are not paused.
  SharesInUse Shares(std::size_t workspace) const;
  /// Sum of LeaseManager::PausesDetected() over all processes.
  std::uint64_t PausesDetected() const;

 private:
  struct Process;
  struct Event {
    base::TimePoint at;
    std::uint64_t order = 0;
    /// Process that handles the event; deferred while the process is paused. Null for events of the
    /// simulation itself.
    std::shared_ptr<Process> process;
    std::function<void()> run;
  };
  /// Orders the queue so that the earliest event is on top; events of the same time run in the
  /// order in which they were scheduled.
  struct IsLater {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  /// One version of the configuration that processes read.
  struct Config {
    std::vector<Limit> limits;
    std::uint64_t reserved_shares_version = 0;
    std::map<base::InstanceId, std::uint32_t> reserved_shares;
  };

  base::TimePoint Now() const { return now_; }
  void At(base::TimePoint at, std::shared_ptr<Process> process, std::function<void()> run);
  void After(base::Duration delay, std::shared_ptr<Process> process, std::function<void()> run);
  double RandomUnit();
  bool Happens(double probability) { return probability > 0 && RandomUnit() < probability; }
  std::int64_t RandomBetween(std::int64_t low, std::int64_t high);

  /// Starts a new process under an instance's id.
  void Start(std::size_t instance);
  /// Regular work of a process: reads the log, renews the lease, runs the limiter, and appends.
  void Tick(const std::shared_ptr<Process>& process);
  /// Schedules a call to Limiter::Tick() at its next deadline, if that is before the regular tick.
  void Wake(const std::shared_ptr<Process>& process);
  /// Applies the records of the log that the process can read now.
  void Read(Process& process);
  /// Carries out an output: queues its records for the next append, sends its messages, and handles
  /// its decisions on requests.
  void Perform(const std::shared_ptr<Process>& process, LimiterOutput output);
  void Perform(const std::shared_ptr<Process>& process, membership::Output output);
  void Send(const std::shared_ptr<Process>& process,
            std::vector<membership::OutgoingMessage>& messages);
  void Deliver(const std::shared_ptr<Process>& to, const base::InstanceId& from,
               base::Incarnation incarnation, const schema::PeerMessage& message);
  /// Sends heartbeats to the other processes at regular intervals.
  void Heartbeat(const std::shared_ptr<Process>& process);
  /// Appends the queued records of a process, with at most one append in flight.
  void Flush(const std::shared_ptr<Process>& process);
  /// Appends records with the simulated delays and faults of the log.
  void Append(const std::shared_ptr<Process>& process, std::vector<schema::Record> records);
  /// Makes the records readable, unless the log is down.
  void AddToLog(const std::vector<schema::Record>& records);
  bool LogReachable(std::size_t instance) const;
  bool CanReach(std::size_t a, std::size_t b) const;
  /// Sends a new request to an instance chosen at random, or by the plan's skew.
  void Arrive(std::size_t workspace);
  void ScheduleArrival(std::size_t workspace);
  /// Takes a token of the exact bucket for an admitted request; reports a violation if there is
  /// none.
  void OnAdmitted(std::uint64_t request);
  void OnRefused(std::uint64_t request);
  void Stop(Process& process);
  /// Reports a violation if the shares in use of a workspace exceed the reserved or the leased part
  /// of its limits.
  void CheckShares();

  void Apply(const Fault& fault);
  void Pause(std::size_t instance, base::Duration length);
  void Kill(std::size_t instance, base::Duration restart_after);
  void Leave(std::size_t instance);
  void EditLimit(const Fault& fault);
  void EditReservedShares();
  /// Applies the newest configuration to a process.
  void AdoptConfig(Process& process);
  /// Sets the limits of the exact buckets to the largest that any running process applies.
  void UpdateExactBuckets();
  /// A running process of an instance, chosen at random if there are several; null if there is
  /// none.
  std::shared_ptr<Process> PickRunning(std::size_t instance);

  Plan plan_;
  Switches switches_;
  Observer observer_;
  base::TimePoint now_;
  /// Number of the last event that was scheduled.
  std::uint64_t next_event_order_ = 0;
  std::mt19937_64 random_;
  std::priority_queue<Event, std::vector<Event>, IsLater> events_;
  std::vector<std::shared_ptr<Process>> processes_;
  std::size_t instances_ = 0;
  std::size_t next_process_ = 0;

  std::vector<schema::Record> log_;
  /// Time at which each record of `log_` was appended.
  std::vector<base::TimePoint> log_times_;
  base::TimePoint log_down_until_;
  base::TimePoint log_slow_until_;
  /// By instance: it can neither read nor append.
  std::map<std::size_t, base::TimePoint> log_unreachable_until_;
  /// By instance: it can append, but not read.
  std::map<std::size_t, base::TimePoint> unreadable_until_;
  /// By data centre: it is cut off from the other data centres and from the log.
  std::map<std::size_t, base::TimePoint> partitioned_until_;
  /// By data centre: it is cut off from the other data centres, but not from the log.
  std::map<std::size_t, base::TimePoint> peers_disconnected_until_;

  std::vector<Config> configs_;
  /// By workspace: bucket that is shared by the whole fleet without delay, and its limits.
  std::vector<ExactBucket> exact_buckets_;
  std::vector<Limit> exact_limits_;
  struct Request {
    std::size_t workspace = 0;
    std::shared_ptr<Process> process;
  };
  /// Requests that were neither admitted nor refused yet.
  std::map<std::uint64_t, Request> undecided_requests_;
  std::uint64_t next_request_ = 0;
  std::optional<std::string> violation_;
  Totals totals_;
  bool count_bytes_ = false;
};

}  // namespace persimmonstair::limits::sim

#endif  // PERSIMMONSTAIR_LIMITS_SIM_WORLD_HPP_
