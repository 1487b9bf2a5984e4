#ifndef PERSIMMONSTAIR_PROGRAMS_SIMULATION_CLUSTER_HPP_
#define PERSIMMONSTAIR_PROGRAMS_SIMULATION_CLUSTER_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/programs/program_store.hpp"
#include "reference_model.hpp"

namespace persimmonstair::programs::simulation {

/// @brief Kinds of steps: calls, progress of engines, log and network, and faults.
enum class OpKind : std::uint8_t {
  kOpen,
  kTurn,
  kDuplicate,
  kEarlyTurn,
  kEnd,
  kEngine,
  kAppend,
  kRead,
  kDeliver,
  kTime,
  kKill,
  kPause,
  kOutage,
  kPartition,
  kHandOver,
  kLateAppend,
  kCount,
};

/// @brief One step of a sequence. `a` and `b` are random numbers that select a caller, node,
/// message or variant from those that exist when the step runs. Any subset of a sequence can
/// therefore run, which Minimise() relies on.
struct Op {
  OpKind kind = OpKind::kTime;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

std::string ToString(const Op& op);
/// @brief Returns the random sequence for a seed.
std::vector<Op> Sequence(std::uint64_t seed, std::size_t length);

/// @brief Simulates three instances, a log, two engines and callers, with faults. All messages of
/// all programs are compared with the reference model.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(IndexChecks checks = {});

  /// Runs a sequence, then repairs all faults, ends all programs and checks the final state.
  /// Returns a description of the first violation, or an empty text.
  std::string Run(const std::vector<Op>& ops);

  /// Answers to callers, takeovers in the log and turns run by engines during Run().
  struct Counts {
    std::uint64_t answers = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t runs = 0;
  };
  const Counts& RunCounts() const { return counts_; }

 private:
  struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    schema::PeerMessage message;
  };
  struct Node {
    /// Empty while the node is stopped.
    std::optional<ProgramStore> store;
    std::uint64_t incarnation = 0;
    std::size_t cursor = 0;
    std::deque<AppendRecord> pending_appends;
    std::deque<FetchRecords> fetches;
    std::deque<RunTurn> queued;
    std::deque<RunTurn> at_engine;
    bool paused = false;
    bool partitioned = false;
    /// Time since which the node has not renewed its lease.
    std::optional<base::TimePoint> unavailable_since;
    bool lease_held = true;
  };
  struct Caller {
    base::ProgramId program;
    base::WorkspaceId workspace;
    base::ProgramId parent;
    std::int64_t budget = 0;
    bool open = false;
    bool done = false;
    bool ending = false;
    /// Number of the turn that the caller waits for; 0 if none.
    std::uint32_t waiting = 0;
    std::vector<std::string> bodies;
  };
  struct PendingCall {
    std::size_t caller = 0;
    std::uint32_t turn = 0;
    bool early = false;
  };
  /// Tokens that engines used for one turn number of a program.
  struct Work {
    std::int64_t tokens = 0;
    /// Tokens used when a result was acknowledged without the log. They may be lost without a
    /// charge.
    std::int64_t unlogged_tokens = 0;
  };

  // cluster.cpp
  void Apply(const Op& op);
  void StartNode(std::size_t node);
  bool Up(std::size_t node) const { return nodes_[node].store && !nodes_[node].paused; }
  bool LogUp(std::size_t node) const { return !log_down_ && !nodes_[node].partitioned; }
  base::Now Time() const;
  void Perform(std::size_t node, ProgramActions actions);
  void PerformOne(std::size_t node, ProgramAction& action);
  /// Keeps the first violation; ignores an empty text.
  void ReportViolation(const std::string& violation);
  std::size_t OwnerOf(const base::ProgramId& program) const;

  // cluster_steps.cpp
  void Open(std::uint32_t a, std::uint32_t b);
  void SendOpenCall(std::size_t caller, std::size_t node);
  void SendTurnCall(std::size_t caller, std::uint32_t turn, std::size_t node, bool early);
  void Turn(std::uint32_t a, std::uint32_t b);
  void RepeatTurn(std::uint32_t a, std::uint32_t b);
  void EarlyTurn(std::uint32_t a, std::uint32_t b);
  void End(std::uint32_t a);
  void EngineStep(std::size_t node, std::uint32_t b);
  void Execute(std::size_t node, const RunTurn& run, std::uint32_t b);
  void AppendStep(std::size_t node, std::uint32_t b);
  void ReadStep(std::size_t node, std::size_t count);
  void FetchStep(std::size_t node);
  void Deliver(std::uint32_t a, std::uint32_t b);
  void Advance(base::Duration duration);
  void UpdateMembership();
  void AppendToLog(const schema::Record& record);
  void StopOrStartNode(std::size_t node);
  void PauseOrResumeNode(std::size_t node);
  void StartOrEndPartition(std::size_t node);
  void HandOver(std::uint32_t a, std::uint32_t b);
  void OnAnswer(std::size_t node, const TurnAnswer& answer);
  void OnRefusal(const ProgramRefusal& reply);

  // cluster_end.cpp
  void RepairFaults();
  void Settle(int rounds);
  void FinishCallers();
  void CheckEnd();
  void CheckBudgets();

  IndexChecks checks_;
  base::Duration time_{0};
  std::vector<Node> nodes_;
  std::vector<schema::Record> log_;
  /// Records of appends that were sent and reach the log later.
  std::vector<schema::Record> delayed_appends_;
  bool log_down_ = false;
  std::vector<Message> messages_;
  std::vector<Caller> callers_;
  std::map<base::RequestId, PendingCall> pending_calls_;
  std::uint64_t next_request_ = 0;
  /// Index of all records in the log, updated at each append with all checks on.
  ProgramIndex log_index_;
  ReferenceModel reference_model_;
  /// Program and turn of each record that was copied to peers.
  std::map<base::RecordId, std::pair<base::ProgramId, std::uint32_t>> copied_;
  /// Nodes that acknowledged a copy, by program and turn.
  std::map<std::pair<base::ProgramId, std::uint32_t>, std::set<std::size_t>> holders_;
  std::map<std::pair<base::ProgramId, std::uint32_t>, Work> work_;
  std::map<std::pair<base::ProgramId, std::uint32_t>, std::int64_t> charged_;
  /// Programs whose memory each engine holds.
  std::map<base::TargetId, std::set<base::ProgramId>> engines_;
  Counts counts_;
  std::string violation_;
};

}  // namespace persimmonstair::programs::simulation

#endif  // PERSIMMONSTAIR_PROGRAMS_SIMULATION_CLUSTER_HPP_
