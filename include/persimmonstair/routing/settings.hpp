#ifndef PERSIMMONSTAIR_ROUTING_SETTINGS_HPP_
#define PERSIMMONSTAIR_ROUTING_SETTINGS_HPP_

#include <cstddef>
#include <cstdint>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::routing {

/// @brief Order in which queued requests are dispatched.
enum class QueuePolicy {
  kFirstInFirstOut,
  /// The program that has received the least engine time goes first, whatever its workspace.
  kLeastAttained,
  /// Weighted fair queueing between workspaces; within a workspace as kLeastAttained.
  kFairLeastAttained,
};

/// @brief Parameters of a Router. The defaults fit the deployments described in the design page.
struct Settings {
  base::InstanceId instance;
  base::DataCentreId data_centre;
  /// Seed of the order among equally good targets. Instances use different seeds, so that between
  /// two heartbeats they don't all choose the same target.
  std::uint64_t seed = 0;

  QueuePolicy queue_policy = QueuePolicy::kFairLeastAttained;
  /// Lets a request wait for the busy engine that has its prefix cached, if the estimated finish
  /// time there, including the delay to other requests, is earlier than at a free engine. A slot
  /// may stay free in the meantime, but a request waits no longer than the time that it can save.
  bool plan_ahead = true;
  /// Number of requests at the head of the queue among which one whose prefix is cached at a free
  /// engine may be dispatched first.
  std::uint32_t affinity_window = 16;

  /// Maximum number of queued requests of this instance.
  std::size_t max_queued = 1000;
  base::Duration max_queue_time{30'000'000};
  /// Deadline of a request that states none, counted from its arrival.
  base::Duration default_deadline{120'000'000};

  base::Duration connect_timeout{1'000'000};
  /// Timeout of an engine's first byte = first_byte_base + kFirstByteFactor * estimated prefill
  /// time.
  base::Duration first_byte_base{10'000'000};
  base::Duration between_bytes_timeout{5'000'000};

  /// Number of retries that each first dispatch adds to the retry budget.
  double retry_ratio = 0.1;
  /// Maximum number of retries in the budget, which is full at the start.
  double retry_burst = 10;

  /// Time after which a crash is no longer counted.
  base::Duration poison_expiry{600'000'000};
  /// Number of different targets that a request must crash to be refused as a poison request.
  std::uint32_t poison_targets = 2;
  /// Number of crashes without a common request after which the target itself counts as the cause.
  std::uint32_t self_crash_episodes = 3;

  /// Shortest and longest pause between health probes of a suspect target. The pause doubles after
  /// each failed probe.
  base::Duration probe_min_pause{500'000};
  base::Duration probe_max_pause{30'000'000};
  /// Age after which a peer's in-flight counts and a target's load report are discarded.
  base::Duration report_expiry{3'000'000};
  /// Added to the estimated service time at a target in another data centre.
  base::Duration remote_penalty{5'000};
  /// Idle time after which a program's attained service is discarded.
  base::Duration program_expiry{900'000'000};
};

/// Factor on the estimated prefill time in the timeout of an engine's first byte.
inline constexpr double kFirstByteFactor = 4;

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_ROUTING_SETTINGS_HPP_
