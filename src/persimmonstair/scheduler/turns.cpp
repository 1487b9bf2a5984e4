#include <algorithm>
#include <nlohmann/json.hpp>

#include "persimmonstair/base/rendezvous.hpp"
#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {
namespace {

using base::ErrorCode;
using base::Verdict;

/// Estimated bytes of text per token, used while the engine has not counted the tokens.
constexpr std::int64_t kBytesPerToken = 4;

/// Splits a program id "p:<data centre>:<instance>:<number>". Catalogue names contain no ':'.
std::vector<std::string> SplitProgramId(const base::ProgramId& program) {
  std::vector<std::string> out(1);
  for (const char c : program.value) {
    if (c == ':') {
      out.emplace_back();
    } else {
      out.back() += c;
    }
  }
  return out;
}

/// Converts a chat completion object to a stream of one chunk and the terminating event.
std::string ToSingleChunkStream(const std::string& completion) {
  auto json = nlohmann::json::parse(completion, nullptr, false);
  if (!json.is_object()) return "data: " + completion + "\n\ndata: [DONE]\n\n";
  json["object"] = "chat.completion.chunk";
  for (auto& choice : json["choices"]) {
    if (!choice.contains("message")) continue;
    choice["delta"] = choice["message"];
    choice.erase("message");
  }
  return "data: " + json.dump() + "\n\ndata: [DONE]\n\n";
}

/// Number of peers that receive a copy of a turn that could not be appended to the log yet.
constexpr std::size_t kTurnCopies = 2;
/// Maximum completion tokens of a turn if the program's model was removed from the catalogue.
constexpr std::int64_t kFallbackMaxTokens = 1024;

}  // namespace

std::optional<base::InstanceId> Scheduler::Impl::OwnerOf(const base::ProgramId& program) const {
  const auto* entry = program_store_.Index().Find(program);
  if (entry == nullptr) {
    // The record of a new program may not have been read yet. Its id contains the instance that
    // opened it.
    const auto parts = SplitProgramId(program);
    if (parts.size() != 4 || parts[0] != "p") return std::nullopt;
    base::InstanceId opener{parts[2]};
    const bool live = opener == options_.instance ||
                      liveness_.StateOf(opener, now_.monotonic) == membership::LivenessState::kLive;
    return live ? std::optional(std::move(opener)) : std::nullopt;
  }
  const auto& tree = program_store_.Index().TreeOf(*entry);
  if (program_store_.Owns(program)) return options_.instance;
  return OwnerHasEnded(tree) ? SuccessorOf(entry->root) : tree.owner;
}

base::InstanceId Scheduler::Impl::SuccessorOf(const base::ProgramId& program) const {
  const auto parts = SplitProgramId(program);
  std::vector<base::InstanceId> live;
  if (parts.size() == 4) live = liveness_.LiveIn({parts[1]}, now_.monotonic);
  if (live.empty()) live = liveness_.Live(now_.monotonic);
  if (live.empty()) return options_.instance;
  return base::RendezvousPick(program.value, live, [](const auto& it) { return it.value; });
}

bool Scheduler::Impl::OwnerHasEnded(const programs::ProgramTree& tree) const {
  const membership::Member* member = registry_.Find(tree.owner);
  if (member == nullptr || member->end != membership::LifetimeEnd::kNone) return true;
  if (tree.owner == options_.instance) return tree.incarnation != options_.incarnation;
  const auto peer = peers_.find(tree.owner);
  // A new process under the same instance id does not have the programs of the previous one.
  return peer != peers_.end() && peer->second.process > tree.incarnation &&
         peer->second.registered == member->incarnation;
}

void Scheduler::Impl::StartProgramCall(base::RequestId id) {
  Request& request = *Find(id);
  request.stage = RequestStage::kProgram;
  const base::ProgramId& owned_program =
      request.call.kind == CallKind::kOpenProgram ? request.call.parent : request.call.program;
  if (request.call.kind == CallKind::kOpenProgram && owned_program.empty()) return OpenProgram(id);
  const auto owner = OwnerOf(owned_program);
  if (!owner) {
    return FinishError(id, {ErrorCode::kNotFound,
                            "unknown program '" + owned_program.value + "'",
                            Verdict::kNotRun,
                            {}});
  }
  if (*owner == options_.instance) return HandleLocalProgramCall(id);
  if (!request.origin.empty()) {
    // A request is forwarded only once, which is enough when instances agree about the owner. While
    // they disagree, further forwards could form a loop.
    return FinishError(id, {ErrorCode::kOwnerUnavailable, "the owner of the program is changing",
                            Verdict::kNotRun, std::chrono::milliseconds{500}});
  }
  Forward(id, *owner);
}

