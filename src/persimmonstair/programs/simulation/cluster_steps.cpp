#include <algorithm>

#include "cluster.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::programs::simulation {

using base::ErrorCode;
using base::ProgramId;
using base::RequestId;
using base::Verdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMaxCallers = 6;
/// Time after which the lease of an unavailable instance lapses.
constexpr seconds kLeaseDuration{6};
/// Time after which others take over the programs of an unavailable instance: lease and margin.
constexpr seconds kTakeoverDelay{7};
constexpr base::Duration kTickInterval = milliseconds{200};

nlohmann::json MessagesOf(const std::string& body) {
  return nlohmann::json::parse(body)["messages"];
}

}  // namespace

void SimulatedCluster::Open(std::uint32_t a, std::uint32_t b) {
  const std::size_t node = a % nodes_.size();
  if (callers_.size() >= kMaxCallers || !Up(node)) return;
  Caller caller;
  caller.program = {"p" + std::to_string(callers_.size())};
  caller.workspace = {b % 2 == 0 ? "north" : "south"};
  caller.budget = 400 + 40 * static_cast<std::int64_t>(b % 200);
  std::size_t receiver = node;
  if (!callers_.empty() && b % 3 == 0) {
    const Caller& parent = callers_[b % callers_.size()];
    caller.parent = parent.program;
    caller.workspace = parent.workspace;
    receiver = OwnerOf(parent.program);
    if (!parent.open || receiver == nodes_.size()) return;
  }
  callers_.push_back(caller);
  SendOpenCall(callers_.size() - 1, receiver);
}

void SimulatedCluster::SendOpenCall(std::size_t caller, std::size_t node) {
  const Caller& from = callers_[caller];
  const RequestId request{++next_request_};
  Perform(node,
          nodes_[node].store->Open(
              Time(), {request, from.program, from.workspace, from.parent, {"m"}, from.budget}));
}

void SimulatedCluster::SendTurnCall(std::size_t caller, std::uint32_t turn, std::size_t node,
                                    bool early) {
  const Caller& from = callers_[caller];
  const RequestId request{++next_request_};
  pending_calls_[request] = {caller, turn, early};
  const std::string& body = from.bodies[turn - 1];
  Perform(node,
          nodes_[node].store->Turn(Time(), {request, from.program, from.workspace, turn, body, 8}));
}

// Sends the caller's next turn, or repeats the one it waits for.
void SimulatedCluster::Turn(std::uint32_t a, std::uint32_t b) {
  if (callers_.empty()) return;
  const std::size_t index = a % callers_.size();
  Caller& caller = callers_[index];
  const std::size_t owner = OwnerOf(caller.program);
  const std::size_t node = b % 8 == 0 || owner == nodes_.size() ? b % nodes_.size() : owner;
  if (caller.done || !Up(node)) return;
  if (!caller.open) {
    const std::size_t parent = caller.parent.empty() ? node : OwnerOf(caller.parent);
    if (parent < nodes_.size()) SendOpenCall(index, parent);
    return;
  }
  if (caller.waiting == 0) {
    caller.waiting = static_cast<std::uint32_t>(reference_model_.TurnCount(caller.program)) + 1;
    // A lost turn is repeated with the same body, because its first record may still reach the log.
    if (caller.bodies.size() < caller.waiting) {
      const std::string text = caller.program.value + ": question " + std::to_string(b);
      caller.bodies.push_back(nlohmann::json{
          {"messages", {{{"role", "user"}, {"content", text}}}},
          {"max_tokens", 8}}.dump());
    }
  }
  SendTurnCall(index, caller.waiting, node, false);
}

// Sends a turn that was sent before again, with the same number and body. It must not run again
// unless its result may be lost.
void SimulatedCluster::RepeatTurn(std::uint32_t a, std::uint32_t b) {
  if (callers_.empty()) return;
  const std::size_t index = a % callers_.size();
  Caller& caller = callers_[index];
  const std::size_t owner = OwnerOf(caller.program);
  if (caller.bodies.empty() || owner == nodes_.size()) return;
  const auto turn = static_cast<std::uint32_t>(1 + b % caller.bodies.size());
  if (!caller.bodies[turn - 1].empty()) SendTurnCall(index, turn, owner, false);
}

