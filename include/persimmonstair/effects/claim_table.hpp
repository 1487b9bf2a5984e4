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

/// Largest time by which an idempotency key may lie ahead of the claimant's wall clock.
inline constexpr std::chrono::seconds kMaxKeyLead{60};
/// Assumed bound on the difference between an instance's wall clock and the log's.
inline constexpr std::chrono::seconds kMaxClockSkew{60};

/// @brief An idempotency key with its scope.
struct EffectKey {
  base::WorkspaceId workspace;
  base::RouteId route;
  std::string key;

  auto operator<=>(const EffectKey&) const = default;
};

/// @brief Returns the time in a key of the form `<unix seconds>.<opaque>`, or kInvalidRequest. The
/// opaque part has 1 to 128 printable ASCII characters without spaces.
///
///     ParseKeyTime("1700000000.order-7")->time_since_epoch() == 1'700'000'000s
base::Result<base::WallTime> ParseKeyTime(std::string_view key);

/// @brief The recorded answer to a claimed request.
struct Outcome {
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  std::uint32_t status = 0;
  std::string body;
};

/// @brief The valid claim of a key: the right of one instance to dispatch the key's request.
struct Claim {
  /// Id and offset of the claim record.
  base::RecordId id;
  base::Offset offset;
  /// Hash of the request body.
  std::uint64_t fingerprint = 0;
  /// Instance that wrote the claim, and its process lifetime.
  base::InstanceId claimant;
  base::Incarnation incarnation;
  /// Empty until the outcome record has been read.
  std::optional<Outcome> outcome;
};

/// @brief Limits of a table. When one is exceeded, the keys with the oldest times are dropped, and
/// requests with them are refused.
struct ClaimLimits {
  std::size_t max_claims = 200'000;
  std::size_t max_bytes = std::size_t{16} << 20U;
};

/// @brief Claims and outcomes of idempotency keys, derived from the `claims` stream.
///
/// The state depends only on the records read so far and on the age of the oldest retained record.
/// All claims of a key whose time is not before Horizon() lie in the retained part of the stream,
/// so all readers agree on such a key. Records of older keys are ignored, and requests with older
/// keys must be refused.
///
///     table.Apply(offset, record);
///     const Claim* claim = table.Find(key);
class ClaimTable {
 public:
  explicit ClaimTable(ClaimLimits limits = {}) : limits_(limits) {}

  /// Applies one record and returns true if it was valid. Other types than claims, releases and
  /// outcomes change nothing and return false.
  bool Apply(base::Offset offset, const schema::Record& record);

  /// Discards keys whose records may have expired from the stream. `oldest_at` is the append time
  /// of the oldest retained record.
  void DiscardUnretained(base::WallTime oldest_at);

  /// Returns the valid claim of a key, or null if the key is free or its time is before Horizon().
  const Claim* Find(const EffectKey& key) const;

  /// Requests with a key of an earlier time are refused, because the stream may no longer retain
  /// its claims.
  base::WallTime Horizon() const { return horizon_; }

  std::size_t size() const { return claims_.size(); }
  /// Estimated heap bytes of the table.
  std::size_t Bytes() const { return bytes_; }
  /// Number of records that were skipped as invalid, repeated or too old.
  std::uint64_t Skipped() const { return skipped_; }

  /// JSON text of the whole state, equal for equal states. Peers that start during a log outage
  /// restore it.
  std::string Snapshot() const;
  /// Replaces the state by a snapshot. Returns kInvalidRequest for a malformed one and then leaves
  /// the state unchanged.
  base::Result<void> Restore(std::string_view snapshot);

 private:
  bool ApplyOne(base::Offset offset, const schema::ClaimRecord& record);
  bool ApplyOne(base::Offset offset, const schema::ClaimReleased& record);
  bool ApplyOne(base::Offset offset, const schema::OutcomeRecord& record);
  template <class T>
  bool ApplyOne(base::Offset /*offset*/, const T& /*other*/) {
    return false;
  }
  /// Stores the id of a record; false if it was stored before.
  bool MarkApplied(base::WallTime key_time, const base::RecordId& id);
  /// Returns false for a malformed key, a key before the horizon and a repeated record.
  bool AcceptRecord(const std::string& key, const base::RecordId& id);
  /// The entry of a key if its valid claim has this record id, otherwise end().
  std::map<EffectKey, Claim>::iterator FindClaim(const EffectKey& key, const base::RecordId& claim);
  void Erase(std::map<EffectKey, Claim>::iterator it);
  void RaiseHorizon(base::WallTime horizon);
  void EnforceLimits();

  ClaimLimits limits_;
  std::map<EffectKey, Claim> claims_;
  /// Claimed keys, ordered by the time in the key.
  std::set<std::pair<base::WallTime, EffectKey>> by_time_;
  /// Hashes of the ids of applied records, and the same ordered by the time in the record's key.
  std::unordered_set<std::uint64_t> applied_;
  std::set<std::pair<base::WallTime, std::uint64_t>> applied_by_time_;
  base::WallTime horizon_{};
  std::size_t bytes_ = 0;
  std::uint64_t skipped_ = 0;
};

}  // namespace persimmonstair::effects

#endif  // PERSIMMONSTAIR_EFFECTS_CLAIM_TABLE_HPP_
