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

/// Longest time from sending a claim to dispatch, on the claimant's clock.
inline constexpr std::chrono::seconds kDispatchTimeout{5};
/// Longest time that a repeated key waits for the outcome of the request that holds its claim; an
/// outcome that is in the log reaches every reader well within it.
inline constexpr std::chrono::seconds kMaxOutcomeWait{2};
/// A gap between two calls above this counts as a pause of the process.
inline constexpr std::chrono::seconds kPauseThreshold{2};
/// Time between repetitions of an outcome or release record that is not in the log yet.
inline constexpr std::chrono::milliseconds kResendInterval{500};
/// Largest recorded body of an outcome; a longer answer is recorded by status only.
inline constexpr std::size_t kMaxOutcomeBytes = std::size_t{64} << 10U;

/// @brief A non-idempotent call that a caller asks for.
struct EffectRequest {
  base::RequestId request;
  EffectKey key;
  /// Hash of the body, for example FingerprintBody(body).
  std::uint64_t fingerprint = 0;
};

/// @brief xxHash64 of a request body.
std::uint64_t FingerprintBody(std::string_view body);

/// @brief Append this record to the `claims` stream and report by OnAppendResult().
struct AppendRecord {
  base::RecordId id;
  schema::Record record;
};

/// @brief The claim is valid: choose a target and call ConfirmDispatch() just before sending.
struct ReadyToDispatch {
  base::RequestId request;
};

/// @brief Give the caller this answer.
struct EffectAnswer {
  base::RequestId request;
  std::uint32_t status = 0;
  std::string body;
  base::Verdict verdict = base::Verdict::kRan;
  /// True if the answer is the recorded one of an earlier request with the same key.
  bool replayed = false;
};

/// @brief Give the caller this error.
struct EffectRefusal {
  base::RequestId request;
  base::Error error;
};

using EffectAction = std::variant<AppendRecord, ReadyToDispatch, EffectAnswer, EffectRefusal>;
using EffectActions = std::vector<EffectAction>;

enum class AppendResult { kAppended, kNotAppended, kUnknown };

/// @brief Identity and bounds of a coordinator.
struct EffectOptions {
  base::InstanceId instance;
  base::Incarnation incarnation;
  /// Live requests; further ones are refused with kOverloaded.
  std::size_t max_requests = 10'000;
  ClaimLimits limits{};
  /// False dispatches without looking at the claim table. Only for tests that show that the
  /// checks detect the fault.
  bool check_claim = true;
};

/// @brief Runs the non-idempotent requests of one instance, each at most once over the fleet.
///
/// The caller of this class passes each record of the `claims` stream in offset order, then
/// OnReadEnd(). A request that never got ConfirmDispatch() == true has not run.
///
///     for (auto& action : coordinator.Begin(now, request)) Perform(action);
class EffectCoordinator {
 public:
  /// Defined in the library's sources.
  struct Impl;

  explicit EffectCoordinator(EffectOptions options);
  EffectCoordinator(const EffectCoordinator& other);
  EffectCoordinator& operator=(const EffectCoordinator& other);
  EffectCoordinator(EffectCoordinator&&) noexcept;
  EffectCoordinator& operator=(EffectCoordinator&&) noexcept;
  ~EffectCoordinator();

  /// A caller's request. Bad keys, keys used with another body and log outages are answered at
  /// once. A repeat waits up to kMaxOutcomeWait for the recorded outcome.
  EffectActions Begin(const base::Now& now, const EffectRequest& request);

  /// One record of the `claims` stream; calls must follow offset order.
  EffectActions OnRecord(const base::Now& now, base::Offset offset, const schema::Record& record);

  /// A read ended: what is retained, and whether the read reached the end of the stream.
  EffectActions OnReadEnd(const base::Now& now, base::Offset oldest, base::WallTime oldest_at,
                          bool at_end);

  /// The log cannot be read; new requests are refused until the next OnReadEnd().
  EffectActions OnReadFailed(const base::Now& now);

  EffectActions OnAppendResult(const base::Now& now, const base::RecordId& id, AppendResult result);

  /// Asks for permission to send the request to a target now. True is given at most once; after
  /// false the request is over and `actions` say what the caller gets.
  bool ConfirmDispatch(const base::Now& now, base::RequestId request, EffectActions& actions);

  /// The request will not be dispatched, for example because there is no target. Its error must
  /// have the verdict kNotRun. Without effect after ConfirmDispatch().
  EffectActions Withdraw(const base::Now& now, base::RequestId request, base::Error error);

  /// The target's whole answer.
  EffectActions OnDone(const base::Now& now, base::RequestId request, std::uint32_t status,
                       std::string body);

  /// The attempt failed. kNotRun frees the key again; other verdicts are recorded as an outcome.
  EffectActions OnFailed(const base::Now& now, base::RequestId request, const base::Error& error);

  EffectActions OnTick(const base::Now& now);

  const ClaimTable& Table() const;
  /// Replaces the table by a peer's, for a start during a log outage.
  base::Result<void> RestoreTable(std::string_view snapshot);
  /// Requests whose records are not settled yet.
  std::size_t Live() const;
  /// Text of the whole state, equal for equal states; for tests.
  std::string DebugState() const;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::effects

#endif  // PERSIMMONSTAIR_EFFECTS_EFFECT_COORDINATOR_HPP_
