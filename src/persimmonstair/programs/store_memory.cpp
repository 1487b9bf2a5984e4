#include <algorithm>

#include "store_impl.hpp"

namespace persimmonstair::programs {

using base::Now;
using base::ProgramId;
using base::TargetId;
using Impl = ProgramStore::Impl;

namespace {

/// Part of the retention time after which a snapshot is written: before half, with a margin.
constexpr int kSnapshotPercent = 40;
/// Time between orders to an engine that did not confirm; an unreachable one is not flooded.
constexpr std::chrono::seconds kReleaseInterval{2};

}  // namespace

void Impl::RepeatReleases(const Now& now, ProgramActions& out) {
  for (auto& [key, ordered_at] : releases) {
    const Program* program = Find(key.first);
    if (program != nullptr && program->running) continue;
    if (ordered_at && now.monotonic - *ordered_at < kReleaseInterval) continue;
    ordered_at = now.monotonic;
    out.emplace_back(ReleaseMemory{key.first, key.second});
  }
}

bool Impl::MayHoldMemory(const ProgramId& id, const TargetId& target) {
  if (index.Find(id) == nullptr) return false;
  const Program* program = Find(id);
  // For a program of another instance, that instance compares.
  if (program == nullptr || program->lifecycle.Phase() != ProgramPhase::kActive) return true;
  return program->running || program->resident == target;
}

void Impl::OnEngineReport(const Now& now, const TargetId& target,
                          const std::vector<ProgramId>& held) {
  std::set<ProgramId> unknown;
  for (const ProgramId& program : held) {
    if (!MayHoldMemory(program, target)) unknown.insert(program);
  }
  std::erase_if(unknown_memory, [&](const auto& one) {
    return one.first.second == target && !unknown.contains(one.first.first);
  });
  for (const ProgramId& program : unknown) {
    const auto it = unknown_memory.try_emplace({program, target}, now.monotonic).first;
    if (now.monotonic - it->second >= options.release_grace) StartRelease(program, target);
  }
}

// Written before half the retention time has passed, and when the chain becomes long.
void Impl::WriteSnapshots(const Now& now, ProgramActions& out) {
  if (!log_up) return;
  const auto due = options.retention * kSnapshotPercent / 100;
  for (auto& [id, program] : programs) {
    if (program.lifecycle.Phase() != ProgramPhase::kActive || !OwnsTree(program.root)) continue;
    const bool long_chain = program.turns.size() - program.snapshot_turns >= options.snapshot_turns;
    if (!long_chain && now.monotonic - program.snapshot_at < due) continue;
    if (program.running || !program.pending.empty() || outbox.Contains(program.snapshot_id)) {
      continue;
    }
    // The tokens of an ending sub-program are counted at its root only once the end is read.
    const auto tree = ProgramsInTree(program.root);
    const bool ending = std::any_of(tree.begin(), tree.end(), [](const Program* one) {
      return one->lifecycle.Phase() == ProgramPhase::kEnding;
    });
    if (ending) continue;
    program.snapshot_id = outbox.NewId();
    program.snapshot_at = now.monotonic;
    program.snapshot_turns = program.turns.size();
    outbox.Send(
        now, program.snapshot_id,
        schema::ProgramSnapshot{program.snapshot_id, id, program.workspace, EpochOf(program),
                                static_cast<std::uint32_t>(program.turns.size()),
                                DumpState(StateOf(program, false))},
        out);
  }
}

}  // namespace persimmonstair::programs
