#ifndef PERSIMMONSTAIR_SRC_GATEWAY_CRASH_RECORDS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_CRASH_RECORDS_HPP_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/gateway/record_store.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::gateway {

/// Number of crashed targets after which no instance sends a request again.
inline constexpr std::size_t kMaxCrashedTargets = 3;
/// Keys of the records of crashes begin with this.
inline constexpr std::string_view kCrashKeyPrefix = "crash/";

/// @brief The targets that crashed while they ran a request, by the request's fingerprint, as all
/// instances together have seen them.
///
/// A target that crashes ends all requests that it runs, so that most of them aren't the cause. A
/// request that crashes every target is never answered: one that is answered is cleared, and the
/// records of its crashes are deleted for all instances.
///
///     records.Report(now_ms, fingerprint, target);
///     Append(records.TakeUnsent());
///     if (records.IsPoison(fingerprint)) Refuse();
class CrashRecords {
 public:
  /// Records that a target crashed while it ran the request.
  void Report(std::int64_t now_ms, std::uint64_t fingerprint, const base::TargetId& target);
  /// Records that a target answered the request. Returns true if crashes of it were known.
  bool OnAnswered(std::uint64_t fingerprint);
  /// True if the request crashed kMaxCrashedTargets targets or more and must not be sent again.
  bool IsPoison(std::uint64_t fingerprint) const;

  /// True if a target crashed while it ran the request.
  bool IsSuspected(std::uint64_t fingerprint) const { return crashes_.contains(fingerprint); }

  /// Applies a record of another instance.
  void Apply(const schema::CrashReport& report);
  /// Applies the deletion of a record. Ignores keys that don't name a crash.
  void ApplyDeletion(std::string_view key);

  /// Returns the records to append, oldest first; they count as sent.
  std::vector<KeyedRecord> TakeUnsent();
  /// Takes records back whose append failed.
  void PutBack(std::vector<KeyedRecord> records);

  /// Forgets crashes that expired before `now_ms` (Unix milliseconds).
  void Expire(std::int64_t now_ms);

 private:
  /// Targets crashed by one request.
  struct Crashes {
    std::set<base::TargetId> targets;
    /// Unix milliseconds.
    std::int64_t expires_ms = 0;
  };

  std::map<std::uint64_t, Crashes> crashes_;
  std::vector<KeyedRecord> unsent_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_CRASH_RECORDS_HPP_
