#ifndef PERSIMMONSTAIR_DISPATCH_TARGET_REGISTRY_HPP_
#define PERSIMMONSTAIR_DISPATCH_TARGET_REGISTRY_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// @brief A target as the platform's list states it.
struct TargetEntry {
  base::TargetId id;
  base::ServiceId service;
  Endpoint endpoint;
  base::DataCentreId data_centre;
  /// Requests that it runs at once.
  std::uint32_t slots = 1;
  bool draining = false;
  /// Unix milliseconds of its start; a later start under the same id knows nothing of the earlier.
  std::int64_t started_ms = 0;
};

/// @brief Load that a target states in its answers.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// @brief One part of a prompt that targets may have in memory.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// @brief What a request asks of a target.
struct TargetCriteria {
  base::ServiceId service;
  /// Targets that this request was already sent to.
  std::vector<base::TargetId> tried;
  /// Parts of its prompt in order; empty for plain services.
  std::vector<PromptPart> prompt;
  /// Requests with the same value run faster at the same target; may be empty.
  std::string affinity;
};

/// @brief How an attempt at a target ended.
enum class AttemptResult {
  kAnswered,
  /// The target said that it did not run the request.
  kRejected,
  /// No connection within the time-out.
  kUnreachable,
  /// The connection broke or stayed silent after the request was sent, or the answer was no answer.
  kBroken,
  /// The caller left.
  kCancelled,
};

/// @brief Targets of all services and the choice among them, as one instance sees them.
///
/// The load that others put on a target is known from its last answer, and less so the older that
/// is; the own load is exact.
///
///     board.Upsert(now, entry);
///     if (auto target = board.Choose(now, demand)) {
///       board.BeginAttempt(now, target->id, demand);
///       board.EndAttempt(now, target->id, AttemptResult::kAnswered, load);
///     }
class TargetRegistry {
 public:
  explicit TargetRegistry(base::DataCentreId local_data_centre)
      : local_data_centre_(std::move(local_data_centre)) {}

  void Upsert(base::TimePoint now, const TargetEntry& entry);
  void Remove(const base::TargetId& id);
  std::vector<base::TargetId> Ids() const;

  /// The best target that takes new requests, or nothing if there is none beside those tried.
  std::optional<TargetEntry> Choose(base::TimePoint now, const TargetCriteria& criteria) const;

  /// True if a target of the service takes new requests, tried or not.
  bool HasTarget(const base::ServiceId& service) const;

  void BeginAttempt(base::TimePoint now, const base::TargetId& id, const TargetCriteria& criteria);
  void EndAttempt(base::TimePoint now, const base::TargetId& id, AttemptResult end,
                  const std::optional<ReportedLoad>& load);

  const TargetEntry* Find(const base::TargetId& id) const;
  std::size_t size() const { return targets_.size(); }
  /// Attempts of this instance that run at the target.
  std::uint32_t InFlight(const base::TargetId& id) const;

 private:
  struct Target {
    TargetEntry entry;
    std::uint32_t in_flight = 0;
    /// Load of other instances at `load_at`.
    double other_load = 0;
    base::TimePoint load_at;
    bool load_known = false;
    base::TimePoint avoid_until;
    /// Part of the recent attempts that broke.
    double failure_rate = 0;
    /// Prompt parts and affinity values sent there, with the time of the last use.
    std::unordered_map<std::string, base::TimePoint> last_used;
  };

  double Cost(base::TimePoint now, const Target& target, const TargetCriteria& criteria) const;
  void RecordUse(base::TimePoint now, Target& target, const TargetCriteria& criteria);

  base::DataCentreId local_data_centre_;
  std::map<base::TargetId, Target> targets_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_TARGET_REGISTRY_HPP_
