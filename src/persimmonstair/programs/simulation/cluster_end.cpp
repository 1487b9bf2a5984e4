#include <algorithm>

#include "cluster.hpp"

namespace persimmonstair::programs::simulation {

using base::ProgramId;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Rounds of one simulated second; takeovers after the last fault take about ten.
constexpr int kSettleRounds = 40;
/// Number of attempts after which a missing answer is a violation.
constexpr int kMaxTries = 120;

}  // namespace

void SimulatedCluster::RepairFaults() {
  log_down_ = false;
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    nodes_[node].partitioned = false;
    nodes_[node].paused = false;
    if (!nodes_[node].store) StartNode(node);
  }
  for (const schema::Record& record : std::exchange(delayed_appends_, {})) AppendToLog(record);
  Settle(kSettleRounds);
}

// Performs all waiting work without faults. Each round takes one simulated second.
void SimulatedCluster::Settle(int rounds) {
  for (int round = 0; round < rounds && violation_.empty(); ++round) {
    for (int step = 0; step < 5; ++step) {
      Advance(milliseconds{200});
      for (std::size_t node = 0; node < nodes_.size(); ++node) {
        while (!nodes_[node].pending_appends.empty()) AppendStep(node, 1);
        ReadStep(node, log_.size());
        while (!nodes_[node].fetches.empty()) FetchStep(node);
        while (!nodes_[node].queued.empty()) EngineStep(node, 14);
        while (!nodes_[node].at_engine.empty()) EngineStep(node, 3);
      }
    }
    for (const auto& [target, held] : engines_) {
      const std::vector<ProgramId> list(held.begin(), held.end());
      Perform(0, nodes_[0].store->OnEngineReport(Time(), target, list));
    }
  }
}

// Repeats the turn that each caller waits for until it is answered, then ends all programs.
void SimulatedCluster::FinishCallers() {
  for (std::size_t n = 0; n < callers_.size(); ++n) {
    for (int tries = 0; callers_[n].waiting != 0 && !callers_[n].done && violation_.empty();
         ++tries) {
      if (tries == kMaxTries) return ReportViolation("no answer for " + callers_[n].program.value);
      const std::size_t owner = OwnerOf(callers_[n].program);
      if (owner < nodes_.size()) SendTurnCall(n, callers_[n].waiting, owner, false);
      Settle(1);
    }
  }
  for (std::size_t n = callers_.size(); n > 0 && violation_.empty(); --n) {
    End(static_cast<std::uint32_t>(n - 1));
    Settle(2);
  }
  Settle(kSettleRounds);
}

void SimulatedCluster::CheckEnd() {
  for (const auto& [target, ids] : engines_) {
    if (!ids.empty()) ReportViolation("engine " + target.value + " retains " + ids.begin()->value);
  }
  if (log_index_.size() != 0) {
    ReportViolation("program " + log_index_.Programs().begin()->first.value + " did not end");
  }
  for (const Node& node : nodes_) {
    if (node.store->Index().Snapshot() != log_index_.Snapshot()) ReportViolation("wrong log index");
    if (node.store->Unsettled() != 0) ReportViolation("instance has unsettled programs or records");
  }
  // Work for a recorded turn is charged, unless its result was acknowledged without the log.
  for (const auto& [turn, charged] : charged_) {
    const Work& work = work_[turn];
    if (work.tokens > charged + work.unlogged_tokens) {
      ReportViolation("uncharged engine work for " + turn.first.value + " turn " +
                      std::to_string(turn.second));
    }
  }
}

void SimulatedCluster::CheckBudgets() {
  for (const auto& [id, entry] : log_index_.Programs()) {
    const ProgramTree& tree = log_index_.TreeOf(entry);
    std::int64_t used = tree.closed_tokens;
    for (const ProgramId& member : tree.members) used += log_index_.Find(member)->charged_tokens;
    if (used > tree.budget_tokens) ReportViolation("budget exceeded by " + entry.root.value);
  }
}

}  // namespace persimmonstair::programs::simulation
