#include <algorithm>

#include "world.hpp"

namespace persimmonstair::programs::simulation {

using base::ProgramId;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Rounds of one simulated second; takeovers after the last fault take about ten.
constexpr int kSettleRounds = 40;
/// A caller asks at most this often before it counts as starved.
constexpr int kMaxAsks = 120;

}  // namespace

void World::Heal() {
  log_down_ = false;
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    nodes_[node].partitioned = false;
    nodes_[node].paused = false;
    if (!nodes_[node].store) Boot(node);
  }
  for (const schema::Record& record : std::exchange(late_, {})) Land(record);
  Settle(kSettleRounds);
}

// All that is waiting is done, without faults, for a number of simulated seconds.
void World::Settle(int rounds) {
  for (int round = 0; round < rounds && broken_.empty(); ++round) {
    for (int step = 0; step < 5; ++step) {
      Advance(milliseconds{200});
      for (std::size_t node = 0; node < nodes_.size(); ++node) {
        while (!nodes_[node].flights.empty()) AppendStep(node, 1);
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

// Every caller gets an answer to the turn it waits for; then all programs end.
void World::FinishCallers() {
  for (std::size_t n = 0; n < callers_.size(); ++n) {
    for (int ask = 0; callers_[n].waiting != 0 && !callers_[n].done && broken_.empty(); ++ask) {
      if (ask == kMaxAsks) return Broken("no answer for " + callers_[n].program.value);
      const std::size_t owner = OwnerOf(callers_[n].program);
      if (owner < nodes_.size()) AskTurn(n, callers_[n].waiting, owner, false);
      Settle(1);
    }
  }
  for (std::size_t n = callers_.size(); n > 0 && broken_.empty(); --n) {
    End(static_cast<std::uint32_t>(n - 1));
    Settle(2);
  }
  Settle(kSettleRounds);
}

void World::CheckEnd() {
  for (const auto& [target, held] : engines_) {
    if (!held.empty()) Broken("engine " + target.value + " still holds " + held.begin()->value);
  }
  if (truth_.size() != 0) {
    Broken("program " + truth_.Programs().begin()->first.value + " did not end");
  }
  for (const Node& node : nodes_) {
    if (node.store->Index().Snapshot() != truth_.Snapshot()) Broken("readers of the log disagree");
    if (node.store->Unsettled() != 0) Broken("an instance has unsettled programs or records");
  }
  // Work for a recorded turn is charged, unless its result was acknowledged without the log.
  for (const auto& [turn, charged] : charged_) {
    const Work& work = work_[turn];
    if (work.tokens > charged + work.exposed_tokens) {
      Broken("uncharged engine work for " + turn.first.value + " turn " +
             std::to_string(turn.second));
    }
  }
}

void World::CheckBudgets() {
  for (const auto& [id, entry] : truth_.Programs()) {
    const FamilyEntry& family = truth_.Family(entry);
    std::int64_t used = family.closed_tokens;
    for (const ProgramId& member : family.members) used += truth_.Find(member)->charged_tokens;
    if (used > family.budget_tokens) Broken("budget exceeded by " + entry.root.value);
  }
}

}  // namespace persimmonstair::programs::simulation
