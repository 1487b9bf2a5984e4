#ifndef PERSIMMONSTAIR_EFFECTS_COORDINATOR_IMPL_HPP_
#define PERSIMMONSTAIR_EFFECTS_COORDINATOR_IMPL_HPP_

#include <map>
#include <optional>
#include <string>

#include "persimmonstair/effects/effect_coordinator.hpp"
#include "request_machine.hpp"

namespace persimmonstair::effects {

/// @brief State and private functions of an effect coordinator; the public functions are in
/// effect_coordinator.cpp.
struct EffectCoordinator::Impl {
  /// Whether the newest append of a record took effect. kMissing: the record is not in the log, as
  /// reported by the log or found by reading to its end. kUnknown: no answer arrived.
  enum class AppendState { kInFlight, kAppended, kMissing, kUnknown };

  /// An active request, which holds or wants the claim of its key.
  struct Entry {
    EffectRequest request;
    /// Id of the claim record.
    base::RecordId claim;
    RequestMachine machine;
    /// Time just before the claim was sent.
    base::TimePoint claimed_at;
    /// Id of the claim, outcome or release record that is to be read back.
    base::RecordId awaited;
    /// The awaited outcome or release record, for resending; empty for a claim.
    std::optional<schema::Record> record;
    /// State and time of the newest append of the awaited record.
    AppendState append = AppendState::kInFlight;
    base::TimePoint sent;
  };

  /// A request that waits because its key is claimed by another request without a recorded outcome.
  struct DuplicateRequest {
    EffectRequest request;
    base::TimePoint since;
  };

  explicit Impl(EffectOptions given) : options(std::move(given)), table(options.limits) {}

  /// Stores the time of this call. After a pause of the process, refuses all requests that have not
  /// been dispatched, because their permission to dispatch may be outdated.
  void DetectPause(const base::Now& now, EffectActions& out);
  void Begin(const base::Now& now, const EffectRequest& request, EffectActions& out);
  void OnClaimRead(const base::Now& now, const schema::ClaimRecord& record, EffectActions& out);
  void OnRecordRead(const base::RecordId& id);
  void OnAppendResult(const base::Now& now, const base::RecordId& id, AppendResult result,
                      EffectActions& out);
  /// Marks records with an unknown append result as missing, because a read reached the end of the
  /// stream without them.
  void MarkUnknownMissing();
  /// Appends missing outcome and release records again, each at most every kResendInterval.
  void ResendRecords(const base::Now& now, EffectActions& out);
  /// Refuses requests that were not dispatched within kDispatchTimeout of their claim.
  void ExpireClaims(const base::Now& now, EffectActions& out);
  Entry* FindRequest(base::RequestId request);
  /// Ends a request that was not dispatched, and releases its key if its claim has been read back.
  /// Other requests are not changed.
  void RefuseUndispatched(const base::Now& now, Entry& entry, base::Error error,
                          EffectActions& out);
  /// Appends the release record of a request's claim.
  void Release(const base::Now& now, Entry& entry, EffectActions& out);
  /// Appends the outcome record of a request.
  void Record(const base::Now& now, Entry& entry, const Outcome& outcome, EffectActions& out);
  std::string DebugState() const;

  /// Answers a request whose key is claimed by another request, or keeps it until the outcome is
  /// recorded. `claim` is null while the other request's claim has not been read back;
  /// `fingerprint` is the other request's.
  void BeginDuplicate(const base::Now& now, const EffectRequest& request, const Claim* claim,
                      std::uint64_t fingerprint, EffectActions& out);
  /// Answers the waiting duplicates of a key if its claim has an outcome or was released.
  void AnswerDuplicates(const EffectKey& key, EffectActions& out);
  void ExpireDuplicates(const base::Now& now, EffectActions& out);
  /// Ends a waiting duplicate; returns false if the request is not a waiting duplicate.
  bool WithdrawDuplicate(base::RequestId request, EffectActions& out);
  /// Returns the reason to refuse a new request, or nothing.
  std::optional<base::Error> CheckAdmission(const base::Now& now, const EffectRequest& request);
  base::RecordId NewId();
  /// Emits an AppendRecord action and makes the record the awaited one of the request.
  void QueueAppend(const base::Now& now, Entry& entry, base::RecordId id, schema::Record record,
                   EffectActions& out);
  /// Releases a claim of this process that reached the log after its request had ended.
  void ReleaseLateClaim(const base::Now& now, const schema::ClaimRecord& record,
                        EffectActions& out);
  void Remove(const base::RecordId& claim);

  EffectOptions options;
  ClaimTable table;
  /// Active requests by the id of their claim record.
  std::map<base::RecordId, Entry> active;
  std::map<base::RequestId, base::RecordId> by_request;
  /// Ids of claim records by the id of the awaited record.
  std::map<base::RecordId, base::RecordId> by_awaited;
  std::map<EffectKey, base::RecordId> by_key;
  std::multimap<EffectKey, DuplicateRequest> duplicates;
  /// Number in the id of the last record.
  std::uint64_t last_record_number = 0;
  std::optional<base::TimePoint> last_call;
  /// False until the first read and after a failed one.
  bool log_readable = false;
};

}  // namespace persimmonstair::effects

#endif  // PERSIMMONSTAIR_EFFECTS_COORDINATOR_IMPL_HPP_
