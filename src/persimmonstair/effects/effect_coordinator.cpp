#include "persimmonstair/effects/effect_coordinator.hpp"

#include <xxhash.h>

#include <utility>

#include "coordinator_impl.hpp"

namespace persimmonstair::effects {

using base::Now;
using base::RequestId;

std::uint64_t FingerprintBody(std::string_view body) { return XXH64(body.data(), body.size(), 0); }

EffectCoordinator::EffectCoordinator(EffectOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
EffectCoordinator::EffectCoordinator(const EffectCoordinator& other)
    : impl_(std::make_unique<Impl>(*other.impl_)) {}
EffectCoordinator& EffectCoordinator::operator=(const EffectCoordinator& other) {
  if (this != &other) impl_ = std::make_unique<Impl>(*other.impl_);
  return *this;
}
EffectCoordinator::EffectCoordinator(EffectCoordinator&&) noexcept = default;
EffectCoordinator& EffectCoordinator::operator=(EffectCoordinator&&) noexcept = default;
EffectCoordinator::~EffectCoordinator() = default;

EffectActions EffectCoordinator::Begin(const Now& now, const EffectRequest& request) {
  EffectActions out;
  impl_->DetectPause(now, out);
  impl_->Begin(now, request, out);
  return out;
}

EffectActions EffectCoordinator::OnRecord(const Now& now, base::Offset offset,
                                          const schema::Record& record) {
  EffectActions out;
  impl_->DetectPause(now, out);
  impl_->table.Apply(offset, record);
  if (const auto* claim = std::get_if<schema::ClaimRecord>(&record)) {
    impl_->OnClaimRead(now, *claim, out);
  }
  std::visit([&](const auto& one) { impl_->OnRecordRead(one.id); }, record);
  if (const auto* outcome = std::get_if<schema::OutcomeRecord>(&record)) {
    impl_->AnswerDuplicates({outcome->workspace, outcome->route, outcome->key}, out);
  } else if (const auto* released = std::get_if<schema::ClaimReleased>(&record)) {
    impl_->AnswerDuplicates({released->workspace, released->route, released->key}, out);
  }
  return out;
}

EffectActions EffectCoordinator::OnReadEnd(const Now& now, base::Offset /*oldest*/,
                                           base::WallTime oldest_at, bool at_end) {
  EffectActions out;
  impl_->DetectPause(now, out);
  impl_->log_readable = true;
  impl_->table.DiscardUnretained(oldest_at);
  if (at_end) impl_->MarkUnknownMissing();
  impl_->ResendRecords(now, out);
  return out;
}

EffectActions EffectCoordinator::OnReadFailed(const Now& now) {
  EffectActions out;
  impl_->DetectPause(now, out);
  impl_->log_readable = false;
  return out;
}

EffectActions EffectCoordinator::OnAppendResult(const Now& now, const base::RecordId& id,
                                                AppendResult result) {
  EffectActions out;
  impl_->DetectPause(now, out);
  impl_->OnAppendResult(now, id, result, out);
  return out;
}

bool EffectCoordinator::ConfirmDispatch(const Now& now, RequestId request, EffectActions& actions) {
  impl_->DetectPause(now, actions);
  impl_->ExpireClaims(now, actions);
  Impl::Entry* entry = impl_->FindRequest(request);
  return entry != nullptr && entry->machine.Process(RequestInput::kDispatched);
}

EffectActions EffectCoordinator::Withdraw(const Now& now, RequestId request, base::Error error) {
  EffectActions out;
  impl_->DetectPause(now, out);
  if (impl_->WithdrawDuplicate(request, out)) return out;
  if (Impl::Entry* entry = impl_->FindRequest(request)) {
    error.verdict = base::Verdict::kNotRun;
    impl_->RefuseUndispatched(now, *entry, std::move(error), out);
  }
  return out;
}

EffectActions EffectCoordinator::OnDone(const Now& now, RequestId request, std::uint32_t status,
                                        std::string body) {
  EffectActions out;
  impl_->DetectPause(now, out);
  Impl::Entry* entry = impl_->FindRequest(request);
  if (entry == nullptr || !entry->machine.Process(RequestInput::kFinished)) return out;
  impl_->Record(now, *entry, {base::Verdict::kRan, status, body}, out);
  out.emplace_back(EffectAnswer{request, status, std::move(body), base::Verdict::kRan, false});
  return out;
}

EffectActions EffectCoordinator::OnFailed(const Now& now, RequestId request,
                                          const base::Error& error) {
  EffectActions out;
  impl_->DetectPause(now, out);
  Impl::Entry* entry = impl_->FindRequest(request);
  if (entry == nullptr) return out;
  if (error.verdict == base::Verdict::kNotRun) {
    if (!entry->machine.Process(RequestInput::kFailedNotRun)) return out;
    impl_->Release(now, *entry, out);
  } else {
    if (!entry->machine.Process(RequestInput::kFinished)) return out;
    const auto status = static_cast<std::uint32_t>(base::HttpStatus(error.code));
    impl_->Record(now, *entry, {error.verdict, status, error.message}, out);
  }
  out.emplace_back(EffectRefusal{request, error});
  return out;
}

EffectActions EffectCoordinator::OnTick(const Now& now) {
  EffectActions out;
  impl_->DetectPause(now, out);
  impl_->ExpireClaims(now, out);
  impl_->ExpireDuplicates(now, out);
  impl_->ResendRecords(now, out);
  return out;
}

const ClaimTable& EffectCoordinator::Table() const { return impl_->table; }

base::Result<void> EffectCoordinator::RestoreTable(std::string_view snapshot) {
  return impl_->table.Restore(snapshot);
}

std::size_t EffectCoordinator::Live() const { return impl_->active.size(); }

std::string EffectCoordinator::DebugState() const { return impl_->DebugState(); }

}  // namespace persimmonstair::effects
