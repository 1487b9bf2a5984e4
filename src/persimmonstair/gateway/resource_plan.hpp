#ifndef PERSIMMONSTAIR_SRC_GATEWAY_RESOURCE_PLAN_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_RESOURCE_PLAN_HPP_

#include <cstddef>

namespace persimmonstair::gateway {

/// @brief How the memory of a machine is divided, in bytes.
struct MemoryPlan {
  std::size_t turn_cache = 0;
  std::size_t responses = 0;
  std::size_t stream_copies = 0;
  /// The account of requests; RequestMemory::kUnlimited without a limit of the machine.
  std::size_t requests = 0;
  /// Connections of callers for whose fixed cost there is memory.
  std::size_t caller_connections = 0;
};

/// @brief Divides `memory` bytes, 0 for no limit. `turn_cache` is the setting, which is reduced
/// where the sum doesn't fit.
MemoryPlan PlanMemory(std::size_t memory, std::size_t turn_cache);

/// @brief How the descriptors of a process are divided.
struct DescriptorPlan {
  std::size_t caller_connections = 0;
  /// Connections that are relayed for other instances; each takes two descriptors.
  std::size_t relays = 0;
};

/// @brief Divides `max_fds` descriptors, 0 for no limit, less those reserved for files.
DescriptorPlan PlanDescriptors(std::size_t max_fds);

/// @brief Limit of this process by getrlimit: the address space in bytes, or the descriptors; 0 for
/// none.
std::size_t SystemMemoryLimit();
std::size_t SystemDescriptorLimit();

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_RESOURCE_PLAN_HPP_
