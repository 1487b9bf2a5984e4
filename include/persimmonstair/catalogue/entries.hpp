#ifndef PERSIMMONSTAIR_CATALOGUE_ENTRIES_HPP_
#define PERSIMMONSTAIR_CATALOGUE_ENTRIES_HPP_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::catalogue {

/// @brief Who is responsible for an entry and how it is treated in reports.
struct Ownership {
  std::string owner;
  /// Label of histograms and reports, for example "interactive".
  std::string entry_class;
};

/// @brief A tenant and its limits over the whole fleet.
struct Workspace {
  base::WorkspaceId id;
  Ownership ownership;
  /// Requests per second.
  double rate_per_s = 0;
  /// Requests that may come at once.
  double burst = 0;
  /// Relative share of engine time under contention.
  double weight = 1;
  /// Token budget of a program that states none.
  std::int64_t program_budget_tokens = 0;
  std::uint32_t max_programs = 0;
};

enum class KeyRole { kCaller, kOperator };

/// @brief A caller's or operator's key, stored as its SHA-256.
struct Key {
  base::KeyId id;
  Ownership ownership;
  /// Empty for an operator's key.
  base::WorkspaceId workspace;
  KeyRole role = KeyRole::kCaller;
  std::array<std::uint8_t, 32> sha256{};
};

struct Model {
  base::ModelId id;
  Ownership ownership;
  std::int64_t context_tokens = 0;
  /// Completion limit when the caller states none.
  std::int64_t default_max_tokens = 0;
};

enum class TargetKind { kEngine, kService };
enum class TargetState { kActive, kLeaving };

/// @brief A back end.
struct Target {
  base::TargetId id;
  Ownership ownership;
  TargetKind kind = TargetKind::kEngine;
  base::DataCentreId data_centre;
  /// IP address.
  std::string address;
  std::uint32_t port = 0;
  /// Name of the scheduler's credential for this target; empty for none.
  std::string credential;
  /// Refuses orders with an old fencing number.
  bool checks_fencing = false;
  TargetState state = TargetState::kActive;
  /// Requests that run well at the same time.
  std::uint32_t slots = 1;
  /// Models of an engine.
  std::vector<base::ModelId> models;
  /// Routes of a service.
  std::vector<base::RouteId> routes;
  /// Engine speed: prefill tokens a second, and decode tokens a second for one request.
  double prefill_tokens_per_s = 8000;
  double decode_tokens_per_s = 40;
};

/// @brief A plain service's entry point.
struct Route {
  base::RouteId id;
  Ownership ownership;
  /// Needs no key.
  bool open = false;
  bool idempotent = true;
  base::Duration timeout{0};
  std::string method = "POST";
  /// Path at the target.
  std::string path;
};

/// @brief An entry instance that may register.
struct Instance {
  base::InstanceId id;
  Ownership ownership;
  base::DataCentreId data_centre;
  /// Floor share of every workspace's limits, in millionths.
  std::uint32_t floor_ppm = 0;
};

/// Largest sum of all instances' floors, in millionths of the whole.
inline constexpr std::uint32_t kReservedSharePoolPpm = 200'000;
/// Part of the whole that moves between holders, in millionths.
inline constexpr std::uint32_t kLeasedPoolPpm = 800'000;

}  // namespace persimmonstair::catalogue

#endif  // PERSIMMONSTAIR_CATALOGUE_ENTRIES_HPP_