void Scheduler::Impl::HandleLocalProgramCall(base::RequestId id) {
  Request& request = *Find(id);
  const base::ProgramId program =
      request.call.kind == CallKind::kOpenProgram ? request.call.parent : request.call.program;
  const auto* entry = program_store_.Index().Find(program);
  if (entry != nullptr && !program_store_.Owns(program) &&
      OwnerHasEnded(program_store_.Index().TreeOf(*entry))) {
    Perform(program_store_.TakeOver(now_, program));
  }
  if (Find(id) == nullptr) return;
  switch (request.call.kind) {
    case CallKind::kOpenProgram:
      return OpenProgram(id);
    case CallKind::kTurn:
      return StartTurn(id);
    case CallKind::kEndProgram:
      return Perform(program_store_.End(now_, id, program, request.workspace));
    case CallKind::kToolPause:
      return Perform(program_store_.Pause(now_, id, program, request.workspace));
    default:
      return ReadProgram(id);
  }
}

void Scheduler::Impl::OpenProgram(base::RequestId id) {
  Request& request = *Find(id);
  const auto model = document().models.find(request.call.model);
  if (model == document().models.end()) {
    return FinishError(id, {ErrorCode::kNotFound,
                            "unknown model '" + request.call.model.value + "'",
                            Verdict::kNotRun,
                            {}});
  }
  const auto workspace = document().workspaces.find(request.workspace);
  if (workspace == document().workspaces.end()) {
    return FinishError(id, {ErrorCode::kForbidden,
                            "the workspace was removed from the catalogue",
                            Verdict::kNotRun,
                            {}});
  }
  const auto& known = program_store_.Index().Programs();
  const auto open = std::count_if(known.begin(), known.end(), [&request](const auto& it) {
    return it.second.workspace == request.workspace;
  });
  if (open >= static_cast<std::int64_t>(workspace->second.max_programs)) {
    return FinishError(id, {ErrorCode::kRateLimited, "the workspace has reached max_programs",
                            Verdict::kNotRun, std::chrono::seconds{5}});
  }
  const std::int64_t max_budget = workspace->second.program_budget_tokens;
  const std::int64_t requested_budget = request.call.budget_tokens;
  if (request.call.program.empty()) {
    request.call.program = {"p:" + options_.data_centre.value + ":" + options_.instance.value +
                            ":" + options_.process + "-" + std::to_string(++last_program_)};
  }
  programs::OpenCall call;
  call.request = id;
  call.program = request.call.program;
  call.workspace = request.workspace;
  call.parent = request.call.parent;
  call.model = request.call.model;
  call.budget_tokens = requested_budget > 0 ? std::min(requested_budget, max_budget) : max_budget;
  Perform(program_store_.Open(now_, call));
}

void Scheduler::Impl::StartTurn(base::RequestId id) {
  Request& request = *Find(id);
  const auto* entry = program_store_.Index().Find(request.call.program);
  programs::TurnCall call;
  call.request = id;
  call.program = request.call.program;
  call.workspace = request.workspace;
  call.turn = request.call.turn;
  call.body = request.call.body;
  call.default_max_tokens = kFallbackMaxTokens;
  if (entry != nullptr) {
    const auto model = document().models.find(entry->model);
    if (model != document().models.end()) {
      call.default_max_tokens = model->second.default_max_tokens;
    }
  }
  Perform(program_store_.Turn(now_, call));
}

void Scheduler::Impl::ReadProgram(base::RequestId id) {
  const Request& request = *Find(id);
  const auto text = program_store_.Read(request.call.program, request.workspace);
  if (!text) return FinishError(id, text.error());
  Finish(id, 200, {}, *text);
}

void Scheduler::Impl::TakeOverFrom(const base::InstanceId& former_owner) {
  for (const auto& root : program_store_.Index().RootsOf(former_owner)) {
    const auto* entry = program_store_.Index().Find(root);
    if (entry == nullptr || program_store_.Owns(root)) continue;
    if (!OwnerHasEnded(program_store_.Index().TreeOf(*entry)) ||
        SuccessorOf(root) != options_.instance)
      continue;
    Perform(program_store_.TakeOver(now_, root));
  }
}

void Scheduler::Impl::Perform(programs::ProgramActions actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& value) { ExecuteAction(value); }, action);
  }
}

void Scheduler::Impl::ExecuteAction(const programs::AppendRecord& action) {
  AppendRecord(kProgramsStream, action.record);
}

