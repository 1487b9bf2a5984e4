#include "store_impl.hpp"

namespace persimmonstair::programs {

using base::ErrorCode;
using base::Fail;
using base::Now;
using base::ProgramId;
using base::RequestId;
using Impl = ProgramStore::Impl;

namespace {

/// Number of reads to the end of the stream after a pause. One is not enough, because it may have
/// begun before the pause.
constexpr int kReadsAfterPause = 2;

}  // namespace

void Impl::DetectPause(const Now& now) {
  if (last_call && now.monotonic - *last_call > kPauseGap) reads_needed = kReadsAfterPause;
  last_call = now.monotonic;
}

Impl::Program* Impl::Find(const ProgramId& program) {
  const auto it = programs.find(program);
  return it == programs.end() ? nullptr : &it->second;
}

base::Result<Impl::Program*> Impl::FindActive(const ProgramId& id,
                                              const base::WorkspaceId& workspace) {
  const auto fail = [](const char* why) {
    return Fail(ErrorCode::kOwnerUnavailable, why, base::Verdict::kNotRun,
                std::chrono::milliseconds{500});
  };
  Program* program = Find(id);
  const ProgramEntry* entry = index.Find(id);
  // A caller must not learn that another workspace has a program with this id.
  const bool foreign = program != nullptr ? program->workspace != workspace
                                          : entry == nullptr || entry->workspace != workspace;
  if (foreign) return Fail(ErrorCode::kNotFound, "unknown program");
  if (program == nullptr) return fail("the program is owned by another instance");
  if (program->lifecycle.Phase() == ProgramPhase::kEnding) {
    return Fail(ErrorCode::kNotFound, "the program has ended");
  }
  // The program is being opened, loaded or handed over.
  if (program->lifecycle.Phase() != ProgramPhase::kActive) return fail("program loading or moving");
  if (!lease_held) return fail("the instance's lease has lapsed");
  if (reads_needed > 0) return fail("the instance was paused and must read the log first");
  if (!OwnsTree(program->root)) return fail("the program has another owner");
  return program;
}

Impl::Program* Impl::FindRunning(RequestId request) {
  const auto it = running.find(request);
  return it == running.end() ? nullptr : Find(it->second);
}

bool Impl::OwnsTree(const ProgramId& root) const {
  const ProgramEntry* entry = index.Find(root);
  if (entry == nullptr) return false;
  const ProgramTree& tree = index.TreeOf(*entry);
  const auto handed = handed_over.find(root);
  if (handed != handed_over.end() && handed->second.epoch == tree.epoch) return false;
  const auto receipt = received.find(root);
  if (receipt != received.end() && receipt->second == tree.epoch) return true;
  return tree.owner == options.instance && tree.incarnation == options.incarnation;
}

base::Epoch Impl::EpochOf(const Program& program) const {
  const ProgramEntry* entry = index.Find(program.id);
  return entry == nullptr ? base::Epoch{} : index.TreeOf(*entry).epoch;
}

std::int64_t Impl::FreeBudget(const Program& program) const {
  const ProgramEntry* entry = index.Find(program.id);
  if (entry == nullptr) return 0;
  const ProgramTree& tree = index.TreeOf(*entry);
  std::int64_t used = tree.closed_tokens;
  for (const ProgramId& member : tree.members) {
    used += index.Find(member)->charged_tokens;
    const auto it = programs.find(member);
    if (it == programs.end()) continue;
    for (const PendingTurn& turn : it->second.pending) used += turn.record.charged_tokens;
    if (const auto& turn = it->second.running) used += turn->reserved + turn->lost_tokens;
  }
  return tree.budget_tokens - used;
}

ProgramState Impl::StateOf(const Program& program, bool with_pending) const {
  ProgramState state;
  state.entry = *index.Find(program.id);
  state.tree = index.TreeOf(state.entry);
  state.entry.target = program.resident;
  state.entry.takeovers = program.lost_turns;
  const auto logged = static_cast<std::ptrdiff_t>(program.turns.size() - program.pending.size());
  state.turns.assign(program.turns.begin(), program.turns.begin() + logged);
  if (!with_pending) return state;
  for (const PendingTurn& turn : program.pending) state.pending.push_back(turn.record);
  return state;
}

Impl::Program& Impl::Add(Program program) {
  const ProgramId id = program.id;
  by_root[program.root].insert(id);
  return programs.insert_or_assign(id, std::move(program)).first->second;
}

void Impl::Remove(const ProgramId& id) {
  const auto it = programs.find(id);
  const auto tree = by_root.find(it->second.root);
  tree->second.erase(id);
  if (tree->second.empty()) by_root.erase(tree);
  unlogged.erase(id);
  loading.erase(id);
  programs.erase(it);
}

void Impl::Refuse(const Waiters& waiters, const base::Error& error, ProgramActions& out) {
  for (const RequestId request : waiters) out.emplace_back(ProgramRefusal{request, error});
}

std::vector<Impl::Program*> Impl::ProgramsInTree(const ProgramId& root) {
  std::vector<Program*> out;
  const auto it = by_root.find(root);
  if (it == by_root.end()) return out;
  for (const ProgramId& member : it->second) out.push_back(Find(member));
  return out;
}

}  // namespace persimmonstair::programs
