#ifndef PERSIMMONSTAIR_EFFECTS_COORDINATOR_IMPL_HPP_
#define PERSIMMONSTAIR_EFFECTS_COORDINATOR_IMPL_HPP_

#include <map>
#include <optional>
#include <string>

#include "persimmonstair/effects/effect_coordinator.hpp"
#include "request_machine.hpp"

namespace persimmonstair::effects {

/// @brief State of a coordinator; the public functions are in effect_coordinator.cpp.
struct EffectCoordinator::Impl {
  /// What is known of the newest append of a record.
  enum class AppendState { kInFlight, kAppended, kMissing, kUnknown };

  struct Entry {
    EffectRequest request;
    base::RecordId claim;
    RequestMachine machine;
    /// Before the claim was sent.
    base::TimePoint claimed_at;
    /// The claim, outcome or release record that is to be read back.
    base::RecordId awaited;
    std::optional<schema::Record> record;
    AppendState append_state = AppendState::kInFlight;
    base::TimePoint sent_at;
  };

  /// A request whose key is claimed by another request that has no recorded outcome yet.
  struct DuplicateRequest {
    EffectRequest request;
    base::TimePoint since;
  };

  explicit Impl(EffectOptions given) : options(std::move(given)), table(options.limits) {}

  /// Notes the time; after a pause, nothing that was permitted before it may be dispatched.
  void DetectPause(const base::Now& now, EffectActions& out);
  void Begin(const base::Now& now, const EffectRequest& request, EffectActions& out);
  void OnClaimRead(const base::Now& now, const schema::ClaimRecord& record, EffectActions& out);
  void OnRecordRead(const base::RecordId& id);
  void OnAppendResult(const base::Now& now, const base::RecordId& id, AppendResult result,
                      EffectActions& out);
  /// A read to the end of the stream did not show records whose append answer was lost.
  void MarkUnknownMissing();
  void ResendRecords(const base::Now& now, EffectActions& out);
  void ExpireClaims(const base::Now& now, EffectActions& out);
  Entry* FindRequest(base::RequestId request);
  /// Ends a request that was never dispatched; frees the key if its claim is in the log.
  void RefuseUndispatched(const base::Now& now, Entry& entry, base::Error error,
                          EffectActions& out);
  void Release(const base::Now& now, Entry& entry, EffectActions& out);
  void Record(const base::Now& now, Entry& entry, const Outcome& outcome, EffectActions& out);
  std::string DebugState() const;

  /// Answers a request whose key is claimed by another request, or keeps it until the outcome is
  /// recorded. `claim` is null while the other request's claim is not read back.
  void BeginDuplicate(const base::Now& now, const EffectRequest& request, const Claim* claim,
                      std::uint64_t fingerprint, EffectActions& out);
  /// Answers the kept repeats of a key once its claim has an outcome or is gone.
  void AnswerDuplicates(const EffectKey& key, EffectActions& out);
  void ExpireDuplicates(const base::Now& now, EffectActions& out);
  /// Ends a kept repeat; false if the request is none.
  bool WithdrawDuplicate(base::RequestId request, EffectActions& out);
  std::optional<base::Error> CheckAdmission(const base::Now& now, const EffectRequest& request);
  base::RecordId NewId();
  void QueueAppend(const base::Now& now, Entry& entry, base::RecordId id, schema::Record record,
                   EffectActions& out);
  void ReleaseLateClaim(const base::Now& now, const schema::ClaimRecord& record,
                        EffectActions& out);
  void RemoveRequest(const base::RecordId& claim);

  EffectOptions options;
  ClaimTable table;
  /// Live requests by the id of their claim record.
  std::map<base::RecordId, Entry> active_requests;
  std::map<base::RequestId, base::RecordId> by_request;
  /// Claims by the id of the record that is to be read back.
  std::map<base::RecordId, base::RecordId> by_awaited;
  std::map<EffectKey, base::RecordId> by_key;
  std::multimap<EffectKey, DuplicateRequest> duplicates;
  std::uint64_t next_record = 0;
  std::optional<base::TimePoint> last_call;
  bool log_readable = false;
};

}  // namespace persimmonstair::effects

#endif  // PERSIMMONSTAIR_EFFECTS_COORDINATOR_IMPL_HPP_
