#ifndef PERSIMMONSTAIR_CATALOGUE_ENTRIES_HPP_
#define PERSIMMONSTAIR_CATALOGUE_ENTRIES_HPP_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::catalogue {

/// @brief Owner of an entry, and its class in reports.
struct Ownership {
  /// Party that is responsible for the entry.
  std::string owner;
  /// Label of histograms and reports, for example "interactive".
  std::string entry_class;
};

/// @brief A tenant and its limits, which apply to the whole fleet.
struct Workspace {
  base::WorkspaceId id;
  Ownership ownership;
  /// Requests per second that are admitted on average: the refill rate of a token bucket.
  double rate_per_s = 0;
  /// Largest number of requests that are admitted at once: the capacity of the token bucket.
  double burst = 0;
  /// Relative share of engine time under contention.
  double weight = 1;
  /// Largest token budget of a program; also the budget if the caller sets none.
  std::int64_t program_budget_tokens = 0;
  /// Largest number of programs that are open at the same time.
  std::uint32_t max_programs = 0;
};

enum class KeyRole { kCaller, kOperator };

/// @brief A caller's or operator's API key, stored as its SHA-256 digest.
struct Key {
  base::KeyId id;
  Ownership ownership;
  /// Empty for an operator's key.
  base::WorkspaceId workspace;
  KeyRole role = KeyRole::kCaller;
  std::array<std::uint8_t, 32> sha256{};
};

/// @brief A model that engines serve.
struct Model {
  base::ModelId id;
  Ownership ownership;
  /// Largest context in tokens.
  std::int64_t context_tokens = 0;
  /// Largest number of completion tokens when the caller sets no limit.
  std::int64_t default_max_tokens = 0;
};

enum class TargetKind { kEngine, kService };
/// A leaving target gets no new requests.
enum class TargetState { kActive, kLeaving };

/// @brief A back end: a model engine or a plain service.
struct Target {
  base::TargetId id;
  Ownership ownership;
  TargetKind kind = TargetKind::kEngine;
  base::DataCentreId data_centre;
  /// IP address.
  std::string address;
  std::uint32_t port = 0;
  /// Name of the credential that the scheduler sends to this target; empty for none.
  std::string credential;
  /// True if an engine refuses orders, such as loading a model, whose fencing number is lower than
  /// the highest one that it received. Such orders come from an earlier holder of the order lease.
  bool checks_fencing = false;
  TargetState state = TargetState::kActive;
  /// Number of requests that are sent to the target concurrently; further ones are queued.
  std::uint32_t slots = 1;
  /// Models that an engine serves.
  std::vector<base::ModelId> models;
  /// Routes that a service serves.
  std::vector<base::RouteId> routes;
  /// Speed of an engine: prefill tokens per second, and decode tokens per second of one request.
  double prefill_tokens_per_s = 8000;
  double decode_tokens_per_s = 40;
};

/// @brief A path at which plain services serve requests.
struct Route {
  base::RouteId id;
  Ownership ownership;
  /// True if callers need no key.
  bool open = false;
  /// True if a call whose outcome is unknown may be sent again.
  bool idempotent = true;
  /// Longest wait for the first byte of the target's response.
  base::Duration timeout{0};
  std::string method = "POST";
  /// URL path at the target.
  std::string path;
};

/// @brief An instance that may register in the fleet.
struct Instance {
  base::InstanceId id;
  Ownership ownership;
  base::DataCentreId data_centre;
  /// Reserved share of every workspace's limits, which the instance may use without a lease, in
  /// millionths.
  std::uint32_t floor_ppm = 0;
};

/// Largest sum of all instances' reserved shares, in millionths of a workspace's limits.
inline constexpr std::uint32_t kReservedSharePoolPpm = 200'000;
/// Part of a workspace's limits that instances with a lease divide among themselves, in millionths.
/// Together with the reserved shares it makes up the whole limit.
inline constexpr std::uint32_t kLeasedPoolPpm = 800'000;

}  // namespace persimmonstair::catalogue

#endif  // PERSIMMONSTAIR_CATALOGUE_ENTRIES_HPP_