// Sends a turn with a number that is too high. It must be refused, whatever else is running.
void SimulatedCluster::EarlyTurn(std::uint32_t a, std::uint32_t b) {
  if (callers_.empty()) return;
  const std::size_t index = a % callers_.size();
  const Caller& caller = callers_[index];
  const std::size_t owner = OwnerOf(caller.program);
  if (owner == nodes_.size()) return;
  const auto turn = static_cast<std::uint32_t>(caller.bodies.size()) + 2 + b % 2;
  const RequestId request{++next_request_};
  pending_calls_[request] = {index, turn, true};
  const std::string body =
      nlohmann::json{{"messages",
                      {{{"role", "user"},
                        {"content", caller.program.value + ": early " + std::to_string(b)}}}}}
          .dump();
  Perform(owner, nodes_[owner].store->Turn(
                     Time(), {request, caller.program, caller.workspace, turn, body, 8}));
}

void SimulatedCluster::End(std::uint32_t a) {
  if (callers_.empty()) return;
  Caller& caller = callers_[a % callers_.size()];
  const std::size_t owner = OwnerOf(caller.program);
  if (owner == nodes_.size()) return;
  const auto actions =
      nodes_[owner].store->End(Time(), {++next_request_}, caller.program, caller.workspace);
  for (const auto& action : actions) {
    if (!std::holds_alternative<CallAccepted>(action)) continue;
    // The end of a root also ends its sub-programs.
    for (Caller& one : callers_) {
      const ProgramEntry* entry = log_index_.Find(one.program);
      if (&one == &caller || (entry != nullptr && entry->root == caller.program)) one.done = true;
    }
  }
  Perform(owner, actions);
}

void SimulatedCluster::OnAnswer(std::size_t node, const TurnAnswer& answer) {
  const auto it = pending_calls_.find(answer.request);
  if (it == pending_calls_.end()) return ReportViolation("answer to an unsent or answered request");
  const PendingCall call = it->second;
  pending_calls_.erase(it);
  Caller& caller = callers_[call.caller];
  const bool own = answer.program == caller.program && answer.turn == call.turn;
  if (!own || call.early) return ReportViolation("answer to another turn or one numbered too high");
  std::set<std::size_t> holding_nodes;
  const std::pair key{answer.program, answer.turn};
  // A result that is not in the log is held by the peers with copies and by the answering node. The
  // latter does not count if only this node is cut off from the log, because other nodes may take
  // over its programs.
  if (answer.durability != "log") {
    const auto holders = holders_.find(key);
    if (holders != holders_.end()) holding_nodes = holders->second;
    if (LogUp(node) || log_down_) holding_nodes.insert(node);
    work_[key].unlogged_tokens = work_[key].tokens;
  }
  ReportViolation(
      reference_model_.OnAnswer(answer, MessagesOf(caller.bodies[call.turn - 1]), holding_nodes));
  ++counts_.answers;
  if (caller.waiting == call.turn) caller.waiting = 0;
}

void SimulatedCluster::OnRefusal(const ProgramRefusal& reply) {
  const auto it = pending_calls_.find(reply.request);
  if (it == pending_calls_.end()) return;
  Caller& caller = callers_[it->second.caller];
  const bool early = it->second.early;
  pending_calls_.erase(it);
  const ErrorCode code = reply.error.code;
  if (early && reply.error.verdict != Verdict::kNotRun) ReportViolation("early turn may have run");
  if (!early && code == ErrorCode::kBudgetExhausted) caller.done = true;
  // The root of a sub-program may end while the sub-program is being opened.
  const auto root_ended = [&](const Caller& one) {
    return one.done && one.program == caller.parent;
  };
  if (code == ErrorCode::kNotFound && std::any_of(callers_.begin(), callers_.end(), root_ended)) {
    caller.done = true;
  }
  if (!early && code == ErrorCode::kConflict && caller.waiting != 0) {
    // Turns acknowledged without the log are lost if all nodes that held them failed. The caller
    // repeats them.
    reference_model_.DropLostTurns(caller.program);
    const auto next = static_cast<std::uint32_t>(reference_model_.TurnCount(caller.program)) + 1;
    caller.waiting = std::min(caller.waiting, next);
  }
}

// Dispatches the oldest queued turn, or runs the oldest dispatched one.
void SimulatedCluster::EngineStep(std::size_t node, std::uint32_t b) {
  Node& current = nodes_[node];
  if (!Up(node)) return;
  if (!current.queued.empty() && b % 2 == 0) {
    RunTurn run = std::move(current.queued.front());
    current.queued.pop_front();
    ProgramActions actions;
    const bool allowed = current.store->ConfirmDispatch(Time(), run.request, actions);
    Perform(node, std::move(actions));
    if (allowed) current.at_engine.push_back(std::move(run));
  } else if (!current.at_engine.empty()) {
    const RunTurn run = std::move(current.at_engine.front());
    current.at_engine.pop_front();
    Execute(node, run, b);
  }
}

