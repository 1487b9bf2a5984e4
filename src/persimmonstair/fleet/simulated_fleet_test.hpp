#ifndef PERSIMMONSTAIR_SRC_FLEET_SIMULATED_FLEET_TEST_HPP_
#define PERSIMMONSTAIR_SRC_FLEET_SIMULATED_FLEET_TEST_HPP_

#include <cstddef>
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

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/fleet/heartbeat_sender.hpp"
#include "persimmonstair/fleet/roster_collector.hpp"
#include "persimmonstair/fleet/roster_reader.hpp"
#include "persimmonstair/quota/local_shares.hpp"
#include "persimmonstair/quota/share_allocator.hpp"

namespace persimmonstair::fleet {

/// @brief Runs functions in the order of their virtual times.
class VirtualTime {
 public:
  base::TimePoint Now() const { return now_; }
  void At(base::TimePoint time, std::function<void()> run) {
    events_.push({time, ++count_, std::move(run)});
  }
  void After(base::Duration time, std::function<void()> run) { At(now_ + time, std::move(run)); }
  void RunUntil(base::TimePoint end) {
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    base::TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };
  base::TimePoint now_{std::chrono::seconds{100}};
  std::uint64_t count_ = 0;
  std::priority_queue<Event> events_;
};

/// @brief A store that takes one append at a time in each partition and keeps the newest record of
/// each key.
class SimulatedStore {
 public:
  explicit SimulatedStore(VirtualTime& time) : time_(time) {}

  /// Appends reports; `done` gets false if the store refuses the instance.
  void AppendReports(const base::InstanceId& from, std::vector<ReportEntry> entries,
                     std::function<void(bool)> done);
  /// Writes the table if `expected` is the number of tables.
  void AppendTable(const base::InstanceId& from, schema::ShareTable table, std::size_t expected);

  bool Refuses(const base::InstanceId& instance) const { return refused.contains(instance); }

  std::set<base::InstanceId> refused;
  std::vector<ReportEntry> reports;
  std::map<std::string, ReportEntry> newest_reports;
  std::vector<schema::ShareTable> tables;
  /// Report appends that were begun.
  std::size_t appends = 0;
  /// Longest time from the begin of an append of reports to its end.
  base::Duration longest_append{0};

 private:
  VirtualTime& time_;
  base::TimePoint busy_until_;
};

class SimulatedFleet;

/// @brief The membership part of an instance.
class SimulatedInstance {
 public:
  SimulatedInstance(SimulatedFleet& fleet, std::size_t index, std::string process);

  void Start();
  void Kill() { killed_ = true; }
  bool Killed() const { return killed_; }

  bool HasLease() const;
  std::uint64_t Round() const { return shares_.Round(); }
  /// Number of instances that this one counts as live, itself included.
  std::size_t LiveInstances() const;
  const base::InstanceId& Id() const { return id_; }
  const std::string& Collector() const { return sender_.Collector(); }

  void Receive(const schema::InstanceHeartbeat& heartbeat);
  void Receive(const schema::InstanceHeartbeatAck& ack);

 private:
  void ReadLoop();
  void Read();
  void ReportLoop();
  void Collect();
  void Apply(const ReportEntry& entry);
  void Apply(const RosterNews& news);
  std::vector<CollectorCandidate> Candidates() const;
  schema::ShareReport OwnReport() const;

  SimulatedFleet& fleet_;
  base::InstanceId id_;
  base::DataCentreId data_centre_;
  std::string process_;
  quota::LocalShares shares_;
  quota::ShareAllocator allocator_;
  HeartbeatSender sender_;
  RosterCollector collector_;
  RosterReader reader_;
  std::map<base::InstanceId, std::pair<schema::ShareReport, base::TimePoint>> heard_;
  std::optional<std::size_t> next_report_;
  std::size_t next_table_ = 0;
  base::TimePoint started_at_;
  base::TimePoint cannot_collect_until_;
  bool appending_ = false;
  bool killed_ = false;
};

/// @brief Instances in data centres on a store, in virtual time.
class SimulatedFleet {
 public:
  SimulatedFleet(std::size_t instances, std::size_t data_centres, std::uint32_t seed);

  /// Starts all instances that don't run, within 0.3 s.
  void StartAll();
  void Kill(std::size_t index) { instances[index]->Kill(); }
  void RunFor(base::Duration duration) { time.RunUntil(time.Now() + duration); }
  /// Runs until all running instances hold shares; returns the time it took, at most `limit`.
  base::Duration RunUntilReady(base::Duration limit);

  /// Passes a message on unless it is lost.
  void Send(const std::string& peer, std::function<void(SimulatedInstance&)> deliver);
  std::string PeerOf(std::size_t index) const { return std::to_string(index); }

  VirtualTime time;
  SimulatedStore store{time};
  std::mt19937 random;
  std::size_t data_centres;
  double loss = 0.01;
  /// False makes each instance report itself, as without collectors.
  bool uses_collectors = true;
  std::vector<std::unique_ptr<SimulatedInstance>> instances;

 private:
  /// Instances that were killed and replaced; events may still refer to them.
  std::vector<std::unique_ptr<SimulatedInstance>> replaced_;
  std::uint64_t starts_ = 0;
};

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_SRC_FLEET_SIMULATED_FLEET_TEST_HPP_
