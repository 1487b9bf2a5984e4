#include <iterator>
#include <utility>

#include "persimmonstair/schema/codec.hpp"
#include "store_impl.hpp"

namespace persimmonstair::programs {

using base::ErrorCode;
using base::Now;
using base::Offset;
using base::ProgramId;
using base::RecordId;
using base::Verdict;
using Impl = ProgramStore::Impl;

namespace {

/// Records asked for in one FetchRecords action.
constexpr std::size_t kFetchBatch = 256;

}  // namespace

void Impl::TakeOver(const Now& now, const ProgramId& program, ProgramActions& out) {
  const ProgramEntry* entry = index.Find(program);
  if (entry == nullptr || !log_up || OwnsTree(entry->root)) return;
  ClaimTree(now, entry->root, false, out);
}

void Impl::ClaimTree(const Now& now, const ProgramId& root, bool planned, ProgramActions& out) {
  if (const auto it = claims.find(root); it != claims.end() && outbox.Contains(it->second)) return;
  const ProgramEntry* entry = index.Find(root);
  if (entry == nullptr) return;
  const RecordId id = outbox.NewId();
  claims[root] = id;
  outbox.Send(now, id,
              schema::OwnerRecord{id, root, entry->workspace, options.instance, options.incarnation,
                                  index.TreeOf(*entry).epoch, entry->chain, planned},
              out);
}

void Impl::OnOwnerRead(const Now& now, const schema::OwnerRecord& record, bool valid,
                       ProgramActions& out) {
  const ProgramId& root = record.program;
  if (const auto it = claims.find(root); it != claims.end() && it->second == record.id) {
    claims.erase(it);
  }
  const ProgramEntry* entry = index.Find(root);
  if (!valid || entry == nullptr) return;
  const bool mine = record.owner == options.instance && record.incarnation == options.incarnation;
  handed_over.erase(root);
  handovers.erase(root);
  const bool confirmed = received.erase(root) > 0;
  if (mine && record.planned && confirmed) return;
  for (Program* program : ProgramsInTree(root)) DropLostProgram(*program, out);
  if (!mine) {
    SendCopiesToOwner(root, out);
    return;
  }
  for (const ProgramId& member : index.TreeOf(*entry).members) {
    const ProgramEntry* one = index.Find(member);
    Program program(ProgramPhase::kClaiming);
    program.id = member;
    program.workspace = one->workspace;
    program.root = root;
    program.model = one->model;
    program.fetch = one->chain;
    program.active_at = now.monotonic;
    program.lifecycle.Process(ProgramInput::kTakenOver);
    Add(std::move(program));
    loading.insert(member);
  }
  FetchChains(out);
}

// The program has another owner. Results that are not in the log go to that owner.
void Impl::DropLostProgram(Program& program, ProgramActions& out) {
  const base::Error error{ErrorCode::kOwnerUnavailable, "the program has another owner",
                          Verdict::kMayHaveRun, std::chrono::milliseconds{500}};
  for (PendingTurn& turn : program.pending) {
    outbox.Drop(turn.record.id);
    Refuse(turn.waiters, error, out);
    const schema::ReplicateTurn message{turn.record.id, schema::EncodeRecord(turn.record)};
    copies.insert_or_assign({program.id, turn.record.id}, Copy{message, turn.record});
  }
  if (program.running) {
    RunningTurn& turn = *program.running;
    const bool sent = turn.machine.Phase() == TurnPhase::kRunning;
    if (sent) out.emplace_back(CancelTurn{turn.request});
    running.erase(turn.request);
    base::Error lost = error;
    if (!sent) lost.verdict = Verdict::kNotRun;
    Refuse(turn.waiters, lost, out);
  }
  program.lifecycle.Process(ProgramInput::kLost);
  Remove(ProgramId(program.id));
}

// One FetchRecords action is open at a time, so that its answer belongs to all that wait.
void Impl::FetchChains(ProgramActions& out) {
  if (fetch_in_flight) return;
  FetchRecords fetch;
  for (const ProgramId& id : loading) {
    Program& program = *Find(id);
    if (program.lifecycle.Phase() != ProgramPhase::kLoading || program.fetching) continue;
    if (fetch.offsets.size() == kFetchBatch) break;
    program.fetching = true;
    fetch.offsets.push_back(program.fetch);
  }
  if (fetch.offsets.empty()) return;
  fetch_in_flight = true;
  out.emplace_back(std::move(fetch));
}

void Impl::OnFetched(const Now& now, bool failed,
                     const std::vector<std::pair<Offset, schema::Record>>& records,
                     ProgramActions& out) {
  std::map<Offset, const schema::Record*> by_offset;
  for (const auto& [offset, record] : records) by_offset[offset] = &record;
  bool advanced = false;
  fetch_in_flight = false;
  for (const ProgramId& id : loading) {
    Program& program = *Find(id);
    if (!program.fetching) continue;
    program.fetching = false;
    const auto it = by_offset.find(program.fetch);
    if (failed || it == by_offset.end()) continue;
    advanced = true;
    if (ApplyChainRecord(program, *it->second)) FinishLoading(now, program);
  }
  // What is missing is asked for again at the next tick.
  if (advanced) FetchChains(out);
}

// Returns true when the chain is complete. A record of another program or number is not used.
bool Impl::ApplyChainRecord(Program& program, const schema::Record& record) {
  const auto expected = index.Find(program.id)->last_turn - program.loaded_turns.size();
  const auto fits = [&](const auto& one) {
    return one.program == program.id && one.workspace == program.workspace;
  };
  if (const auto* turn = std::get_if<schema::TurnRecord>(&record)) {
    if (!fits(*turn) || turn->turn != expected) return false;
    program.loaded_turns.push_back(FromRecord(*turn));
    program.fetch = turn->chain;
    return false;
  }
  if (const auto* snapshot = std::get_if<schema::ProgramSnapshot>(&record)) {
    auto state = ParseState(snapshot->state);
    if (!fits(*snapshot) || !state || state->turns.size() != expected) return false;
    program.turns = std::move(state->turns);
    return true;
  }
  const auto* opened = std::get_if<schema::ProgramOpened>(&record);
  return opened != nullptr && fits(*opened) && expected == 0;
}

void Impl::FinishLoading(const Now& now, Program& program) {
  program.snapshot_turns = program.turns.size();
  std::move(program.loaded_turns.rbegin(), program.loaded_turns.rend(),
            std::back_inserter(program.turns));
  program.loaded_turns.clear();
  const ProgramEntry& entry = *index.Find(program.id);
  program.charged = entry.charged_tokens;
  program.resident = entry.target;
  program.lost_turns = entry.takeovers;
  program.loaded_at = program.active_at = now.monotonic;
  // A tool may be running: the longer idle limit applies until the next turn.
  program.tool_pause = true;
  // The age of the last snapshot is unknown, but below 40 % of the retention time.
  program.snapshot_at = now.monotonic - options.retention * 3 / 10;
  program.lifecycle.Process(ProgramInput::kLoaded);
}

void Impl::FinishCollecting(const Now& now, ProgramActions& out) {
  for (auto it = loading.begin(); it != loading.end();) {
    Program& program = *Find(*it);
    const bool waited = now.monotonic - program.loaded_at >= options.copy_grace;
    if (program.lifecycle.Phase() != ProgramPhase::kCollecting || !waited) {
      ++it;
      continue;
    }
    it = loading.erase(it);
    program.lifecycle.Process(ProgramInput::kCollected);
    RecoverCopiedTurns(now, program, out);
  }
}

// Makes a handover that was done without the log visible to all instances.
void Impl::ConfirmReceived(const Now& now, ProgramActions& out) {
  if (!log_up) return;
  for (const auto& [root, epoch] : received) ClaimTree(now, root, true, out);
}

}  // namespace persimmonstair::programs
