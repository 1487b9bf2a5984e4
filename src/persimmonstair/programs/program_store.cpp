#include "persimmonstair/programs/program_store.hpp"

#include <algorithm>
#include <utility>

#include "store_impl.hpp"

namespace persimmonstair::programs {

using base::Now;
using base::ProgramId;
using base::RequestId;
using base::WorkspaceId;

namespace {

/// Time between the scans of all programs for expiry and snapshots.
constexpr std::chrono::seconds kScanInterval{1};

}  // namespace

ProgramStore::ProgramStore(ProgramOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
ProgramStore::ProgramStore(ProgramStore&&) noexcept = default;
ProgramStore& ProgramStore::operator=(ProgramStore&&) noexcept = default;
ProgramStore::~ProgramStore() = default;

ProgramActions ProgramStore::Open(const Now& now, const OpenCall& call) {
  ProgramActions out;
  impl_->DetectPause(now);
  impl_->Open(now, call, out);
  return out;
}

ProgramActions ProgramStore::Turn(const Now& now, const TurnCall& call) {
  ProgramActions out;
  impl_->DetectPause(now);
  impl_->Turn(now, call, out);
  return out;
}

ProgramActions ProgramStore::End(const Now& now, RequestId request, const ProgramId& program,
                                 const WorkspaceId& workspace) {
  ProgramActions out;
  impl_->DetectPause(now);
  const auto found = impl_->FindActive(program, workspace);
  const bool whole = found && (*found)->root == program;
  const bool busy = found && (whole ? impl_->HasUnfinishedTurns(program)
                                    : (*found)->running || !(*found)->pending.empty());
  if (!found) {
    out.emplace_back(ProgramRefusal{request, found.error()});
  } else if (busy) {
    out.emplace_back(
        ProgramRefusal{request,
                       {base::ErrorCode::kConflict, "a turn is running or not recorded",
                        base::Verdict::kNotRun, std::chrono::seconds{1}}});
  } else {
    impl_->End(now, **found, "caller", out);
    out.emplace_back(CallAccepted{request});
  }
  return out;
}

ProgramActions ProgramStore::Pause(const Now& now, RequestId request, const ProgramId& program,
                                   const WorkspaceId& workspace) {
  ProgramActions out;
  impl_->DetectPause(now);
  const auto found = impl_->FindActive(program, workspace);
  if (!found) {
    out.emplace_back(ProgramRefusal{request, found.error()});
    return out;
  }
  (*found)->tool_pause = true;
  (*found)->active_at = now.monotonic;
  out.emplace_back(CallAccepted{request});
  return out;
}

base::Result<std::string> ProgramStore::Read(const ProgramId& program,
                                             const WorkspaceId& workspace) const {
  const auto found = impl_->FindActive(program, workspace);
  if (!found) return tl::make_unexpected(found.error());
  const Impl::Program& one = **found;
  const ProgramEntry& entry = *impl_->index.Find(program);
  nlohmann::json json{{"program", program},
                      {"parent_root", one.root},
                      {"model", one.model},
                      {"turns", one.turns.size()},
                      {"charged_tokens", one.charged},
                      {"budget_tokens", impl_->index.TreeOf(entry).budget_tokens},
                      {"free_tokens", impl_->FreeBudget(one)},
                      {"messages", HistoryMessages(one.turns)}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void ProgramStore::Forget(RequestId request) {
  for (auto& [id, program] : impl_->programs) {
    std::erase(program.open_waiters, request);
    if (program.running) std::erase(program.running->waiters, request);
    for (auto& turn : program.pending) std::erase(turn.waiters, request);
  }
}

ProgramActions ProgramStore::OnRecord(const Now& now, base::Offset offset,
                                      const schema::Record& record) {
  ProgramActions out;
  impl_->DetectPause(now);
  const bool valid = impl_->index.Apply(offset, record);
  std::visit([&](const auto& one) { impl_->outbox.OnRead(one.id); }, record);
  if (const auto* opened = std::get_if<schema::ProgramOpened>(&record)) {
    impl_->OnOpenedRead(now, offset, *opened, valid, out);
  } else if (const auto* owner = std::get_if<schema::OwnerRecord>(&record)) {
    impl_->OnOwnerRead(now, *owner, valid, out);
  } else if (const auto* turn = std::get_if<schema::TurnRecord>(&record)) {
    impl_->OnTurnRead(now, *turn, valid, out);
  } else if (const auto* ended = std::get_if<schema::ProgramEnded>(&record)) {
    impl_->OnEndedRead(*ended, out);
    impl_->RepeatEnd(now, *ended, valid, out);
  }
  return out;
}

ProgramActions ProgramStore::OnReadEnd(const Now& now, base::Offset oldest, bool at_end) {
  ProgramActions out;
  impl_->DetectPause(now);
  if (!impl_->log_up) impl_->log_up_since = now.monotonic;
  impl_->log_up = true;
  impl_->index.DiscardBefore(oldest);
  if (at_end) {
    impl_->outbox.OnReadToEnd();
    impl_->reads_needed = std::max(0, impl_->reads_needed - 1);
  }
  const std::set<ProgramId> unlogged = impl_->unlogged;
  for (const ProgramId& id : unlogged) impl_->SendFirstPending(now, *impl_->Find(id), out);
  impl_->outbox.ResendMissing(now, out);
  return out;
}

ProgramActions ProgramStore::OnReadFailed(const Now& now) {
  ProgramActions out;
  impl_->DetectPause(now);
  impl_->log_up = false;
  impl_->Replicate(now, out);
  return out;
}

ProgramActions ProgramStore::OnAppendResult(const Now& now, const base::RecordId& id,
                                            AppendResult result) {
  impl_->DetectPause(now);
  impl_->outbox.OnResult(id, result);
  return {};
}

ProgramActions ProgramStore::OnFetched(
    const Now& now, bool failed,
    const std::vector<std::pair<base::Offset, schema::Record>>& records) {
  ProgramActions out;
  impl_->DetectPause(now);
  impl_->OnFetched(now, failed, records, out);
  return out;
}

void ProgramStore::OnReleased(const ProgramId& program, const base::TargetId& target) {
  impl_->releases.erase({program, target});
  impl_->unknown_memory.erase({program, target});
}

ProgramActions ProgramStore::OnEngineReport(const Now& now, const base::TargetId& target,
                                            const std::vector<ProgramId>& held) {
  ProgramActions out;
  impl_->DetectPause(now);
  impl_->OnEngineReport(now, target, held);
  impl_->RepeatReleases(now, out);
  return out;
}

ProgramActions ProgramStore::SetLeaseHeld(const Now& now, bool held) {
  ProgramActions out;
  impl_->DetectPause(now);
  impl_->lease_held = held;
  if (held) impl_->Replicate(now, out);
  return out;
}

ProgramActions ProgramStore::TakeOver(const Now& now, const ProgramId& program) {
  ProgramActions out;
  impl_->DetectPause(now);
  impl_->TakeOver(now, program, out);
  return out;
}

ProgramActions ProgramStore::HandOver(const Now& now, const ProgramId& program,
                                      const base::InstanceId& to) {
  ProgramActions out;
  impl_->DetectPause(now);
  impl_->HandOver(now, program, to, out);
  return out;
}

ProgramActions ProgramStore::OnPeer(const Now& now, const base::InstanceId& from,
                                    const schema::PeerMessage& message) {
  ProgramActions out;
  impl_->DetectPause(now);
  if (const auto* copy = std::get_if<schema::ReplicateTurn>(&message)) {
    impl_->StoreCopy(now, from, *copy, out);
  } else if (const auto* ack = std::get_if<schema::ReplicateTurnAck>(&message)) {
    impl_->OnReplicated(now, ack->record_id, from, out);
  } else if (const auto* done = std::get_if<schema::ReplicateDone>(&message)) {
    std::erase_if(impl_->copies,
                  [done](const auto& one) { return one.first.second == done->record_id; });
  } else if (const auto* handover = std::get_if<schema::ProgramHandover>(&message)) {
    impl_->OnHandover(now, from, *handover, out);
  } else if (const auto* taken = std::get_if<schema::ProgramHandoverAck>(&message)) {
    impl_->OnHandoverAck(taken->program, out);
  }
  return out;
}

ProgramActions ProgramStore::OnReplicated(const Now& now, const base::RecordId& id,
                                          const base::InstanceId& peer) {
  ProgramActions out;
  impl_->DetectPause(now);
  impl_->OnReplicated(now, id, peer, out);
  return out;
}

ProgramActions ProgramStore::OnTick(const Now& now) {
  ProgramActions out;
  impl_->DetectPause(now);
  impl_->FetchChains(out);
  impl_->FinishCollecting(now, out);
  impl_->Replicate(now, out);
  impl_->ConfirmReceived(now, out);
  impl_->RepeatHandovers(now, out);
  impl_->ReclaimUnconfirmed(now, out);
  impl_->RepeatReleases(now, out);
  if (impl_->log_up) impl_->outbox.ResendMissing(now, out);
  if (!impl_->last_scan || now.monotonic - *impl_->last_scan >= kScanInterval) {
    impl_->last_scan = now.monotonic;
    impl_->ExpireOpening(now, out);
    impl_->ExpireIdle(now, out);
    impl_->WriteSnapshots(now, out);
  }
  return out;
}

const ProgramIndex& ProgramStore::Index() const { return impl_->index; }

base::Result<void> ProgramStore::RestoreIndex(std::string_view snapshot) {
  return impl_->index.Restore(snapshot);
}

bool ProgramStore::Owns(const ProgramId& program) const {
  const Impl::Program* one = impl_->Find(program);
  return one != nullptr && one->lifecycle.Phase() == ProgramPhase::kActive &&
         impl_->OwnsTree(one->root);
}

std::size_t ProgramStore::Unsettled() const {
  return impl_->programs.size() + impl_->releases.size() + impl_->outbox.size();
}

std::size_t ProgramStore::Bytes() const {
  std::size_t out = 0;
  for (const auto& [id, program] : impl_->programs) {
    out += sizeof(program) + program.turns.capacity() * sizeof(RecordedTurn);
    for (const RecordedTurn& turn : program.turns) {
      out += turn.request.capacity() + turn.response.capacity();
    }
    for (const auto& turn : program.pending) {
      out += sizeof(turn) + turn.record.request.capacity() + turn.record.response.capacity();
    }
  }
  return out;
}

}  // namespace persimmonstair::programs
