#ifndef PERSIMMONSTAIR_GATEWAY_CONFIGURATION_HPP_
#define PERSIMMONSTAIR_GATEWAY_CONFIGURATION_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/quota/local_shares.hpp"

namespace persimmonstair::gateway {

/// @brief What may be repeated of a route's requests.
enum class RetryClass {
  /// May run more than once.
  kIdempotent,
  /// Runs at most once.
  kOnce,
  /// Answers by a stream of events and runs at most once, unless the route is resumable.
  kStream,
};

struct WeightedService {
  base::ServiceId service;
  std::uint32_t weight = 1;
};

/// @brief One route of the operator's configuration.
struct Route {
  base::RouteId id;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RetryClass retry_class = RetryClass::kOnce;
  /// Longest time that a caller is kept waiting.
  base::Duration timeout{0};
  /// Time within which an answer (of a stream, its first event) is on time.
  base::Duration objective{0};
  /// Longest pause between events that is on time.
  base::Duration gap_target{0};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  std::vector<WeightedService> services;
  /// Most targets that may run one request.
  std::uint32_t attempts = 1;
  /// Turns are kept for `retention`, so that later turns state only their new input.
  bool keeps_turns = false;
  base::Duration retention{0};
  /// Needs no key.
  bool open = false;
  /// An interrupted stream may go on at another target after its last event.
  bool resumable = false;
};

struct Service {
  base::ServiceId id;
  std::string health_path;
  std::uint32_t max_connections = 0;
  /// Model engines only: tokens in each event of a stream.
  std::uint32_t tokens_per_event = 0;
};

struct Workspace {
  base::WorkspaceId id;
  std::vector<std::string> keys;
  quota::WorkspaceQuota quota;
};

/// @brief Bounds on what a caller may send, and on the time that it may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = 4U << 20U;
  base::Duration header_timeout = std::chrono::seconds{3};
  base::Duration idle_timeout = std::chrono::seconds{15};
};

/// @brief One version of the operator's configuration, with its look-up tables. Immutable.
class Configuration {
 public:
  Configuration() = default;
  Configuration(std::uint64_t version, CallerLimits limits, std::vector<Route> routes,
                std::vector<Service> services, std::vector<Workspace> workspaces);

  std::uint64_t Version() const { return version_; }
  const CallerLimits& Limits() const { return limits_; }
  /// True if keys are needed at all.
  bool HasWorkspaces() const { return !workspaces_.empty(); }

  /// The route with the longest prefix of `path` on `host`; null if there is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// The workspace that holds a key; null if none does.
  const Workspace* FindWorkspace(const std::string& key) const;
  const Workspace* FindWorkspaceById(const base::WorkspaceId& id) const;
  const Service* FindService(const base::ServiceId& id) const;
  std::size_t RouteCount() const { return routes_.size(); }

 private:
  std::uint64_t version_ = 0;
  CallerLimits limits_;
  std::vector<Route> routes_;
  std::vector<Service> services_;
  std::vector<Workspace> workspaces_;
  /// Indices of a host's routes, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> workspace_by_key_;
  std::unordered_map<base::WorkspaceId, std::size_t> workspace_by_id_;
  std::unordered_map<base::ServiceId, std::size_t> service_by_id_;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_CONFIGURATION_HPP_
