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
/// Lease of an instance and the margin before others act.
constexpr seconds kLease{6};
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
  std::size_t at = node;
  if (!callers_.empty() && b % 3 == 0) {
    const Caller& parent = callers_[b % callers_.size()];
    caller.parent = parent.program;
    caller.workspace = parent.workspace;
    at = OwnerOf(parent.program);
    if (!parent.open || at == nodes_.size()) return;
  }
  callers_.push_back(caller);
  SendOpenCall(callers_.size() - 1, at);
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

// The caller's next turn, or a repetition of the one it waits for.
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
    // A lost turn is asked again with the same body: another one may still be on its way.
    if (caller.bodies.size() < caller.waiting) {
      const std::string text = caller.program.value + ": question " + std::to_string(b);
      caller.bodies.push_back(nlohmann::json{
          {"messages", {{{"role", "user"}, {"content", text}}}},
          {"max_tokens", 8}}.dump());
    }
  }
  SendTurnCall(index, caller.waiting, node, false);
}

void SimulatedCluster::Duplicate(std::uint32_t a, std::uint32_t b) {
  if (callers_.empty()) return;
  const std::size_t index = a % callers_.size();
  Caller& caller = callers_[index];
  const std::size_t owner = OwnerOf(caller.program);
  if (caller.bodies.empty() || owner == nodes_.size()) return;
  const auto turn = static_cast<std::uint32_t>(1 + b % caller.bodies.size());
  if (!caller.bodies[turn - 1].empty()) SendTurnCall(index, turn, owner, false);
}

// A turn whose number is too high must be refused, whatever is running.
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
    // The end of a root ends its sub-programs too.
    for (Caller& one : callers_) {
      const ProgramEntry* entry = log_index_.Find(one.program);
      if (&one == &caller || (entry != nullptr && entry->root == caller.program)) one.done = true;
    }
  }
  Perform(owner, actions);
}

