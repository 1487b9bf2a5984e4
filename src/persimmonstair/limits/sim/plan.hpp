#ifndef PERSIMMONSTAIR_LIMITS_SIM_PLAN_HPP_
#define PERSIMMONSTAIR_LIMITS_SIM_PLAN_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/limits/limiter.hpp"
#include "persimmonstair/membership/lease_manager.hpp"
#include "persimmonstair/membership/registry.hpp"

namespace persimmonstair::limits::sim {

enum class FaultKind {
  kKill,            // the process dies; a new one starts under the same id after `length`, if not 0
  kPause,           // the process does nothing for `length`
  kDuplicate,       // a second process starts under the same id
  kJoin,            // an instance with a new id starts
  kLeave,           // planned stop
  kLogOutage,       // nobody reaches the log for `length`
  kLogSlow,         // appends take effect up to 10 s late, and reads lag, for `length`
  kLogUnreachable,  // one instance can't reach the log for `length`
  kLogUnreadable,   // one instance can't read the log for `length`, but its appends take effect
  kPartition,       // one data centre is cut off from the others and from the log for `length`
  kPeerSplit,       // one data centre is cut off from the others, but not from the log
  kLimitEdit,       // the limits of a workspace change to `limit`
  kReservedShareEdit,  // the floors are distributed anew
};

/// @brief One fault of a plan.
struct Fault {
  base::Duration at{0};
  FaultKind kind = FaultKind::kKill;
  /// Instance, data centre or workspace, modulo their number.
  std::uint32_t subject = 0;
  base::Duration length{0};
  Limit limit;
};

/// @brief FaultProbabilities of message and log faults, 0 to 1.
struct FaultProbabilities {
  double lose_message = 0;
  double repeat_message = 0;
  double late_message = 0;
  double lose_answer = 0;
  double late_append = 0;
  double repeat_append = 0;
};

/// @brief Everything that determines a run, together with the switches for tests.
struct Plan {
  std::uint64_t seed = 0;
  std::size_t instances = 3;
  std::size_t data_centres = 3;
  base::Duration length{0};
  std::vector<Limit> limits;
  /// Offered load as a multiple of the rate.
  double load = 1;
  /// Part of the load that arrives at one instance, and how long until that is another instance.
  double skew = 0;
  base::Duration skew_period{0};
  FaultProbabilities probabilities;
  std::vector<Fault> faults;
  /// Fixed latency between instances in microseconds, one way; 0 for random ones.
  std::int64_t peer_latency_us = 0;
};

/// @brief Mechanisms switched off to show that a test notices.
struct Switches {
  membership::RegistryFaults registry;
  membership::LeaseManagerFaults lease_manager;
  LimiterFaults limiter;
  membership::LeaseTimes times;
};

/// @brief A random plan with 3 to 11 instances; the same for the same seed.
Plan RandomPlan(std::uint64_t seed);

/// @brief Text of a plan, one line for each fault.
std::string Describe(const Plan& plan);

}  // namespace persimmonstair::limits::sim

#endif  // PERSIMMONSTAIR_LIMITS_SIM_PLAN_HPP_
