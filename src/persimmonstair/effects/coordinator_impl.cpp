#include "coordinator_impl.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonstair::effects {

using base::Error;
using base::ErrorCode;
using base::Now;
using base::RecordId;
using base::Verdict;
using Impl = EffectCoordinator::Impl;

namespace {

constexpr char kTooLargeBody[] =
    R"({"error":{"code":"outcome_too_large","message":"the answer was too large to be kept"}})";

Error NotRun(ErrorCode code, std::string message, base::Duration retry_after = {}) {
  return Error{code, std::move(message), Verdict::kNotRun, retry_after};
}

Error KeyTooOld() {
  return NotRun(ErrorCode::kConflict, "idempotency key is older than the retained claims");
}

Error KeyReused() {
  return NotRun(ErrorCode::kKeyReused, "idempotency key was used with another body");
}

Error OutcomeUnknown() {
  return Error{ErrorCode::kOutcomeUnknown, "an earlier request with this key may have run",
               Verdict::kMayHaveRun, std::chrono::seconds{1}};
}

}  // namespace

void Impl::DetectPause(const Now& now, EffectActions& out) {
  const bool paused = last_call && now.monotonic - *last_call > kPauseThreshold;
  last_call = now.monotonic;
  if (!paused) return;
  std::vector<Entry*> stale;
  for (auto& [claim, entry] : active) stale.push_back(&entry);
  for (Entry* entry : stale) {
    RefuseUndispatched(now, *entry, NotRun(ErrorCode::kTimeout, "the instance was paused"), out);
  }
}

std::optional<Error> Impl::CheckAdmission(const Now& now, const EffectRequest& request) {
  const auto time = ParseKeyTime(request.key.key);
  if (!time) return time.error();
  if (*time > now.wall + kMaxKeyLead) {
    return NotRun(ErrorCode::kInvalidRequest, "idempotency key is more than 60 s in the future");
  }
  if (!log_readable) {
    return NotRun(ErrorCode::kLogUnavailable,
                  "cannot claim the idempotency key: the log is unavailable",
                  std::chrono::seconds{1});
  }
  if (*time < table.Horizon()) return KeyTooOld();
  if (active.size() + duplicates.size() >= options.max_requests) {
    return NotRun(ErrorCode::kOverloaded, "too many open requests", std::chrono::seconds{1});
  }
  return std::nullopt;
}

void Impl::BeginDuplicate(const Now& now, const EffectRequest& request, const Claim* claim,
                          std::uint64_t fingerprint, EffectActions& out) {
  if (fingerprint != request.fingerprint) {
    out.emplace_back(EffectRefusal{request.request, KeyReused()});
    return;
  }
  duplicates.emplace(request.key, DuplicateRequest{request, now.monotonic});
  if (claim != nullptr) AnswerDuplicates(request.key, out);
}

void Impl::AnswerDuplicates(const EffectKey& key, EffectActions& out) {
  const auto [first, last] = duplicates.equal_range(key);
  if (first == last) return;
  const Claim* claim = table.Find(key);
  if (claim != nullptr && !claim->outcome) return;
  for (auto it = first; it != last; ++it) {
    const base::RequestId request = it->second.request.request;
    if (claim == nullptr) {
      out.emplace_back(EffectRefusal{
          request, NotRun(ErrorCode::kConflict, "the claim of the idempotency key was released",
                          kResendInterval)});
    } else if (claim->outcome->verdict != Verdict::kRan) {
      out.emplace_back(EffectRefusal{request, OutcomeUnknown()});
    } else {
      const Outcome& outcome = *claim->outcome;
      out.emplace_back(EffectAnswer{request, outcome.status, outcome.body, outcome.verdict, true});
    }
  }
  duplicates.erase(first, last);
}

void Impl::ExpireDuplicates(const Now& now, EffectActions& out) {
  std::erase_if(duplicates, [&](const auto& one) {
    if (now.monotonic - one.second.since < kMaxOutcomeWait) return false;
    out.emplace_back(EffectRefusal{one.second.request.request, OutcomeUnknown()});
    return true;
  });
}

bool Impl::WithdrawDuplicate(base::RequestId request, EffectActions& out) {
  const auto it = std::find_if(duplicates.begin(), duplicates.end(), [&](const auto& one) {
    return one.second.request.request == request;
  });
  if (it == duplicates.end()) return false;
  out.emplace_back(EffectRefusal{request, OutcomeUnknown()});
  duplicates.erase(it);
  return true;
}