void SimulatedCluster::OnAnswer(std::size_t node, const TurnAnswer& answer) {
  const auto it = pending_calls_.find(answer.request);
  if (it == pending_calls_.end())
    return ReportViolation("an answer to a request that was not made");
  const PendingCall call = it->second;
  pending_calls_.erase(it);
  Caller& caller = callers_[call.caller];
  const bool own = answer.program == caller.program && answer.turn == call.turn;
  if (!own || call.early)
    return ReportViolation("an answer to another request, or to one that is too early");
  std::set<std::size_t> holding_nodes;
  const std::pair key{answer.program, answer.turn};
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

void SimulatedCluster::OnRefusal(const ProgramRefusal& refusal) {
  const auto it = pending_calls_.find(refusal.request);
  if (it == pending_calls_.end()) return;
  Caller& caller = callers_[it->second.caller];
  const bool early = it->second.early;
  pending_calls_.erase(it);
  const ErrorCode code = refusal.error.code;
  if (early && refusal.error.verdict != Verdict::kNotRun)
    ReportViolation("an early turn may have run");
  if (!early && code == ErrorCode::kBudgetExhausted) caller.done = true;
  // A sub-program that was being opened while its root ended.
  const auto root_ended = [&](const Caller& one) {
    return one.done && one.program == caller.parent;
  };
  if (code == ErrorCode::kNotFound && std::any_of(callers_.begin(), callers_.end(), root_ended)) {
    caller.done = true;
  }
  if (!early && code == ErrorCode::kConflict && caller.waiting != 0) {
    // Turns acknowledged without the log went down with all their holders: asked again.
    reference_model_.DropLostTurns(caller.program);
    const auto next = static_cast<std::uint32_t>(reference_model_.TurnCount(caller.program)) + 1;
    caller.waiting = std::min(caller.waiting, next);
  }
}

void SimulatedCluster::EngineStep(std::size_t node, std::uint32_t b) {
  Node& at = nodes_[node];
  if (!Up(node)) return;
  if (!at.queued.empty() && b % 2 == 0) {
    RunTurn run = std::move(at.queued.front());
    at.queued.pop_front();
    ProgramActions actions;
    const bool allowed = at.store->ConfirmDispatch(Time(), run.request, actions);
    Perform(node, std::move(actions));
    if (allowed) at.at_engine.push_back(std::move(run));
  } else if (!at.at_engine.empty()) {
    const RunTurn run = std::move(at.at_engine.front());
    at.at_engine.pop_front();
    Execute(node, run, b);
  }
}

void SimulatedCluster::Execute(std::size_t node, const RunTurn& run, std::uint32_t b) {
  ProgramStore& store = *nodes_[node].store;
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
  if (used > run.reserved_tokens) ReportViolation("a turn used more than it reserved");
  work_[{run.program, run.turn}].tokens += used;
  engines_[result.target].insert(run.program);
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

// The oldest append of a node: done, done with a lost answer, late with a lost answer, or lost.
void SimulatedCluster::AppendStep(std::size_t node, std::uint32_t b) {
  Node& at = nodes_[node];
  if (!Up(node) || at.pending_appends.empty()) return;
  const AppendRecord append = std::move(at.pending_appends.front());
  at.pending_appends.pop_front();
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
  Perform(node, at.store->OnAppendResult(Time(), append.id, result));
}

void SimulatedCluster::ReadStep(std::size_t node, std::size_t count) {
  Node& at = nodes_[node];
  if (!Up(node)) return;
  if (!LogUp(node)) return Perform(node, at.store->OnReadFailed(Time()));
  for (; count > 0 && at.cursor < log_.size(); --count) {
    const std::size_t offset = at.cursor++;
    // A copy: performing the actions may append to the log.
    const schema::Record record = log_[offset];
    Perform(node, at.store->OnRecord(Time(), {offset}, record));
  }
  Perform(node, at.store->OnReadEnd(Time(), {0}, at.cursor == log_.size()));
}

void SimulatedCluster::FetchStep(std::size_t node) {
  Node& at = nodes_[node];
  if (!Up(node) || at.fetches.empty()) return;
  const FetchRecords fetch = std::move(at.fetches.front());
  at.fetches.pop_front();
  std::vector<std::pair<base::Offset, schema::Record>> records;
  for (const base::Offset offset : fetch.offsets) {
    if (LogUp(node)) records.emplace_back(offset, log_[offset.value]);
  }
  Perform(node, at.store->OnFetched(Time(), !LogUp(node), records));
}

// Any message first, sometimes twice.
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

// Messages and reads of working nodes take less than a second: below the takeover's grace time.
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

// Leases and takeovers as the membership library decides them.
void SimulatedCluster::UpdateMembership() {
  const base::TimePoint now{time_};
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    Node& at = nodes_[node];
    // A lease is renewed in the log, or by the consent of all while the log is down for all.
    const bool renewed = Up(node) && (LogUp(node) || log_down_) && !at.partitioned;
    if (renewed) at.unavailable_since.reset();
    if (!renewed && !at.unavailable_since) at.unavailable_since = now;
    const bool lease = !at.unavailable_since || now - *at.unavailable_since < kLease;
    if (Up(node) && lease != at.lease_held) {
      at.lease_held = lease;
      Perform(node, at.store->SetLeaseHeld(Time(), lease));
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
        if ((replaced && node == other) || (expired && other != node)) {
          Perform(node, nodes_[node].store->TakeOver(Time(), root));
        }
      }
    }
  }
}

void SimulatedCluster::StopOrStartNode(std::size_t node) {
  Node& at = nodes_[node];
  if (!at.store) return StartNode(node);
  reference_model_.OnNodeUnavailable(node);
  for (auto& [turn, holders] : holders_) holders.erase(node);
  // Appends on their way may still take effect.
  for (const AppendRecord& append : at.pending_appends) delayed_appends_.push_back(append.record);
  at.store.reset();
  at.paused = false;
  at.pending_appends.clear();
  at.fetches.clear();
  at.queued.clear();
  at.at_engine.clear();
}

void SimulatedCluster::Pause(std::size_t node) {
  Node& at = nodes_[node];
  if (!at.store) return;
  at.paused = !at.paused;
  if (!at.paused) return;
  reference_model_.OnNodeUnavailable(node);
  for (auto& [turn, holders] : holders_) holders.erase(node);
}

void SimulatedCluster::Partition(std::size_t node) {
  nodes_[node].partitioned = !nodes_[node].partitioned;
  if (!nodes_[node].partitioned) return;
  reference_model_.OnNodeUnavailable(node);
  for (auto& [turn, holders] : holders_) holders.erase(node);
}

void SimulatedCluster::HandOver(std::uint32_t a, std::uint32_t b) {
  if (callers_.empty()) return;
  const ProgramId program = callers_[a % callers_.size()].program;
  const std::size_t owner = OwnerOf(program);
  const std::size_t to = b % nodes_.size();
  if (owner == nodes_.size() || !Up(to)) return;
  Perform(owner, nodes_[owner].store->HandOver(Time(), program, {"i" + std::to_string(to)}));
}

}  // namespace persimmonstair::programs::simulation
