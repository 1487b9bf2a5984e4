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
  /// Program with the least engine time received first, whatever its workspace.
  kLeastAttained,
  /// Weighted fair queueing between workspaces, least attained service within each.
  kFairLeastAttained,
};

/// @brief Parameters of a Router. The defaults suit the deployments in the design page.
struct Settings {
  base::InstanceId instance;
  base::DataCentreId data_centre;
  /// Seed of the order among equal targets; instances use different seeds so that they don't all
  /// choose the same one between two heartbeats.
  std::uint64_t seed = 0;

  QueuePolicy queue_policy = QueuePolicy::kFairLeastAttained;
  /// Lets a request wait for the busy engine that holds its prefix when that is estimated to finish
  /// earlier than a free engine, counting the delay to other requests. A slot may then stay free
  /// while such requests wait, but none waits longer than the wait can save.
  bool plan_ahead = true;
  /// Requests at the head of the fair order among which one with a cached prefix at a free engine
  /// may go first.
  std::uint32_t affinity_window = 16;

  /// Queued requests of this instance.
  std::size_t max_queued = 1000;
  base::Duration max_queue_time{30'000'000};
  /// Time left to a request that states no deadline.
  base::Duration default_deadline{120'000'000};

  base::Duration connect_timeout{1'000'000};
  /// Limit of the first byte = this + kFirstByteFactor x estimated prefill time.
  base::Duration first_byte_base{10'000'000};
  base::Duration between_bytes_timeout{5'000'000};

  /// Retries allowed for each first dispatch.
  double retry_ratio = 0.1;
  /// Retries that may be saved up, and the number available at the start.
  double retry_burst = 10;

  /// Life of a crash count.
  base::Duration poison_expiry{600'000'000};
  /// Different targets that a request may crash before it is stopped.
  std::uint32_t poison_targets = 2;
  /// Crashes without a common request after which a target itself is blamed.
  std::uint32_t self_crash_episodes = 3;

  /// First and longest pause between recovery probes of a suspect target.
  base::Duration probe_min_pause{500'000};
  base::Duration probe_max_pause{30'000'000};
  /// Age at which a peer's in-flight counts and a target's report are no longer used.
  base::Duration report_expiry{3'000'000};
  /// Added to the estimate for a target in another data centre.
  base::Duration remote_penalty{5'000};
  /// Idle time after which a program's attained service is forgotten.
  base::Duration program_expiry{900'000'000};
};

/// Multiple of the estimated prefill time that an engine may take to its first byte.
inline constexpr double kFirstByteFactor = 4;

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_ROUTING_SETTINGS_HPP_
