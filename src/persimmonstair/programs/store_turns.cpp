#include <algorithm>
#include <utility>

#include "store_impl.hpp"

namespace persimmonstair::programs {

using base::Error;
using base::ErrorCode;
using base::Now;
using base::ProgramId;
using base::RequestId;
using base::Verdict;
using Impl = ProgramStore::Impl;

namespace {

Error NotRun(ErrorCode code, std::string message) {
  return Error{code, std::move(message), Verdict::kNotRun, {}};
}

bool HasMessage(const std::string& response) {
  const auto json = nlohmann::json::parse(response, nullptr, false);
  const nlohmann::json::json_pointer path("/choices/0/message");
  return json.is_object() && json.contains(path) && json.at(path).is_object() &&
         json.at(path).value("role", nlohmann::json()) == "assistant";
}

}  // namespace

void Impl::Turn(const Now& now, const TurnCall& call, ProgramActions& out) {
  const auto found = FindActive(call.program, call.workspace);
  if (!found) {
    out.emplace_back(ProgramRefusal{call.request, found.error()});
    return;
  }
  Program& program = **found;
  const std::uint64_t fingerprint = FingerprintBody(call.body);
  if (JoinOrReplay(program, call, fingerprint, out)) return;
  const auto next = static_cast<std::uint32_t>(program.turns.size()) + 1;
  if (call.turn > next && options.checks.turn_number) {
    out.emplace_back(ProgramRefusal{
        call.request, NotRun(ErrorCode::kConflict, "the turn number is too high; the next one is " +
                                                       std::to_string(next))});
    return;
  }
  if (next > kMaxTurns) {
    out.emplace_back(ProgramRefusal{
        call.request, NotRun(ErrorCode::kBudgetExhausted, "the turn limit is used up")});
    return;
  }
  Start(now, program, call, fingerprint, out);
}

// Answers calls that name the running turn or an earlier one. Returns false for a new turn.
bool Impl::JoinOrReplay(Program& program, const TurnCall& call, std::uint64_t fingerprint,
                        ProgramActions& out) {
  if (!options.checks.turn_number) return program.running.has_value();
  const auto conflict = [&](const char* why) {
    out.emplace_back(ProgramRefusal{call.request, NotRun(ErrorCode::kConflict, why)});
    return true;
  };
  if (call.turn != 0 && call.turn <= program.turns.size()) {
    if (program.turns[call.turn - 1].fingerprint != fingerprint) {
      return conflict("the turn was done with another body");
    }
    Replay(program, call.turn, call.request, out);
    return true;
  }
  if (!program.running) return false;
  RunningTurn& turn = *program.running;
  if (call.turn > turn.turn) return false;
  if (turn.fingerprint != fingerprint) return conflict("another turn is running");
  turn.waiters.push_back(call.request);
  return true;
}

void Impl::Replay(Program& program, std::uint32_t turn, RequestId request, ProgramActions& out) {
  const RecordedTurn& done = program.turns[turn - 1];
  std::string durability = "log";
  const std::size_t logged = program.turns.size() - program.pending.size();
  if (turn > logged) {
    PendingTurn& pending = program.pending[turn - 1 - logged];
    if (!pending.acknowledged) {
      pending.waiters.push_back(request);
      return;
    }
    durability = pending.durability;
  }
  out.emplace_back(TurnAnswer{request, program.id, turn, done.status, done.response, done.verdict,
                              durability, true});
}

void Impl::Start(const Now& now, Program& program, const TurnCall& call, std::uint64_t fingerprint,
                 ProgramActions& out) {
  auto prepared = PrepareTurn(program.turns, call.body, call.default_max_tokens);
  if (!prepared) {
    out.emplace_back(ProgramRefusal{call.request, prepared.error()});
    return;
  }
  const std::int64_t lost = prepared->cost_bound * program.lost_turns;
  if (program.running || prepared->cost_bound + lost > FreeBudget(program)) {
    const Error error = program.running
                            ? NotRun(ErrorCode::kConflict, "another turn is running")
                            : NotRun(ErrorCode::kBudgetExhausted, "the token budget is used up");
    out.emplace_back(ProgramRefusal{call.request, error});
    return;
  }
  RunningTurn& turn = program.running.emplace();
  turn.request = call.request;
  turn.turn = static_cast<std::uint32_t>(program.turns.size()) + 1;
  turn.fingerprint = fingerprint;
  turn.new_messages = std::move(prepared->request);
  turn.reserved = prepared->cost_bound;
  turn.lost_tokens = lost;
  turn.waiters.push_back(call.request);
  running[call.request] = program.id;
  program.active_at = now.monotonic;
  program.tool_pause = false;
  out.emplace_back(RunTurn{call.request, program.id, program.workspace, program.model, turn.turn,
                           std::move(prepared->body), turn.reserved, prepared->max_tokens,
                           program.resident, prepared->stream});
}

void Impl::FailNotRun(Program& program, Error error, ProgramActions& out) {
  if (!program.running->machine.Process(TurnInput::kNotRun)) return;
  error.verdict = Verdict::kNotRun;
  running.erase(program.running->request);
  Refuse(program.running->waiters, error, out);
  program.running.reset();
}

void Impl::Finish(const Now& now, Program& program, const TurnResult& result, Verdict verdict,
                  ProgramActions& out) {
  RunningTurn& turn = *program.running;
  if (!turn.machine.Process(TurnInput::kFinished)) return;
  const bool success = verdict == Verdict::kRan && result.status >= 200 && result.status < 300;
  const std::int64_t usage = result.prompt_tokens + result.completion_tokens;
  const bool full = verdict != Verdict::kRan || (success && usage <= 0);
  schema::TurnRecord record;
  record.id = outbox.NewId();
  record.program = program.id;
  record.workspace = program.workspace;
  record.epoch = EpochOf(program);
  record.turn = turn.turn;
  record.fingerprint = turn.fingerprint;
  record.request = success ? turn.new_messages : "[]";
  record.verdict = std::string(base::ToString(verdict));
  record.status = result.status;
  record.response = result.body;
  record.charged_tokens = (full ? turn.reserved : usage) + turn.lost_tokens;
  record.context_tokens = usage > 0 ? usage : turn.reserved;
  if (!result.target.empty() && result.target != program.resident) {
    StartRelease(program.id, program.resident);
    program.resident = result.target;
  }
  releases.erase({program.id, program.resident});
  record.target = program.resident;
  program.lost_turns = 0;
  program.active_at = now.monotonic;
  Waiters waiters = std::move(turn.waiters);
  running.erase(turn.request);
  program.running.reset();
  AddPending(now, program, std::move(record), std::move(waiters), out);
}

bool ProgramStore::ConfirmDispatch(const Now& now, RequestId request, ProgramActions& actions) {
  impl_->DetectPause(now);
  Impl::Program* program = impl_->FindRunning(request);
  if (program == nullptr) return false;
  const auto allowed = impl_->FindActive(program->id, program->workspace);
  if (!allowed) {
    impl_->FailNotRun(*program, allowed.error(), actions);
    return false;
  }
  return program->running->machine.Process(TurnInput::kDispatched);
}

ProgramActions ProgramStore::Withdraw(const Now& now, RequestId request, Error error) {
  ProgramActions out;
  impl_->DetectPause(now);
  Impl::Program* program = impl_->FindRunning(request);
  if (program != nullptr && program->running->machine.Phase() == TurnPhase::kQueued) {
    impl_->FailNotRun(*program, std::move(error), out);
  }
  return out;
}

ProgramActions ProgramStore::OnTurnDone(const Now& now, RequestId request,
                                        const TurnResult& result) {
  ProgramActions out;
  impl_->DetectPause(now);
  Impl::Program* program = impl_->FindRunning(request);
  if (program == nullptr) return out;
  const bool success = result.status >= 200 && result.status < 300;
  if (success && !HasMessage(result.body)) {
    return OnTurnFailed(now, request,
                        {ErrorCode::kIncompleteAnswer,
                         "the engine's answer has no message",
                         Verdict::kMayHaveRun,
                         {}});
  }
  impl_->Finish(now, *program, result, Verdict::kRan, out);
  return out;
}

ProgramActions ProgramStore::OnTurnFailed(const Now& now, RequestId request, const Error& error) {
  ProgramActions out;
  impl_->DetectPause(now);
  Impl::Program* program = impl_->FindRunning(request);
  if (program == nullptr) return out;
  if (error.verdict == Verdict::kNotRun) {
    impl_->FailNotRun(*program, error, out);
    return out;
  }
  TurnResult result;
  result.status = static_cast<std::uint32_t>(base::HttpStatus(error.code));
  result.body = nlohmann::json{{"error",
                                {{"code", std::string(base::ToString(error.code))},
                                 {"message", error.message},
                                 {"verdict", std::string(base::ToString(error.verdict))}}}}
                    .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  impl_->Finish(now, *program, result, Verdict::kMayHaveRun, out);
  return out;
}

}  // namespace persimmonstair::programs
