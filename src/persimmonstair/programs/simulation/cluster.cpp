#include "cluster.hpp"

#include <array>
#include <random>

#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::programs::simulation {
namespace {

constexpr std::size_t kNodes = 3;
constexpr std::array<const char*, static_cast<std::size_t>(OpKind::kCount)> kOpNames = {
    "open",   "turn",      "duplicate", "early turn", "end",  "engine",
    "append", "read",      "deliver",   "time",       "kill", "pause",
    "outage", "partition", "hand over", "late append"};
/// Relative frequency of each kind of step, in the order of OpKind.
constexpr std::array<int, static_cast<std::size_t>(OpKind::kCount)> kOpWeights = {
    5, 40, 6, 4, 1, 60, 40, 40, 12, 16, 1, 1, 1, 1, 2, 2};

std::size_t NodeOf(const base::InstanceId& instance) {
  return static_cast<std::size_t>(instance.value.back() - '0');
}

}  // namespace

std::string ToString(const Op& op) {
  return std::string(kOpNames[static_cast<std::size_t>(op.kind)]) + " " + std::to_string(op.a) +
         " " + std::to_string(op.b);
}

std::vector<Op> Sequence(std::uint64_t seed, std::size_t length) {
  std::mt19937_64 random(seed);
  std::discrete_distribution<int> kinds(kOpWeights.begin(), kOpWeights.end());
  std::vector<Op> out;
  for (std::size_t n = 0; n < length; ++n) {
    const auto kind = static_cast<OpKind>(kinds(random));
    const auto a = static_cast<std::uint32_t>(random() % 1000);
    out.push_back({kind, a, static_cast<std::uint32_t>(random() % 1000)});
  }
  return out;
}

SimulatedCluster::SimulatedCluster(IndexChecks checks) : checks_(checks), nodes_(kNodes) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    StartNode(node);
    ReadStep(node, 0);
  }
}

void SimulatedCluster::StartNode(std::size_t node) {
  Node& current = nodes_[node];
  const std::uint64_t incarnation = current.incarnation + 1;
  const bool partitioned = current.partitioned;
  current = Node{};
  current.incarnation = incarnation;
  current.partitioned = partitioned;
  ProgramOptions options;
  options.instance = {"i" + std::to_string(node)};
  options.incarnation = {incarnation};
  options.snapshot_turns = 4;
  options.checks = checks_;
  current.store.emplace(std::move(options));
}

base::Now SimulatedCluster::Time() const {
  return {base::TimePoint{time_}, base::WallTime{std::chrono::seconds{1'700'000'000} + time_}};
}

std::string SimulatedCluster::Run(const std::vector<Op>& ops) {
  for (const Op& op : ops) {
    Apply(op);
    if (!violation_.empty()) return violation_;
  }
  RepairFaults();
  FinishCallers();
  if (violation_.empty()) CheckEnd();
  return violation_;
}

void SimulatedCluster::Apply(const Op& op) {
  const std::size_t node = op.a % nodes_.size();
  switch (op.kind) {
    case OpKind::kOpen:
      return Open(op.a, op.b);
    case OpKind::kTurn:
      return Turn(op.a, op.b);
    case OpKind::kDuplicate:
      return RepeatTurn(op.a, op.b);
    case OpKind::kEarlyTurn:
      return EarlyTurn(op.a, op.b);
    case OpKind::kEnd:
      return End(op.a);
    case OpKind::kEngine:
      return EngineStep(node, op.b);
    case OpKind::kAppend:
      return AppendStep(node, op.b);
    case OpKind::kRead:
      ReadStep(node, 1 + op.b % 6);
      return FetchStep(node);
    case OpKind::kDeliver:
      return Deliver(op.a, op.b);
    case OpKind::kTime:
      return Advance(std::chrono::milliseconds{100 * (1 + op.a % 15)});
    case OpKind::kKill:
      return StopOrStartNode(node);
    case OpKind::kPause:
      return PauseOrResumeNode(node);
    case OpKind::kOutage:
      log_down_ = !log_down_;
      return;
    case OpKind::kPartition:
      return StartOrEndPartition(node);
    case OpKind::kHandOver:
      return HandOver(op.a, op.b);
    case OpKind::kLateAppend:
      if (delayed_appends_.empty() || log_down_) return;
      AppendToLog(delayed_appends_.front());
      delayed_appends_.erase(delayed_appends_.begin());
      return;
    case OpKind::kCount:
      return;
  }
}

void SimulatedCluster::ReportViolation(const std::string& violation) {
  if (violation_.empty()) violation_ = violation;
}

// Returns the node that owns the program, or the number of nodes if none does.
std::size_t SimulatedCluster::OwnerOf(const base::ProgramId& program) const {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (Up(node) && nodes_[node].store->Owns(program)) return node;
  }
  return nodes_.size();
}

void SimulatedCluster::Perform(std::size_t node, ProgramActions actions) {
  for (ProgramAction& action : actions) PerformOne(node, action);
}

void SimulatedCluster::PerformOne(std::size_t node, ProgramAction& action) {
  Node& current = nodes_[node];
  if (auto* append = std::get_if<AppendRecord>(&action)) {
    current.pending_appends.push_back(std::move(*append));
  } else if (auto* fetch = std::get_if<FetchRecords>(&action)) {
    current.fetches.push_back(std::move(*fetch));
  } else if (auto* run = std::get_if<RunTurn>(&action)) {
    ReportViolation(reference_model_.OnRun(*run));
    current.queued.push_back(std::move(*run));
  } else if (const auto* answer = std::get_if<TurnAnswer>(&action)) {
    OnAnswer(node, *answer);
  } else if (const auto* ready = std::get_if<ProgramReady>(&action)) {
    for (Caller& caller : callers_) {
      if (caller.program == ready->program) caller.open = true;
    }
  } else if (const auto* refusal = std::get_if<ProgramRefusal>(&action)) {
    OnRefusal(*refusal);
  } else if (const auto* release = std::get_if<ReleaseMemory>(&action)) {
    engines_[release->target].erase(release->program);
    current.store->OnReleased(release->program, release->target);
  } else if (auto* copy = std::get_if<Replicate>(&action)) {
    const auto record = std::get<schema::TurnRecord>(*schema::DecodeRecord(copy->message.record));
    copied_[record.id] = {record.program, record.turn};
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to != node) messages_.push_back({node, to, copy->message});
    }
  } else if (const auto* done = std::get_if<ReplicationDone>(&action)) {
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to != node) messages_.push_back({node, to, done->message});
    }
  } else if (auto* send = std::get_if<SendTo>(&action)) {
    if (const auto* ack = std::get_if<schema::ReplicateTurnAck>(&send->message)) {
      const auto it = copied_.find(ack->record_id);
      if (it != copied_.end() && LogUp(node)) holders_[it->second].insert(node);
    }
    messages_.push_back({node, NodeOf(send->to), std::move(send->message)});
  }
}

}  // namespace persimmonstair::programs::simulation
