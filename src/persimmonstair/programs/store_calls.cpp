#include <algorithm>

#include "store_impl.hpp"

namespace persimmonstair::programs {

using base::Error;
using base::ErrorCode;
using base::Now;
using base::ProgramId;
using base::Verdict;
using Impl = ProgramStore::Impl;

namespace {

Error NotRun(ErrorCode code, std::string message, base::Duration retry_after = {}) {
  return Error{code, std::move(message), Verdict::kNotRun, retry_after};
}

}  // namespace

void Impl::Open(const Now& now, const OpenCall& call, ProgramActions& out) {
  const auto refuse = [&](ErrorCode code, const char* why) {
    out.emplace_back(ProgramRefusal{call.request, NotRun(code, why, std::chrono::seconds{1})});
  };
  if (call.program.empty() || call.workspace.empty()) {
    return refuse(ErrorCode::kInvalidRequest, "program and workspace must not be empty");
  }
  if (Program* known = Find(call.program); known != nullptr && known->workspace == call.workspace) {
    if (known->lifecycle.Phase() == ProgramPhase::kOpening) {
      known->open_waiters.push_back(call.request);
      return;
    }
    out.emplace_back(ProgramReady{call.request, call.program});
    return;
  }
  if (index.Find(call.program) != nullptr || Find(call.program) != nullptr) {
    return refuse(ErrorCode::kConflict, "the program id is already in use");
  }
  if (!log_up) {
    return refuse(ErrorCode::kLogUnavailable,
                  "no program can be opened while the log is unavailable");
  }
  if (!lease_held) return refuse(ErrorCode::kOwnerUnavailable, "the instance's lease has lapsed");
  ProgramId root = call.program;
  if (!call.parent.empty()) {
    const auto parent = FindActive(call.parent, call.workspace);
    if (!parent) {
      out.emplace_back(ProgramRefusal{call.request, parent.error()});
      return;
    }
    root = (*parent)->root;
  } else if (call.budget_tokens <= 0) {
    return refuse(ErrorCode::kInvalidRequest, "the token budget must be positive");
  }
  Program program(ProgramPhase::kOpening);
  program.id = call.program;
  program.workspace = call.workspace;
  program.root = root;
  program.model = call.model;
  program.open_waiters.push_back(call.request);
  program.opening_record = outbox.NewId();
  program.opened_at = program.active_at = program.snapshot_at = now.monotonic;
  outbox.Send(now, program.opening_record,
              schema::ProgramOpened{program.opening_record, call.program, call.workspace,
                                    call.parent, options.instance, options.incarnation,
                                    call.budget_tokens, call.model, base::UnixMillis(now.wall)},
              out);
  Add(std::move(program));
}

void Impl::OnOpenedRead(const Now& now, base::Offset offset, const schema::ProgramOpened& record,
                        bool valid, ProgramActions& out) {
  Program* program = Find(record.program);
  const ProgramEntry* entry = index.Find(record.program);
  const bool mine = record.owner == options.instance && record.incarnation == options.incarnation;
  // The record of an earlier call, which was read late, also opens the program for a repeated call.
  if (program != nullptr && valid && mine && program->workspace == record.workspace &&
      program->opening_record != record.id &&
      program->lifecycle.Phase() == ProgramPhase::kOpening) {
    outbox.Drop(program->opening_record);
    program->opening_record = record.id;
    program->root = entry->root;
  }
  if (program == nullptr || program->opening_record != record.id) {
    if (!valid || !mine || program != nullptr) return;
    // The call was refused before its record was read: end the program that the record opened.
    const base::RecordId id = outbox.NewId();
    outbox.Send(now, id,
                schema::ProgramEnded{id, record.program, record.workspace,
                                     index.TreeOf(*entry).epoch, "cancelled"},
                out);
    return;
  }
  if (program->lifecycle.Phase() != ProgramPhase::kOpening) return;
  if (!valid || entry == nullptr || entry->chain != offset) {
    Refuse(program->open_waiters, NotRun(ErrorCode::kConflict, "the program id is already in use"),
           out);
    Remove(record.program);
    return;
  }
  program->lifecycle.Process(ProgramInput::kOpened);
  program->active_at = now.monotonic;
  for (const auto call : program->open_waiters) out.emplace_back(ProgramReady{call, program->id});
  program->open_waiters.clear();
}

void Impl::ExpireOpening(const Now& now, ProgramActions& out) {
  std::vector<ProgramId> late;
  for (const auto& [id, program] : programs) {
    if (program.lifecycle.Phase() != ProgramPhase::kOpening) continue;
    if (now.monotonic - program.opened_at >= options.open_limit) late.push_back(id);
  }
  for (const ProgramId& id : late) {
    const Program& program = *Find(id);
    outbox.Drop(program.opening_record);
    Refuse(program.open_waiters,
           NotRun(ErrorCode::kLogUnavailable,
                  "the record that opens the program was not read back from the log in time"),
           out);
    Remove(id);
  }
}

bool Impl::HasUnfinishedTurns(const ProgramId& root) {
  const auto tree = ProgramsInTree(root);
  return std::any_of(tree.begin(), tree.end(),
                     [](const Program* one) { return one->running || !one->pending.empty(); });
}

void Impl::End(const Now& now, Program& program, const std::string& reason, ProgramActions& out) {
  std::vector<Program*> ending{&program};
  if (program.id == program.root) ending = ProgramsInTree(program.root);
  for (Program* one : ending) one->lifecycle.Process(ProgramInput::kEnd);
  const base::RecordId id = outbox.NewId();
  outbox.Send(now, id,
              schema::ProgramEnded{id, program.id, program.workspace, EpochOf(program), reason},
              out);
}

void Impl::StartRelease(const ProgramId& program, const base::TargetId& resident) {
  if (!resident.empty()) releases.try_emplace({program, resident});
}

// Removes the programs that the index no longer contains: the ended program or its whole tree.
void Impl::OnEndedRead(const schema::ProgramEnded& record, ProgramActions& out) {
  std::vector<ProgramId> affected{record.program};
  for (const Program* member : ProgramsInTree(record.program)) affected.push_back(member->id);
  for (const ProgramId& id : affected) {
    if (index.Find(id) == nullptr) DropEnded(id, out);
  }
  if (index.Find(record.program) != nullptr) return;
  handovers.erase(record.program);
  received.erase(record.program);
  handed_over.erase(record.program);
}

void Impl::DropEnded(const ProgramId& id, ProgramActions& out) {
  DropCopies(id, kMaxTurns);
  Program* program = Find(id);
  if (program == nullptr || program->lifecycle.Phase() == ProgramPhase::kOpening) return;
  if (program->lifecycle.Phase() != ProgramPhase::kHandingOver) StartRelease(id, program->resident);
  if (program->running) {
    const bool sent = program->running->machine.Phase() == TurnPhase::kRunning;
    if (sent) out.emplace_back(CancelTurn{program->running->request});
    running.erase(program->running->request);
    Refuse(program->running->waiters,
           {ErrorCode::kNotFound,
            "the program has ended",
            sent ? Verdict::kMayHaveRun : Verdict::kNotRun,
            {}},
           out);
  }
  Remove(id);
}

// Sends the record again if a planned handover changed the epoch before the record was read.
void Impl::RepeatEnd(const Now& now, const schema::ProgramEnded& record, bool valid,
                     ProgramActions& out) {
  Program* program = Find(record.program);
  if (valid || program == nullptr || program->lifecycle.Phase() != ProgramPhase::kEnding) return;
  if (OwnsTree(program->root) && record.epoch < EpochOf(*program)) {
    End(now, *program, record.reason, out);
  }
}

void Impl::ExpireIdle(const Now& now, ProgramActions& out) {
  std::vector<Program*> expired;
  for (auto& [id, program] : programs) {
    if (program.lifecycle.Phase() != ProgramPhase::kActive) continue;
    const auto limit = program.tool_pause ? options.tool_pause_limit : options.idle_limit;
    if (now.monotonic - program.active_at < limit) continue;
    if (program.running || !program.pending.empty()) continue;
    const ProgramId& self = program.id;
    const auto tree = self == program.root ? ProgramsInTree(self) : std::vector<Program*>{};
    // A root does not expire while it has sub-programs.
    const bool alone =
        std::all_of(tree.begin(), tree.end(), [&](const Program* one) { return one->id == self; });
    if (alone && OwnsTree(program.root)) expired.push_back(&program);
  }
  for (Program* program : expired) {
    if (program->lifecycle.Phase() == ProgramPhase::kActive) End(now, *program, "expired", out);
  }
}

}  // namespace persimmonstair::programs
