#ifndef PERSIMMONSTAIR_EFFECTS_EFFECT_COORDINATOR_HPP_
#define PERSIMMONSTAIR_EFFECTS_EFFECT_COORDINATOR_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/effects/claim_table.hpp"
#include "persimmonstair/schema/records.hpp"

namespace persimmonstair::effects {

/// Longest time from sending a claim to dispatching its request, on the claimant's clock.
inline constexpr std::chrono::seconds kDispatchTimeout{5};
/// Longest time that a duplicate request waits for the outcome of the request that holds the claim
/// of its key. An outcome that is in the log reaches every reader well within this time.
inline constexpr std::chrono::seconds kMaxOutcomeWait{2};
/// A longer time between two calls of the coordinator is treated as a pause of the process.
inline constexpr std::chrono::seconds kPauseThreshold{2};
/// Time between two appends of the same outcome or release record while it is not in the log.
inline constexpr std::chrono::milliseconds kResendInterval{500};
/// Largest body of a recorded outcome. For a longer answer, the record has its status and an error
/// as the body.
inline constexpr std::size_t kMaxOutcomeBytes = std::size_t{64} << 10U;

/// @brief A caller's non-idempotent request.
struct EffectRequest {
  base::RequestId request;
  EffectKey key;
  /// Hash of the body, for example FingerprintBody(body).
  std::uint64_t fingerprint = 0;
};

/// @brief xxHash64 of a request body.
std::uint64_t FingerprintBody(std::string_view body);

/// @brief Append this record to the `claims` stream and report the result to OnAppendResult().
struct AppendRecord {
  base::RecordId id;
  schema::Record record;
};

/// @brief The claim of the request is valid: choose a target, and call ConfirmDispatch() just
/// before sending the request.
struct ReadyToDispatch {
  base::RequestId request;
};

/// @brief Send this answer to the caller.
struct EffectAnswer {
  base::RequestId request;
  std::uint32_t status = 0;
  std::string body;
  base::Verdict verdict = base::Verdict::kRan;
  /// True if the answer is the recorded one of an earlier request with the same key.
  bool replayed = false;
};

/// @brief Send this error to the caller.
struct EffectRefusal {
  base::RequestId request;
  base::Error error;
};

using EffectAction = std::variant<AppendRecord, ReadyToDispatch, EffectAnswer, EffectRefusal>;
using EffectActions = std::vector<EffectAction>;

/// @brief Result of an append to the log; kUnknown if no answer arrived.
enum class AppendResult { kAppended, kNotAppended, kUnknown };

/// @brief Identity and limits of an effect coordinator.
struct EffectOptions {
  base::InstanceId instance;
  base::Incarnation incarnation;
  /// Largest number of active requests and waiting duplicates; further requests are refused with
  /// kOverloaded.
  std::size_t max_requests = 10'000;
  ClaimLimits limits{};
  /// False dispatches without checking the claim table. Only for the model check, which must detect
  /// the second dispatch that this permits.
  bool check_claim = true;
};

/// @brief Runs the non-idempotent requests of one instance, so that each idempotency key is
/// dispatched at most once in the whole fleet.
///
/// A request is dispatched only after its claim record was read back from the `claims` stream and
/// is the valid claim of the key. Its answer is appended to the same stream as an outcome record;
/// later requests with the key receive the recorded answer.
///
/// The user of this class passes each record of the stream to OnRecord() in offset order and calls
/// OnReadEnd() after each read. A request for which ConfirmDispatch() never returned true has not
/// run.
///
///     for (auto& action : coordinator.Begin(now, request)) Perform(action);
class EffectCoordinator {
 public:
  /// Defined in coordinator_impl.hpp among the library's sources.
  struct Impl;

  explicit EffectCoordinator(EffectOptions options);
  EffectCoordinator(const EffectCoordinator& other);
  EffectCoordinator& operator=(const EffectCoordinator& other);
  EffectCoordinator(EffectCoordinator&&) noexcept;
  EffectCoordinator& operator=(EffectCoordinator&&) noexcept;
  ~EffectCoordinator();

  /// Starts a caller's request. Invalid keys, keys that were used with another body and requests
  /// during a log outage are refused at once. A duplicate of a claimed request waits up to
  /// kMaxOutcomeWait for the recorded outcome.
  EffectActions Begin(const base::Now& now, const EffectRequest& request);

  /// Applies one record of the `claims` stream; calls must follow offset order.
  EffectActions OnRecord(const base::Now& now, base::Offset offset, const schema::Record& record);

  /// Reports a completed read: the oldest retained record, and whether the read reached the end of
  /// the stream.
  EffectActions OnReadEnd(const base::Now& now, base::Offset oldest, base::WallTime oldest_at,
                          bool at_end);

  /// Reports that the log cannot be read; new requests are refused until the next OnReadEnd().
  EffectActions OnReadFailed(const base::Now& now);

  /// Reports the result of an AppendRecord action. Unknown record ids are ignored.
  EffectActions OnAppendResult(const base::Now& now, const base::RecordId& id, AppendResult result);

  /// Returns whether the request may be sent to a target now; true is returned at most once for a
  /// request. After false the request must not be sent, and if this call ended it, `actions`
  /// contain the caller's answer.
  bool ConfirmDispatch(const base::Now& now, base::RequestId request, EffectActions& actions);

  /// Ends a request that will not be dispatched, for example because there is no target. Its error
  /// is sent to the caller with the verdict kNotRun; a waiting duplicate gets kOutcomeUnknown
  /// instead. Without effect after ConfirmDispatch() returned true.
  EffectActions Withdraw(const base::Now& now, base::RequestId request, base::Error error);

  /// Reports the target's complete answer, which is sent to the caller and recorded as the outcome.
  EffectActions OnDone(const base::Now& now, base::RequestId request, std::uint32_t status,
                       std::string body);

  /// Reports a failed attempt. The verdict kNotRun releases the key; with any other verdict the
  /// error is recorded as the outcome.
  EffectActions OnFailed(const base::Now& now, base::RequestId request, const base::Error& error);

  /// Handles timeouts and resends records; call it more often than kPauseThreshold.
  EffectActions OnTick(const base::Now& now);

  const ClaimTable& Table() const;
  /// Replaces the claim table by a peer's snapshot, for a start during a log outage.
  base::Result<void> RestoreTable(std::string_view snapshot);
  /// Number of requests that wait for dispatch, for an answer or for their record in the log.
  std::size_t Live() const;
  /// Text of the whole state, equal for equal states; for tests.
  std::string DebugState() const;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::effects

#endif  // PERSIMMONSTAIR_EFFECTS_EFFECT_COORDINATOR_HPP_