void Impl::Begin(const Now& now, const EffectRequest& request, EffectActions& out) {
  if (auto error = CheckAdmission(now, request)) {
    out.emplace_back(EffectRefusal{request.request, std::move(*error)});
    return;
  }
  if (const auto it = by_key.find(request.key); it != by_key.end()) {
    const Entry& running = active.at(it->second);
    if (running.machine.State() == RequestState::kReleasing) {
      out.emplace_back(EffectRefusal{
          request.request,
          NotRun(ErrorCode::kConflict, "the claim of the idempotency key is being released",
                 kResendInterval)});
      return;
    }
    BeginDuplicate(now, request, nullptr, running.request.fingerprint, out);
    return;
  }
  if (const Claim* claim = table.Find(request.key); claim != nullptr && options.check_claim) {
    BeginDuplicate(now, request, claim, claim->fingerprint, out);
    return;
  }
  const RecordId id = NewId();
  Entry& entry = active[id];
  entry.request = request;
  entry.claim = id;
  entry.claimed_at = now.monotonic;
  by_request[request.request] = id;
  by_key[request.key] = id;
  const auto& [workspace, route, key] = request.key;
  QueueAppend(now, entry, id,
              schema::ClaimRecord{id, workspace, route, key, request.fingerprint, options.instance,
                                  options.incarnation, base::UnixMillis(now.wall)},
              out);
}

void Impl::OnClaimRead(const Now& now, const schema::ClaimRecord& record, EffectActions& out) {
  const bool own_claim =
      record.claimant == options.instance && record.incarnation == options.incarnation;
  if (!own_claim) return;
  const auto it = active.find(record.id);
  if (it == active.end()) {
    ReleaseLateClaim(now, record, out);
    return;
  }
  Entry& entry = it->second;
  if (entry.machine.State() != RequestState::kClaiming) return;
  const Claim* claim = table.Find(entry.request.key);
  if ((claim != nullptr && claim->id == record.id) || !options.check_claim) {
    entry.machine.Process(RequestInput::kClaimWon);
    out.emplace_back(ReadyToDispatch{entry.request.request});
    return;
  }
  entry.machine.Process(RequestInput::kClaimLost);
  if (claim != nullptr) {
    BeginDuplicate(now, entry.request, claim, claim->fingerprint, out);
  } else {
    out.emplace_back(EffectRefusal{entry.request.request, KeyTooOld()});
  }
  Remove(record.id);
}

// No other process releases the claim, so the key would stay claimed until it expires.
void Impl::ReleaseLateClaim(const Now& now, const schema::ClaimRecord& record, EffectActions& out) {
  const EffectKey key{record.workspace, record.route, record.key};
  const Claim* claim = table.Find(key);
  if (claim == nullptr || claim->id != record.id) return;
  Entry& entry = active[record.id];
  entry.request = EffectRequest{{}, key, record.fingerprint};
  entry.claim = record.id;
  entry.machine.Process(RequestInput::kClaimWon);
  entry.machine.Process(RequestInput::kRefused);
  Release(now, entry, out);
}

void Impl::OnRecordRead(const RecordId& id) {
  const auto awaited = by_awaited.find(id);
  if (awaited == by_awaited.end()) return;
  const RecordId claim = awaited->second;
  const auto it = active.find(claim);
  if (it != active.end() && it->second.machine.Process(RequestInput::kRecordRead)) Remove(claim);
}

void Impl::OnAppendResult(const Now& now, const RecordId& id, AppendResult result,
                          EffectActions& out) {
  const auto it = by_awaited.find(id);
  if (it == by_awaited.end()) return;
  Entry& entry = active.at(it->second);
  switch (result) {
    case AppendResult::kAppended:
      entry.append = AppendState::kAppended;
      return;
    case AppendResult::kUnknown:
      entry.append = AppendState::kUnknown;
      return;
    case AppendResult::kNotAppended:
      entry.append = AppendState::kMissing;
      break;
  }
  if (entry.machine.State() != RequestState::kClaiming) return;
  RefuseUndispatched(now, entry,
                     NotRun(ErrorCode::kLogUnavailable,
                            "the claim of the idempotency key was not appended to the log",
                            std::chrono::seconds{1}),
                     out);
}

void Impl::MarkUnknownMissing() {
  for (auto& [claim, entry] : active) {
    if (entry.append == AppendState::kUnknown) entry.append = AppendState::kMissing;
  }
}

void Impl::ResendRecords(const Now& now, EffectActions& out) {
  if (!log_readable) return;
  for (auto& [claim, req] : active) {
    const RequestState state = req.machine.State();
    if (state != RequestState::kRecording && state != RequestState::kReleasing) continue;
    if (req.append != AppendState::kMissing || now.monotonic - req.sent < kResendInterval) continue;
    req.append = AppendState::kInFlight;
    req.sent = now.monotonic;
    out.emplace_back(AppendRecord{req.awaited, *req.record});
  }
}

