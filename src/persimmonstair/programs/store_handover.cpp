#include <algorithm>
#include <utility>

#include "store_impl.hpp"

namespace persimmonstair::programs {

using base::Now;
using base::ProgramId;
using Impl = ProgramStore::Impl;

void Impl::HandOver(const Now& now, const ProgramId& program, const base::InstanceId& to,
                    ProgramActions& out) {
  const ProgramEntry* entry = index.Find(program);
  if (entry == nullptr || to == options.instance || !OwnsTree(entry->root)) return;
  const ProgramId root = entry->root;
  const ProgramTree& tree = index.TreeOf(*entry);
  const auto members = ProgramsInTree(root);
  const bool idle = std::all_of(members.begin(), members.end(), [](const Program* one) {
    const auto unacknowledged = [](const PendingTurn& turn) { return !turn.acknowledged; };
    return one->lifecycle.Phase() == ProgramPhase::kActive && !one->running &&
           std::none_of(one->pending.begin(), one->pending.end(), unacknowledged);
  });
  if (!idle || members.size() != tree.members.size()) return;
  nlohmann::json state = nlohmann::json::object();
  for (Program* one : members) {
    state[one->id.value] = StateOf(*one, true);
    for (const PendingTurn& turn : one->pending) outbox.Drop(turn.record.id);
    one->lifecycle.Process(ProgramInput::kHandOver);
  }
  handovers[root] = Handover{
      to, tree.epoch, state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), {}};
  // From here on only the receiver, or a later epoch, may act for the family.
  handed_over[root] = {tree.epoch, now.monotonic};
  received.erase(root);
  SendHandover(now, root, out);
}

void Impl::SendHandover(const Now& now, const ProgramId& root, ProgramActions& out) {
  Handover& handover = handovers.at(root);
  const ProgramEntry* entry = index.Find(root);
  handover.sent_at = now.monotonic;
  out.emplace_back(SendTo{handover.to, schema::ProgramHandover{root, entry->workspace,
                                                               handover.epoch, handover.state}});
}

void Impl::RepeatHandovers(const Now& now, ProgramActions& out) {
  for (const auto& [root, handover] : handovers) {
    if (now.monotonic - handover.sent_at >= options.repeat_interval) SendHandover(now, root, out);
  }
}

void Impl::OnHandover(const Now& now, const base::InstanceId& from,
                      const schema::ProgramHandover& message, ProgramActions& out) {
  const ProgramEntry* entry = index.Find(message.program);
  // Before the opening or the sender's ownership was read, the epoch can't be judged: the sender
  // repeats the message.
  if (entry == nullptr || entry->workspace != message.workspace) return;
  const base::Epoch epoch = index.TreeOf(*entry).epoch;
  if (epoch < message.epoch) return;
  const SendTo ack{from, schema::ProgramHandoverAck{message.program}};
  const auto known = received.find(message.program);
  if (epoch > message.epoch || (known != received.end() && known->second == epoch)) {
    out.emplace_back(ack);
    return;
  }
  const auto handed = handed_over.find(message.program);
  // A late copy of the message, or a family that this instance already gave away.
  if (handed != handed_over.end() && handed->second.epoch == epoch) return;
  if (OwnsTree(message.program) || !ProgramsInTree(message.program).empty()) return;
  const auto json = nlohmann::json::parse(message.state, nullptr, false);
  if (!json.is_object()) return;
  std::map<ProgramId, ProgramState> states;
  for (const auto& [id, one] : json.items()) {
    auto state = ParseState(one.dump());
    const bool fits = state && state->entry.workspace == message.workspace &&
                      state->entry.root == message.program;
    // A sub-program whose opening was not read yet: the sender repeats the message.
    if (!fits || index.Find(ProgramId{id}) == nullptr) return;
    states.emplace(ProgramId{id}, std::move(*state));
  }
  if (states.size() < index.TreeOf(*entry).members.size()) return;
  received[message.program] = epoch;
  for (auto& [id, state] : states) AddReceivedProgram(now, std::move(state), id, out);
  out.emplace_back(ack);
}

void Impl::AddReceivedProgram(const Now& now, ProgramState state, const ProgramId& id,
                              ProgramActions& out) {
  Program program(ProgramPhase::kActive);
  program.id = id;
  program.workspace = state.entry.workspace;
  program.root = state.entry.root;
  program.model = state.entry.model;
  program.turns = std::move(state.turns);
  program.snapshot_turns = program.turns.size();
  program.resident = state.entry.target;
  program.lost_turns = state.entry.takeovers;
  program.charged = state.entry.charged_tokens;
  program.active_at = now.monotonic;
  program.tool_pause = true;
  program.snapshot_at = now.monotonic - options.retention * 3 / 10;
  Program& added = Add(std::move(program));
  for (schema::TurnRecord& record : state.pending) {
    // The sender's append reached the log before the handover arrived.
    if (record.turn <= index.Find(id)->last_turn) {
      added.turns.push_back(FromRecord(record));
      continue;
    }
    AddPending(now, added, std::move(record), {}, out);
    Acknowledge(added, added.pending.back(), "memory", out);
  }
}

// The receiver may have died before its ownership reached the log. One that is alive confirms it
// as soon as it reads the log; for one that can't, its lease has lapsed by now.
void Impl::ReclaimUnconfirmed(const Now& now, ProgramActions& out) {
  for (const auto& [root, handed] : handed_over) {
    const auto since = std::max(handed.since, log_up_since);
    if (log_up && now.monotonic - since >= options.confirm_limit) TakeOver(now, root, out);
  }
}

void Impl::OnHandoverAck(const ProgramId& root, ProgramActions& out) {
  if (handovers.erase(root) == 0) return;
  for (Program* program : ProgramsInTree(root)) {
    program->pending.clear();
    DropLostProgram(*program, out);
  }
}

}  // namespace persimmonstair::programs
