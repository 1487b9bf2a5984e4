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

/// @brief Control traffic of a run, and what became of the requests.
struct Totals {
  std::uint64_t arrivals = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost = 0;
  std::uint64_t appends = 0;
  std::uint64_t records = 0;
  std::uint64_t record_bytes = 0;
  std::uint64_t messages = 0;
  std::uint64_t message_bytes = 0;
};

/// @brief What happened to single requests, for measurements. Empty functions are not called.
struct Observer {
  std::function<void(base::TimePoint, std::size_t workspace, std::uint64_t request,
                     std::size_t instance)>
      arrived;
  std::function<void(base::TimePoint, std::size_t workspace, std::uint64_t request)> admitted;
  std::function<void(base::TimePoint, std::size_t workspace, std::uint64_t request)> refused;
};

/// @brief A fleet with simulated time, log and network, driven by a plan. Checks every admitted
/// request against one exact bucket for each workspace.
///
///     World world{RandomPlan(7), {}};
///     if (auto violation = world.Run()) std::cerr << *violation;
class World {
 public:
  World(Plan plan, Switches switches, Observer observer = {});
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// @brief Runs the whole plan, or up to the first violation, which it describes.
  std::optional<std::string> Run();
  /// @brief Runs up to a time since the start, so that a test can look at the state between.
  std::optional<std::string> RunUntil(base::Duration at);
  /// When the violation happened.
  base::Duration ViolationAt() const { return now_.time_since_epoch() - std::chrono::seconds{1}; }

  const Totals& Counts() const { return totals_; }
  /// Encoding each message and record costs more than the run itself.
  void CountBytes() { count_bytes_ = true; }
  void ResetTotals() { totals_ = {}; }
  LimiterCounters Counters() const;
  /// Processes that run, with what they hold; for tests.
  std::size_t Running() const;
  /// Sums over the processes that run and are not paused.
  SharesInUse Shares(std::size_t workspace) const;
  std::uint64_t PausesDetected() const;

 private:
  struct Process;
  struct Event {
    base::TimePoint at;
    std::uint64_t order = 0;
    /// Process that handles the event and defers it while paused; none for the world itself.
    std::shared_ptr<Process> process;
    std::function<void()> run;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  struct Config {
    std::vector<Limit> limits;
    std::uint64_t reserved_shares_version = 0;
    std::map<base::InstanceId, std::uint32_t> reserved_shares;
  };

  base::TimePoint Now() const { return now_; }
  void At(base::TimePoint at, std::shared_ptr<Process> process, std::function<void()> run);
  void After(base::Duration delay, std::shared_ptr<Process> process, std::function<void()> run);
  double RandomUnit();
  bool HappensWith(double probability) { return probability > 0 && RandomUnit() < probability; }
  std::int64_t RandomBetween(std::int64_t low, std::int64_t high);

  void Start(std::size_t instance);
  void Tick(const std::shared_ptr<Process>& process);
  void Wake(const std::shared_ptr<Process>& process);
  void Read(Process& process);
  void Perform(const std::shared_ptr<Process>& process, LimiterOutput output);
  void Perform(const std::shared_ptr<Process>& process, membership::Output output);
  void Send(const std::shared_ptr<Process>& process,
            std::vector<membership::OutgoingMessage>& messages);
  void Deliver(const std::shared_ptr<Process>& to, const base::InstanceId& from,
               base::Incarnation incarnation, const schema::PeerMessage& message);
  void Heartbeat(const std::shared_ptr<Process>& process);
  void Flush(const std::shared_ptr<Process>& process);
  void Append(const std::shared_ptr<Process>& process, std::vector<schema::Record> records);
  void AddToLog(const std::vector<schema::Record>& records);
  bool LogReachable(std::size_t instance) const;
  bool CanCommunicate(std::size_t a, std::size_t b) const;
  void Arrive(std::size_t workspace);
  void ScheduleArrival(std::size_t workspace);
  void Admitted(std::uint64_t request);
  void Refused(std::uint64_t request);
  void Stop(Process& process);
  void CheckShares();

  void Apply(const Fault& fault);
  void Pause(std::size_t instance, base::Duration length);
  void Kill(std::size_t instance, base::Duration restart_after);
  void Leave(std::size_t instance);
  void EditLimit(const Fault& fault);
  void EditReservedShares();
  void AdoptConfig(Process& process);
  void UpdateExact();
  std::shared_ptr<Process> PickRunning(std::size_t instance);

  Plan plan_;
  Switches switches_;
  Observer observer_;
  base::TimePoint now_;
  std::uint64_t order_ = 0;
  std::mt19937_64 random_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::vector<std::shared_ptr<Process>> processes_;
  std::size_t instances_ = 0;
  std::size_t next_process_ = 0;

  std::vector<schema::Record> log_;
  std::vector<base::TimePoint> log_at_;
  base::TimePoint log_down_until_;
  base::TimePoint log_slow_until_;
  std::map<std::size_t, base::TimePoint> log_unreachable_until_;
  std::map<std::size_t, base::TimePoint> log_unreadable_until_;
  std::map<std::size_t, base::TimePoint> partitioned_until_;
  std::map<std::size_t, base::TimePoint> peers_split_until_;

  std::vector<Config> configs_;
  std::vector<ExactBucket> exact_;
  std::vector<Limit> exact_limits_;
  struct Request {
    std::size_t workspace = 0;
    std::shared_ptr<Process> process;
  };
  std::map<std::uint64_t, Request> undecided_requests_;
  std::uint64_t next_request_ = 0;
  std::optional<std::string> violation_;
  Totals totals_;
  bool count_bytes_ = false;
};

}  // namespace persimmonstair::limits::sim

#endif  // PERSIMMONSTAIR_LIMITS_SIM_WORLD_HPP_
