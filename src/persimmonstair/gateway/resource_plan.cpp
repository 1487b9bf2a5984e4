#include "resource_plan.hpp"

#include <sys/resource.h>

#include <algorithm>

#include "request_memory.hpp"
#include "response_memory.hpp"

namespace persimmonstair::gateway {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20U;
/// What the process needs besides the parts of the plan while a configuration of 0.8 MB changes;
/// see docs/CAPACITY.md.
constexpr std::size_t kBaseBytes = 30 * kMebibyte;
/// Allocations of changing sizes leave gaps: a tenth of the memory.
constexpr std::size_t kGapPart = 10;
constexpr std::size_t kTurnCachePart = 8;
constexpr std::size_t kResponsePart = 8;
constexpr std::size_t kStreamCopyPart = 16;
constexpr std::size_t kMaxStreamCopyBytes = 8 * kMebibyte;
/// Smallest account: one body of 4 MiB in chunks, which is copied while it grows, and the reserve.
constexpr std::size_t kMinRequestBytes = 9 * kMebibyte;
/// A connection with its coroutines.
constexpr std::size_t kConnectionBytes = 8192;
constexpr std::size_t kConnectionPart = 4;

/// Descriptors that the platform reserves for files.
constexpr std::size_t kReservedDescriptors = 200;
constexpr std::size_t kMinDescriptors = 40;
constexpr std::size_t kCallerPercent = 40;
constexpr std::size_t kRelayPercent = 10;
constexpr std::size_t kMaxRelays = 256;
constexpr std::size_t kUnlimitedConnections = 1'000'000;

std::size_t SystemLimit(int resource) {
  rlimit limit{};
  const bool known = getrlimit(static_cast<__rlimit_resource>(resource), &limit) == 0;
  return known && limit.rlim_cur != RLIM_INFINITY ? limit.rlim_cur : 0;
}

}  // namespace

MemoryPlan PlanMemory(std::size_t memory, std::size_t turn_cache) {
  if (memory == 0) {
    return {turn_cache, ResponseMemory::kMaxBytes, kMaxStreamCopyBytes, RequestMemory::kUnlimited,
            kUnlimitedConnections};
  }
  MemoryPlan plan;
  plan.turn_cache = std::min(turn_cache, memory / kTurnCachePart);
  plan.responses = std::min(ResponseMemory::kMaxBytes, memory / kResponsePart);
  plan.stream_copies = std::min(kMaxStreamCopyBytes, memory / kStreamCopyPart);
  const std::size_t others =
      kBaseBytes + memory / kGapPart + plan.turn_cache + plan.responses + plan.stream_copies;
  const std::size_t left = memory > others ? memory - others : 0;
  const std::size_t connections = left / kConnectionPart;
  plan.caller_connections = std::max(connections, kMebibyte) / kConnectionBytes;
  plan.requests = std::max(left - connections, kMinRequestBytes);
  return plan;
}

DescriptorPlan PlanDescriptors(std::size_t max_fds) {
  if (max_fds == 0) return {kUnlimitedConnections, kMaxRelays};
  const std::size_t free =
      std::max(max_fds, kReservedDescriptors + kMinDescriptors) - kReservedDescriptors;
  return {free * kCallerPercent / 100, std::min(kMaxRelays, free * kRelayPercent / 100)};
}

std::size_t SystemMemoryLimit() { return SystemLimit(RLIMIT_AS); }
std::size_t SystemDescriptorLimit() { return SystemLimit(RLIMIT_NOFILE); }

}  // namespace persimmonstair::gateway
