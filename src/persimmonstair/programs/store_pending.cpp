#include <iterator>
#include <utility>

#include "persimmonstair/schema/codec.hpp"
#include "store_impl.hpp"

namespace persimmonstair::programs {

using base::Now;
using base::ProgramId;
using base::RecordId;
using base::Verdict;
using Impl = ProgramStore::Impl;

void Impl::AddPending(const Now& now, Program& program, schema::TurnRecord record, Waiters waiters,
                      ProgramActions& out) {
  program.turns.push_back(FromRecord(record));
  program.charged += record.charged_tokens;
  PendingTurn& turn = program.pending.emplace_back();
  turn.record = std::move(record);
  turn.since = now.monotonic;
  turn.waiters = std::move(waiters);
  turn.machine.Process(TurnInput::kDispatched);
  turn.machine.Process(TurnInput::kFinished);
  unlogged.insert(program.id);
  SendFirstPending(now, program, out);
  Replicate(now, out);
}

// Records of a program are appended one by one, because each names the offset of the one before.
void Impl::SendFirstPending(const Now& now, Program& program, ProgramActions& out) {
  if (!log_up || program.pending.empty() || !OwnsTree(program.root)) return;
  schema::TurnRecord& record = program.pending.front().record;
  const ProgramEntry& entry = *index.Find(program.id);
  // After a handover the receiver may not have read the sender's last records yet.
  if (outbox.Contains(record.id) || entry.last_turn + 1 != record.turn) return;
  record.epoch = EpochOf(program);
  record.chain = entry.chain;
  outbox.Send(now, record.id, record, out);
}

void Impl::OnTurnRead(const Now& now, const schema::TurnRecord& record, bool valid,
                      ProgramActions& out) {
  if (valid) {
    DropCopies(record.program, record.turn);
  }
  Program* program = Find(record.program);
  if (program == nullptr) return;
  const bool mine = !program->pending.empty() && program->pending.front().record.id == record.id;
  if (mine && valid) {
    PendingTurn& turn = program->pending.front();
    if (turn.copied_at) out.emplace_back(ReplicationDone{{record.id}});
    Acknowledge(*program, turn, "log", out);
    program->pending.pop_front();
    if (program->pending.empty()) unlogged.erase(program->id);
    SendFirstPending(now, *program, out);
    return;
  }
  if (mine && OwnsTree(program->root)) {
    // The epoch changed by a planned handover while the record was on its way.
    program->pending.front().record.id = outbox.NewId();
    SendFirstPending(now, *program, out);
    return;
  }
  // Another process wrote a turn under this instance's epoch: its history is the valid one.
  if (record.turn <= program->turns.size() - program->pending.size()) return;
  const ProgramPhase phase = program->lifecycle.Phase();
  if (valid && (phase == ProgramPhase::kActive || phase == ProgramPhase::kEnding)) {
    DropLostProgram(*program, out);
  }
}

void Impl::Acknowledge(Program& program, PendingTurn& turn, const std::string& durability,
                       ProgramActions& out) {
  turn.machine.Process(TurnInput::kRecorded);
  if (!turn.acknowledged) turn.durability = durability;
  turn.acknowledged = true;
  const Verdict verdict = base::ParseVerdict(turn.record.verdict).value_or(Verdict::kMayHaveRun);
  for (std::size_t n = 0; n < turn.waiters.size(); ++n) {
    out.emplace_back(TurnAnswer{turn.waiters[n], program.id, turn.record.turn, turn.record.status,
                                turn.record.response, verdict, turn.durability, n > 0});
  }
  turn.waiters.clear();
}

// Copies results to peers that the log did not take in time, and answers once copies are held.
void Impl::Replicate(const Now& now, ProgramActions& out) {
  for (const ProgramId& id : unlogged) {
    Program& program = *Find(id);
    for (PendingTurn& turn : program.pending) {
      const bool waited = now.monotonic - turn.since >= options.log_wait;
      if (!turn.copied_at && (!log_up || waited)) {
        turn.copied_at = now.monotonic;
        out.emplace_back(programs::Replicate{{turn.record.id, schema::EncodeRecord(turn.record)}});
      }
      // After a pause another instance may own the program, which only the log tells.
      const bool may_acknowledge = lease_held && reads_needed == 0;
      if (!turn.copied_at || turn.acknowledged || !may_acknowledge) continue;
      const bool enough = turn.copies.size() >= options.copies_wanted;
      if (!enough && now.monotonic - *turn.copied_at < options.copy_wait) continue;
      const std::string durability =
          turn.copies.empty() ? "memory" : "peers-" + std::to_string(turn.copies.size());
      Acknowledge(program, turn, durability, out);
    }
  }
}

void Impl::OnReplicated(const Now& now, const RecordId& id, const base::InstanceId& peer,
                        ProgramActions& out) {
  for (const ProgramId& program : unlogged) {
    for (PendingTurn& turn : Find(program)->pending) {
      if (turn.record.id == id) turn.copies.insert(peer);
    }
  }
  Replicate(now, out);
}

void Impl::StoreCopy(const Now& now, const base::InstanceId& from,
                     const schema::ReplicateTurn& message, ProgramActions& out) {
  const auto decoded = schema::DecodeRecord(message.record);
  const auto* record = decoded ? std::get_if<schema::TurnRecord>(&*decoded) : nullptr;
  if (record == nullptr || record->id != message.record_id) return;
  const ProgramEntry* entry = index.Find(record->program);
  const bool settled = entry != nullptr && entry->last_turn >= record->turn;
  if (!settled) {
    // Without an acknowledgement the owner counts no copy here.
    const std::pair key{record->program, record->id};
    if (copies.size() >= options.max_copies && !copies.contains(key)) return;
    copies.insert_or_assign(key, Copy{message, *record});
  }
  out.emplace_back(SendTo{from, schema::ReplicateTurnAck{message.record_id}});
  if (entry == nullptr || settled) return;
  Program* program = Find(record->program);
  if (program != nullptr && program->lifecycle.Phase() == ProgramPhase::kActive) {
    RecoverCopiedTurns(now, *program, out);
  } else if (program == nullptr && record->epoch < index.TreeOf(*entry).epoch) {
    SendCopiesToOwner(entry->root, out);
  }
}

void Impl::DropCopies(const ProgramId& program, std::uint32_t up_to_turn) {
  for (auto it = copies.lower_bound({program, {}}); it != copies.end();) {
    if (it->first.first != program) return;
    it = it->second.record.turn <= up_to_turn ? copies.erase(it) : std::next(it);
  }
}

// Takes over turns that a former owner finished and acknowledged but did not get into the log.
void Impl::RecoverCopiedTurns(const Now& now, Program& program, ProgramActions& out) {
  while (!program.running) {
    const Copy* best = nullptr;
    for (auto it = copies.lower_bound({program.id, {}}); it != copies.end(); ++it) {
      if (it->first.first != program.id) break;
      const Copy& copy = it->second;
      const schema::TurnRecord& record = copy.record;
      if (record.workspace != program.workspace) continue;
      if (record.turn != program.turns.size() + 1 || record.epoch >= EpochOf(program)) continue;
      if (best == nullptr || record.epoch > best->record.epoch) best = &copy;
    }
    if (best == nullptr) return;
    schema::TurnRecord record = best->record;
    copies.erase({program.id, record.id});
    record.id = outbox.NewId();
    record.epoch = EpochOf(program);
    program.resident = record.target;
    AddPending(now, program, std::move(record), {}, out);
    PendingTurn& turn = program.pending.back();
    if (!turn.acknowledged) Acknowledge(program, turn, "memory", out);
  }
}

// A copy of a turn under an epoch that has passed can only be written by the new owner.
void Impl::SendCopiesToOwner(const ProgramId& root, ProgramActions& out) {
  for (const auto& [id, copy] : copies) {
    const ProgramEntry* entry = index.Find(copy.record.program);
    if (entry == nullptr || entry->root != root) continue;
    const ProgramTree& tree = index.TreeOf(*entry);
    const bool passed = copy.record.epoch < tree.epoch;
    if (passed && tree.owner != options.instance) {
      out.emplace_back(SendTo{tree.owner, copy.message});
    }
  }
}

}  // namespace persimmonstair::programs