void Scheduler::Impl::ExecuteAction(const programs::FetchRecords& action) {
  Emit(FetchRecords{kProgramsStream, action.offsets});
}

void Scheduler::Impl::ExecuteAction(const programs::RunTurn& action) {
  Request* request = Find(action.request);
  if (request == nullptr) {
    return Perform(program_store_.Withdraw(
        now_, action.request,
        {ErrorCode::kTimeout, "the request ended before it was dispatched", Verdict::kNotRun, {}}));
  }
  request->turn = action;
  request->stage = RequestStage::kRouting;
  const auto* entry = program_store_.Index().Find(action.program);
  routing::RequestQueued queued;
  queued.request = action.request;
  queued.workspace = action.workspace;
  queued.program = action.program;
  if (entry != nullptr && entry->root != action.program) queued.root = entry->root;
  queued.model = action.model;
  const auto body = static_cast<std::int64_t>(action.body.size());
  const auto added = static_cast<std::int64_t>(request->call.body.size());
  queued.prompt_tokens = body / kBytesPerToken;
  queued.last_target = action.resident;
  if (!action.resident.empty()) {
    queued.held_tokens = std::max<std::int64_t>(0, body - added) / kBytesPerToken;
  }
  queued.expected_completion_tokens = action.max_tokens;
  queued.deadline = request->deadline - now_.monotonic;
  // A turn only produces text, and only one result per turn number is recorded, so a turn may run
  // more than once.
  queued.idempotent = true;
  queued.fingerprint = effects::FingerprintBody(request->call.body);
  Route(queued);
}

void Scheduler::Impl::ExecuteAction(const programs::CancelTurn& action) {
  if (const Request* request = Find(action.request);
      request && request->stage == RequestStage::kRouting) {
    CancelRouting(action.request);
  }
}

void Scheduler::Impl::ExecuteAction(const programs::TurnAnswer& action) {
  const Request* request = Find(action.request);
  if (request == nullptr) return;
  std::map<std::string, std::string> headers{
      {"persimmonstair-program", action.program.value},
      {"persimmonstair-turn", std::to_string(action.turn)},
      {"persimmonstair-durability", action.durability},
      {"persimmonstair-verdict", std::string(base::ToString(action.verdict))}};
  if (action.replayed) headers["persimmonstair-replayed"] = "true";
  std::string body = action.body;
  if (request->stream_begun) {
    body = "data: [DONE]\n\n";
  } else if (request->call.stream && action.status == 200) {
    headers["content-type"] = "text/event-stream";
    body = ToSingleChunkStream(action.body);
  }
  Finish(action.request, action.status, std::move(headers), std::move(body));
}

void Scheduler::Impl::ExecuteAction(const programs::ProgramReady& action) {
  const Request* request = Find(action.request);
  if (request == nullptr) return;
  const nlohmann::json body{{"id", action.program.value}, {"model", request->call.model.value}};
  Finish(action.request, 201, {{"persimmonstair-program", action.program.value}}, body.dump());
}

void Scheduler::Impl::ExecuteAction(const programs::CallAccepted& action) {
  const Request* request = Find(action.request);
  if (request == nullptr) return;
  const char* state = request->call.kind == CallKind::kEndProgram ? "ended" : "paused";
  const nlohmann::json body{{"id", request->call.program.value}, {"state", state}};
  Finish(action.request, 200, {}, body.dump());
}

void Scheduler::Impl::ExecuteAction(const programs::ProgramRefusal& action) {
  FinishError(action.request, action.error);
}

void Scheduler::Impl::ExecuteAction(const programs::ReplicationDone& action) {
  for (const auto& [peer, state] : peers_) SendReliable(peer, action.message);
}

void Scheduler::Impl::ExecuteAction(const programs::SendTo& action) {
  SendReliable(action.to, action.message);
}

void Scheduler::Impl::ExecuteAction(const programs::Replicate& action) {
  std::vector<base::InstanceId> candidates;
  std::vector<base::InstanceId> same_data_centre;
  for (const auto& peer : liveness_.Live(now_.monotonic)) {
    if (peer == options_.instance) continue;
    const bool is_local = peers_[peer].data_centre == options_.data_centre;
    (is_local ? same_data_centre : candidates).push_back(peer);
  }
  std::shuffle(candidates.begin(), candidates.end(), random_);
  candidates.insert(candidates.end(), same_data_centre.begin(), same_data_centre.end());
  for (std::size_t n = 0; n < std::min(kTurnCopies, candidates.size()); ++n) {
    SendReliable(candidates[n], action.message);
  }
}

}  // namespace persimmonstair::scheduler
