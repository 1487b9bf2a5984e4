#ifndef PERSIMMONSTAIR_EFFECTS_CLAIM_TABLE_HPP_
#define PERSIMMONSTAIR_EFFECTS_CLAIM_TABLE_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/schema/records.hpp"

namespace persimmonstair::effects {

/// Largest lead of an idempotency key's time over the claimant's clock.
inline constexpr std::chrono::seconds kMaxKeyLead{60};
/// Assumed bound on the difference between an instance's wall clock and the log's.
inline constexpr std::chrono::seconds kMaxClockSkew{60};

/// @brief Scope and text of an idempotency key.
struct EffectKey {
  base::WorkspaceId workspace;
  base::RouteId route;
  std::string key;

  auto operator<=>(const EffectKey&) const = default;
};

/// @brief The time in a key of the form `<unix seconds>.<opaque>`, or kInvalidRequest. The opaque
/// part has 1 to 128 printable characters without spaces.
///
///     ParseKeyTime("1700000000.order-7")->time_since_epoch() == 1'700'000'000s
base::Result<base::WallTime> ParseKeyTime(std::string_view key);

/// @brief The answer that a claimed request got.
struct Outcome {
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  std::uint32_t status = 0;
  std::string body;
};

/// @brief The valid claim of a key.
struct Claim {
  base::RecordId id;
  base::Offset offset;
  std::uint64_t fingerprint = 0;
  base::InstanceId claimant;
  base::Incarnation incarnation;
  std::optional<Outcome> outcome;
};

/// @brief Bounds of a table. Beyond them the keys with the oldest times are dropped and refused.
struct ClaimLimits {
  std::size_t max_claims = 200'000;
  std::size_t max_bytes = std::size_t{16} << 20U;
};

/// @brief Claims and outcomes as a pure function of the retained prefix of the `claims` stream.
///
/// All claims of a key whose time is not before Horizon() lie in the retained part of the stream,
/// so all readers agree on it. Records of older keys are ignored and the keys must be refused.
///
///     table.Apply(offset, record);
///     const Claim* claim = table.Find(key);
class ClaimTable {
 public:
  explicit ClaimTable(ClaimLimits limits = {}) : limits_(limits) {}

  /// Applies one record; records of other types change nothing. Returns true if it was valid.
  bool Apply(base::Offset offset, const schema::Record& record);

  /// Forgets what may no longer be retained. `oldest_at` is the append time of the oldest record.
  void DiscardUnretained(base::WallTime oldest_at);

  /// The valid claim of a key, or null if the key is free or before the horizon.
  const Claim* Find(const EffectKey& key) const;

  /// Keys with an earlier time are refused, because claims of them may no longer be retained.
  base::WallTime Horizon() const { return horizon_; }

  std::size_t size() const { return claims_.size(); }
  /// Estimated heap bytes of the table.
  std::size_t Bytes() const { return bytes_; }
  /// Records that were skipped as invalid, repeated or too old.
  std::uint64_t Skipped() const { return skipped_; }

  /// JSON text of the whole state, equal for equal states; for peers that start during an outage.
  std::string Snapshot() const;
  /// Replaces the state by a snapshot; kInvalidRequest leaves the state unchanged.
  base::Result<void> Restore(std::string_view snapshot);

 private:
  bool ApplyOne(base::Offset offset, const schema::ClaimRecord& record);
  bool ApplyOne(base::Offset offset, const schema::ClaimReleased& record);
  bool ApplyOne(base::Offset offset, const schema::OutcomeRecord& record);
  template <class T>
  bool ApplyOne(base::Offset /*offset*/, const T& /*other*/) {
    return false;
  }
  bool MarkApplied(base::WallTime key_time, const base::RecordId& id);
  bool AcceptRecord(const std::string& key, const base::RecordId& id);
  std::map<EffectKey, Claim>::iterator FindClaim(const EffectKey& key, const base::RecordId& claim);
  void Erase(std::map<EffectKey, Claim>::iterator it);
  void RaiseHorizon(base::WallTime horizon);
  void EnforceLimits();

  ClaimLimits limits_;
  std::map<EffectKey, Claim> claims_;
  /// Orders claims by the time in the key for retention.
  std::set<std::pair<base::WallTime, EffectKey>> by_time_;
  /// Hashes of the ids of read records, and the same ordered by the time in the record's key.
  std::unordered_set<std::uint64_t> applied_;
  std::set<std::pair<base::WallTime, std::uint64_t>> applied_by_time_;
  base::WallTime horizon_{};
  std::size_t bytes_ = 0;
  std::uint64_t skipped_ = 0;
};

}  // namespace persimmonstair::effects

#endif  // PERSIMMONSTAIR_EFFECTS_CLAIM_TABLE_HPP_
