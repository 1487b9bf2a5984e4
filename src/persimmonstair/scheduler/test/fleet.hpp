#ifndef PERSIMMONSTAIR_SCHEDULER_TEST_FLEET_HPP_
#define PERSIMMONSTAIR_SCHEDULER_TEST_FLEET_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/scheduler/scheduler.hpp"

namespace persimmonstair::scheduler::test {

/// @brief In-memory replacement of the platform's log, with faults that a test can set.
struct FakeLog {
  struct Stream {
    std::vector<std::string> records;
    /// Oldest retained offset; records before it are not returned.
    std::size_t oldest = 0;
  };
  std::map<base::StreamName, Stream> streams;
  /// Reads and appends fail; failed appends add no records.
  bool down = false;
  /// Number of the next appends that add their records but report an unknown outcome.
  int lost_append_replies = 0;
  std::uint64_t appends = 0;
};

/// @brief Behaviour of a fake target for the next requests. The scheduler's own requests, for
/// example for the load, are answered in all modes but kRefuse.
enum class TargetMode {
  kRespond,
  kHang,           // receives the request and never responds
  kCloseAfterRun,  // runs the request and closes the connection without a response
  kRefuse          // refuses connections
};

/// @brief A back end that responds after a fixed time and records the requests it received.
struct FakeTarget {
  TargetMode mode = TargetMode::kRespond;
  base::Duration delay = std::chrono::milliseconds{20};
  /// Received requests in order of arrival, without the scheduler's own requests for the load and
  /// for the list and the release of program memory.
  std::vector<Dispatch> received;
  /// Number of runs per idempotency key.
  std::map<std::string, int> runs;
  /// Programs whose memory the engine holds.
  std::set<std::string> held;
};

/// @brief A simulation of several complete schedulers in virtual time. The log, the targets and the
/// messages between instances are in-memory fakes, with faults that the test sets.
class Fleet {
 public:
  /// Creates instances "i1".."iN", distributed over data centres "d1".."d3".
  explicit Fleet(int instances, std::uint64_t seed = 1,
                 base::Duration retention = std::chrono::hours{24});

  /// Appends the test catalogue, starts all instances and runs until their leases are usable.
  void Start();
  /// Advances virtual time by `duration`. A longer step makes long runs faster.
  void Run(base::Duration duration, base::Duration step = std::chrono::milliseconds{10});
  /// Advances virtual time until the request has a reply or `max_duration` has passed. Returns null
  /// if there is no reply.
  const Reply* Wait(base::RequestId request,
                    base::Duration max_duration = std::chrono::seconds{30});

  /// Sends a request and returns its id, as do OpenProgram(), Turn(), Service() and Change(). Turn
  /// 0 means the next turn, and `base_version` 0 that the catalogue entry does not exist yet. `key`
  /// is the caller's API key.
  base::RequestId Send(int instance, CallerRequest request);
  base::RequestId OpenProgram(int instance, const std::string& key = "north-key");
  base::RequestId Turn(int instance, const std::string& program, const std::string& text,
                       std::uint32_t turn = 0, const std::string& key = "north-key");
  base::RequestId Service(int instance, const std::string& route, const std::string& idempotency,
                          const std::string& body = "{}", const std::string& key = "north-key");
  base::RequestId Change(int instance, const std::string& section, const std::string& name,
                         std::uint64_t base_version, const std::string& value, bool remove = false);
  /// Opens a program and returns its id; adds a test failure if it could not be opened.
  std::string MustOpen(int instance);

  /// Ends the process of an instance without a planned stop; its state is lost.
  void Kill(int instance);
  /// Starts a new process under the same instance id.
  void Restart(int instance);
  /// Holds back all events of a process until Resume().
  void Pause(int instance) { nodes_[instance].paused = true; }
  void Resume(int instance);
  /// Stops messages between the instances in `separated` and the others. If `log_unreachable`, the
  /// instances in `separated` cannot reach the log either.
  void StartPartition(const std::set<int>& separated, bool log_unreachable);
  void EndPartition();
  void Stop(int instance) { HandleEvent(instance, StopRequested{}); }

  Status StatusOf(int instance) const;
  bool HasStopped(int instance) const { return nodes_[instance].stopped; }
  /// Description of the work that the planned stop left unfinished.
  const std::string& UnfinishedWork(int instance) const { return nodes_[instance].left; }
  /// Null if the request has no reply yet.
  const Reply* ReplyTo(base::RequestId request) const;
  base::TimePoint CurrentTime() const { return now_; }
  base::Now Clock() const;
  /// "<unix seconds>.<text>" at the current time.
  std::string IdempotencyKey(const std::string& text) const;
  static KeyDigest DigestOf(const std::string& key);
  /// Initial entry of the test catalogue as JSON text.
  std::string CatalogueEntry(const std::string& section, const std::string& name) const;
  /// Number of runs of an idempotency key over all targets.
  int RunCount(const std::string& key) const;

  FakeLog log;
  std::map<std::string, FakeTarget> targets;

 private:
  struct Node {
    std::optional<Scheduler> scheduler;
    Options options;
    bool alive = false;
    bool paused = false;
    bool separated = false;
    bool log_unreachable = false;
    bool stopped = false;
    /// Stopped::left of the planned stop.
    std::string left;
    /// Offset of the next read of each stream.
    std::map<base::StreamName, std::size_t> read;
    std::vector<Event> paused_events;
    /// Number of processes started under this instance id; identifies the current one.
    std::uint64_t process_number = 0;
    /// Forwarding instance and its request id, by the local id of a forwarded request.
    std::map<base::RequestId, std::pair<int, base::RequestId>> origins;
  };

  void StartProcess(int instance);
  void HandleEvent(int instance, Event event);
  void RunLater(base::Duration delay, std::function<void()> action);
  /// Passes the event to the instance after `delay`, if the same process still runs then.
  void HandleEventLater(int instance, base::Duration delay, Event event);
  void DeliverLogReads();
  bool CanReachLog(const Node& node) const { return !log.down && !node.log_unreachable; }
  bool CanReach(int a, int b) const { return nodes_[a].separated == nodes_[b].separated; }
  int IndexOf(const base::InstanceId& instance) const;

  void ExecuteAction(int instance, Reply& action);
  void ExecuteAction(int instance, Dispatch& action);
  void ExecuteAction(int instance, Append& action);
  void ExecuteAction(int instance, FetchRecords& action);
  void ExecuteAction(int instance, SendPeer& action);
  void ExecuteAction(int instance, BroadcastPeer& action);
  void ExecuteAction(int instance, scheduler::Stopped& action);
  void ExecuteAction(int instance, CancelAttempt& action);
  template <class Other>
  void ExecuteAction(int /*instance*/, Other& /*action*/) {}
  TargetDone MakeResponse(const Dispatch& dispatch, FakeTarget& target);
  void Deliver(int from, int to, const schema::PeerMessage& message);

  base::TimePoint now_;
  std::vector<Node> nodes_;
  /// Actions to run, by virtual time.
  std::multimap<base::TimePoint, std::function<void()>> scheduled_actions_;
  std::map<base::RequestId, Reply> replies_;
  std::uint64_t last_request_ = 0;
  std::uint64_t seed_;
};

}  // namespace persimmonstair::scheduler::test

#endif  // PERSIMMONSTAIR_SCHEDULER_TEST_FLEET_HPP_
