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

/// @brief The platform's log in memory, with the faults that the design has to survive.
struct FakeLog {
  struct Stream {
    std::vector<std::string> records;
    std::size_t oldest = 0;
  };
  std::map<base::StreamName, Stream> streams;
  /// Reads and appends fail, and nothing is appended.
  bool down = false;
  /// Appends that take effect but whose answer is lost.
  int lost_append_replies = 0;
  std::uint64_t appends = 0;
};

/// What a fake target does with the next requests.
enum class TargetMode { kRespond, kHang, kCloseAfterRun, kRefuse };

/// @brief A back end that answers after a fixed time and records what it ran.
struct FakeTarget {
  TargetMode mode = TargetMode::kRespond;
  base::Duration delay = std::chrono::milliseconds{20};
  /// Dispatches in the order of their arrival.
  std::vector<Dispatch> received;
  /// Number of runs for each idempotency key.
  std::map<std::string, int> runs;
  /// Programs whose memory the engine holds.
  std::set<std::string> held;
};

/// @brief A few schedulers joined by direct calls in virtual time: the log, targets and messages
/// are small fakes. Faults are set by the test.
class Fleet {
 public:
  /// Instances "i1".."iN", spread over data centres "d1".."d3".
  explicit Fleet(int instances, std::uint64_t seed = 1,
                 base::Duration retention = std::chrono::hours{24});

  /// Appends the test catalogue and waits until every instance has it.
  void Start();
  /// RunCount for this long in virtual time; a longer step makes long runs cheaper.
  void Run(base::Duration duration, base::Duration step = std::chrono::milliseconds{10});
  /// RunCount until the request is answered or the time is over.
  const Reply* Wait(base::RequestId request,
                    base::Duration max_duration = std::chrono::seconds{30});

  base::RequestId Send(int instance, CallerRequest request);
  base::RequestId OpenProgram(int instance, const std::string& key = "north-key");
  base::RequestId Turn(int instance, const std::string& program, const std::string& text,
                       std::uint32_t turn = 0, const std::string& key = "north-key");
  base::RequestId Service(int instance, const std::string& route, const std::string& idempotency,
                          const std::string& body = "{}", const std::string& key = "north-key");
  base::RequestId Change(int instance, const std::string& section, const std::string& name,
                         std::uint64_t base_version, const std::string& value, bool remove = false);
  /// Opens a program and returns its id.
  std::string MustOpen(int instance);

  /// The process is gone; its state is lost.
  void Kill(int instance);
  /// A new process under the same id.
  void Restart(int instance);
  /// A paused process gets no events until Resume().
  void Pause(int instance) { nodes_[instance].paused = true; }
  void Resume(int instance);
  /// No messages between the two groups, and for `cut` instances no log either if
  /// `log_unreachable`.
  void StartPartition(const std::set<int>& separated, bool log_unreachable);
  void EndPartition();
  void Stop(int instance) { HandleEvent(instance, StopRequested{}); }

  Status StatusOf(int instance) const;
  bool HasStopped(int instance) const { return nodes_[instance].stopped; }
  const std::string& UnfinishedWork(int instance) const { return nodes_[instance].left; }
  const Reply* ReplyTo(base::RequestId request) const;
  base::TimePoint CurrentTime() const { return now_; }
  base::Now Clock() const;
  /// "<unix seconds>.<text>" at the current time.
  std::string IdempotencyKey(const std::string& text) const;
  static KeyDigest DigestOf(const std::string& key);
  /// The entry as the test catalogue has it.
  std::string CatalogueEntry(const std::string& section, const std::string& name) const;
  /// Sum of the runs of an idempotency key over all service targets.
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
    std::string left;
    std::map<base::StreamName, std::size_t> read;
    std::vector<Event> paused_events;
    std::uint64_t process_number = 0;
    /// Origin of requests that another instance sent on.
    std::map<base::RequestId, std::pair<int, base::RequestId>> origins;
  };

  void StartProcess(int instance);
  void HandleEvent(int instance, Event event);
  void RunLater(base::Duration delay, std::function<void()> action);
  /// Delivers only if the same process still runs then.
  void HandleEventLater(int instance, base::Duration delay, Event event);
  void ReadLogs();
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
  std::multimap<base::TimePoint, std::function<void()>> queue_;
  std::map<base::RequestId, Reply> replies_;
  std::uint64_t last_request_ = 0;
  std::uint64_t seed_;
};

}  // namespace persimmonstair::scheduler::test

#endif  // PERSIMMONSTAIR_SCHEDULER_TEST_FLEET_HPP_