void Impl::ExpireClaims(const Now& now, EffectActions& out) {
  std::vector<Entry*> late;
  for (auto& [claim, entry] : active) {
    if (now.monotonic - entry.claimed_at >= kDispatchTimeout) late.push_back(&entry);
  }
  for (Entry* entry : late) {
    const bool claiming = entry->machine.State() == RequestState::kClaiming;
    RefuseUndispatched(
        now, *entry,
        claiming ? NotRun(ErrorCode::kLogUnavailable, "the claim was not read back in time")
                 : NotRun(ErrorCode::kTimeout, "not dispatched within 5 s of the claim"),
        out);
  }
}

Impl::Entry* Impl::FindRequest(base::RequestId request) {
  const auto it = by_request.find(request);
  return it == by_request.end() ? nullptr : &active.at(it->second);
}

void Impl::RefuseUndispatched(const Now& now, Entry& entry, Error error, EffectActions& out) {
  const bool claimed = entry.machine.State() == RequestState::kReady;
  if (!entry.machine.Process(RequestInput::kRefused)) return;
  out.emplace_back(EffectRefusal{entry.request.request, std::move(error)});
  if (claimed) {
    Release(now, entry, out);
  } else {
    // The claim may still reach the log; ReleaseLateClaim() then releases it.
    Remove(RecordId(entry.claim));
  }
}

void Impl::Release(const Now& now, Entry& entry, EffectActions& out) {
  by_request.erase(entry.request.request);
  const auto& [workspace, route, key] = entry.request.key;
  const RecordId id = NewId();
  QueueAppend(now, entry, id, schema::ClaimReleased{id, workspace, route, key, entry.claim}, out);
}

void Impl::Record(const Now& now, Entry& entry, const Outcome& outcome, EffectActions& out) {
  by_request.erase(entry.request.request);
  const auto& [workspace, route, key] = entry.request.key;
  const RecordId id = NewId();
  const bool fits = outcome.body.size() <= kMaxOutcomeBytes;
  QueueAppend(now, entry, id,
              schema::OutcomeRecord{id, workspace, route, key, entry.claim,
                                    std::string(base::ToString(outcome.verdict)), outcome.status,
                                    fits ? outcome.body : std::string(kTooLargeBody)},
              out);
}

RecordId Impl::NewId() {
  return RecordId{options.instance.value + "." + std::to_string(options.incarnation.value) + ".e" +
                  std::to_string(++last_record_number)};
}

void Impl::QueueAppend(const Now& now, Entry& entry, RecordId id, schema::Record record,
                       EffectActions& out) {
  if (!entry.awaited.empty()) by_awaited.erase(entry.awaited);
  by_awaited[id] = entry.claim;
  entry.awaited = id;
  entry.append = AppendState::kInFlight;
  entry.sent = now.monotonic;
  // A claim is never resent; its request is refused instead.
  if (!std::holds_alternative<schema::ClaimRecord>(record)) entry.record = record;
  out.emplace_back(AppendRecord{std::move(id), std::move(record)});
}

void Impl::Remove(const RecordId& claim) {
  const auto it = active.find(claim);
  const Entry& entry = it->second;
  by_request.erase(entry.request.request);
  by_awaited.erase(entry.awaited);
  const auto key = by_key.find(entry.request.key);
  if (key != by_key.end() && key->second == claim) by_key.erase(key);
  active.erase(it);
}

std::string Impl::DebugState() const {
  std::string out = std::to_string(last_record_number) + (log_readable ? "+" : "-");
  out += last_call ? std::to_string(last_call->time_since_epoch().count()) : "";
  for (const auto& [claim, entry] : active) {
    out += "|" + claim.value + "," + entry.awaited.value + "," +
           std::to_string(entry.request.request.value) + "," +
           std::to_string(static_cast<int>(entry.machine.State())) + "," +
           std::to_string(static_cast<int>(entry.append)) + "," +
           std::to_string(entry.claimed_at.time_since_epoch().count()) + "," +
           std::to_string(entry.sent.time_since_epoch().count());
  }
  for (const auto& [key, duplicate] : duplicates) {
    out += "|repeat " + key.key + "," + std::to_string(duplicate.request.request.value) + "," +
           std::to_string(duplicate.since.time_since_epoch().count());
  }
  return out + "#" + table.Snapshot();
}

}  // namespace persimmonstair::effects