void SimulatedCluster::Execute(std::size_t node, const RunTurn& run, std::uint32_t b) {
  ProgramStore& store = *nodes_[node].store;
  // One turn in 11 is refused by the engine and does not run.
  if (b % 11 == 1) {
    Perform(node, store.OnTurnFailed(Time(), run.request,
                                     {ErrorCode::kTargetFailed, "refused", Verdict::kNotRun, {}}));
    return;
  }
  const nlohmann::json messages = nlohmann::json::parse(run.body)["messages"];
  TurnResult result;
  result.target = {b % 5 == 0 ? "e1" : "e0"};
  result.status = 200;
  result.body = EngineAnswer(messages);
  result.prompt_tokens = static_cast<std::int64_t>(messages.dump().size()) / 2;
  result.completion_tokens = run.max_tokens;
  ++counts_.runs;
  const std::int64_t used = result.prompt_tokens + result.completion_tokens;
  if (used > run.reserved_tokens) ReportViolation("a turn used more tokens than it reserved");
  work_[{run.program, run.turn}].tokens += used;
  engines_[result.target].insert(run.program);
  // One turn in 13 runs at the engine, but its response is lost.
  if (b % 13 == 2) {
    Perform(node, store.OnTurnFailed(Time(), run.request,
                                     {ErrorCode::kTimeout, "silent", Verdict::kMayHaveRun, {}}));
    return;
  }
  Perform(node, store.OnTurnDone(Time(), run.request, result));
}

void SimulatedCluster::AppendToLog(const schema::Record& record) {
  const base::Offset offset{log_.size()};
  log_.push_back(record);
  if (!log_index_.Apply(offset, record)) return;
  if (const auto* owner = std::get_if<schema::OwnerRecord>(&record); owner && !owner->planned) {
    ++counts_.takeovers;
  }
  if (const auto* turn = std::get_if<schema::TurnRecord>(&record)) {
    ReportViolation(reference_model_.OnLogged(*turn));
    charged_[{turn->program, turn->turn}] = turn->charged_tokens;
  }
  CheckBudgets();
}

// Performs the oldest append of a node. One in ten has an unknown result and is applied now,
// applied later or lost.
void SimulatedCluster::AppendStep(std::size_t node, std::uint32_t b) {
  Node& current = nodes_[node];
  if (!Up(node) || current.pending_appends.empty()) return;
  const AppendRecord append = std::move(current.pending_appends.front());
  current.pending_appends.pop_front();
  AppendResult result = AppendResult::kAppended;
  if (!LogUp(node)) {
    result = AppendResult::kNotAppended;
  } else if (b % 10 == 0) {
    result = AppendResult::kUnknown;
    if (b % 3 == 0) AppendToLog(append.record);
    if (b % 3 == 1) delayed_appends_.push_back(append.record);
  } else {
    AppendToLog(append.record);
  }
  Perform(node, current.store->OnAppendResult(Time(), append.id, result));
}

void SimulatedCluster::ReadStep(std::size_t node, std::size_t count) {
  Node& current = nodes_[node];
  if (!Up(node)) return;
  if (!LogUp(node)) return Perform(node, current.store->OnReadFailed(Time()));
  for (; count > 0 && current.cursor < log_.size(); --count) {
    const std::size_t offset = current.cursor++;
    // Copied because performing the actions may append to the log.
    const schema::Record record = log_[offset];
    Perform(node, current.store->OnRecord(Time(), {offset}, record));
  }
  Perform(node, current.store->OnReadEnd(Time(), {0}, current.cursor == log_.size()));
}

void SimulatedCluster::FetchStep(std::size_t node) {
  Node& current = nodes_[node];
  if (!Up(node) || current.fetches.empty()) return;
  const FetchRecords fetch = std::move(current.fetches.front());
  current.fetches.pop_front();
  std::vector<std::pair<base::Offset, schema::Record>> records;
  for (const base::Offset offset : fetch.offsets) {
    if (LogUp(node)) records.emplace_back(offset, log_[offset.value]);
  }
  Perform(node, current.store->OnFetched(Time(), !LogUp(node), records));
}

// Delivers any one of the messages; one in eight stays queued and is delivered again. A message to
// a stopped node is dropped, and one to a paused node stays queued.
void SimulatedCluster::Deliver(std::uint32_t a, std::uint32_t b) {
  if (messages_.empty()) return;
  const std::size_t n = a % messages_.size();
  const Message message = messages_[n];
  if (!Up(message.to)) {
    if (!nodes_[message.to].store) {
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(n));
    }
    return;
  }
  if (b % 8 != 0) messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(n));
  const base::InstanceId from{"i" + std::to_string(message.from)};
  Perform(message.to, nodes_[message.to].store->OnPeer(Time(), from, message.message));
}

// Advances the time and delivers messages once in every tick and log records once in every second.
// Both are faster than `copy_grace`, the time that a new owner waits for copies, so copies from
// available nodes arrive in time.
void SimulatedCluster::Advance(base::Duration duration) {
  for (base::Duration passed{0}; passed < duration; passed += kTickInterval) {
    time_ += kTickInterval;
    const std::size_t waiting = messages_.size();
    for (std::size_t n = 0; n < waiting && !messages_.empty(); ++n) {
      Deliver(static_cast<std::uint32_t>(n % messages_.size()), 1);
    }
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      if (!Up(node)) continue;
      Perform(node, nodes_[node].store->OnTick(Time()));
      if (time_ % seconds{1} == base::Duration{0}) {
        ReadStep(node, log_.size());
        FetchStep(node);
      }
    }
    UpdateMembership();
  }
}

// Grants leases and starts takeovers by the rules of the membership library.
void SimulatedCluster::UpdateMembership() {
  const base::TimePoint now{time_};
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    Node& current = nodes_[node];
    // A lease is renewed in the log or, while the log is down for all nodes, by consent of all
    // instances.
    const bool renewed = Up(node) && (LogUp(node) || log_down_) && !current.partitioned;
    if (renewed) current.unavailable_since.reset();
    if (!renewed && !current.unavailable_since) current.unavailable_since = now;
    const bool lease =
        !current.unavailable_since || now - *current.unavailable_since < kLeaseDuration;
    if (Up(node) && lease != current.lease_held) {
      current.lease_held = lease;
      Perform(node, current.store->SetLeaseHeld(Time(), lease));
    }
  }
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (!Up(node) || !LogUp(node) || !nodes_[node].lease_held) continue;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      const Node& from = nodes_[other];
      const ProgramIndex& index = nodes_[node].store->Index();
      for (const ProgramId& root : index.RootsOf({"i" + std::to_string(other)})) {
        const ProgramTree& tree = index.TreeOf(*index.Find(root));
        const bool replaced = tree.incarnation.value < from.incarnation;
        const bool expired =
            from.unavailable_since && now - *from.unavailable_since >= kTakeoverDelay;
        // A restarted node claims the programs of its earlier incarnation, and other nodes take
        // over those of an unavailable node.
        if ((replaced && node == other) || (expired && other != node)) {
          Perform(node, nodes_[node].store->TakeOver(Time(), root));
        }
      }
    }
  }
}

// Stops the node, or starts it if it is stopped.
void SimulatedCluster::StopOrStartNode(std::size_t node) {
  Node& current = nodes_[node];
  if (!current.store) return StartNode(node);
  reference_model_.OnNodeUnavailable(node);
  for (auto& [turn, holders] : holders_) holders.erase(node);
  // Appends that were already sent may still reach the log.
  for (const AppendRecord& sent : current.pending_appends) delayed_appends_.push_back(sent.record);
  current.store.reset();
  current.paused = false;
  current.pending_appends.clear();
  current.fetches.clear();
  current.queued.clear();
  current.at_engine.clear();
}

// Pauses the node, or resumes it if it is paused.
void SimulatedCluster::PauseOrResumeNode(std::size_t node) {
  Node& current = nodes_[node];
  if (!current.store) return;
  current.paused = !current.paused;
  if (!current.paused) return;
  reference_model_.OnNodeUnavailable(node);
  for (auto& [turn, holders] : holders_) holders.erase(node);
}

// Cuts the node off from the log, or reconnects it if it was cut off.
void SimulatedCluster::StartOrEndPartition(std::size_t node) {
  nodes_[node].partitioned = !nodes_[node].partitioned;
  if (!nodes_[node].partitioned) return;
  reference_model_.OnNodeUnavailable(node);
  for (auto& [turn, holders] : holders_) holders.erase(node);
}

// Lets the owner of a program hand it over to any available node. The store ignores a handover to
// itself and one of a tree that is not idle.
void SimulatedCluster::HandOver(std::uint32_t a, std::uint32_t b) {
  if (callers_.empty()) return;
  const ProgramId program = callers_[a % callers_.size()].program;
  const std::size_t owner = OwnerOf(program);
  const std::size_t to = b % nodes_.size();
  if (owner == nodes_.size() || !Up(to)) return;
  Perform(owner, nodes_[owner].store->HandOver(Time(), program, {"i" + std::to_string(to)}));
}

}  // namespace persimmonstair::programs::simulation
