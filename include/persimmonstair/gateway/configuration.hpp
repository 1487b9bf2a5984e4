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

/// @brief How often a request of a route may run, which decides whether it may be retried.
enum class RetryClass {
  /// May run more than once.
  kIdempotent,
  /// Runs at most once.
  kOnce,
  /// Answers with a stream of events; runs at most once, unless the route is resumable.
  kStream,
};

struct WeightedService {
  base::ServiceId service;
  std::uint32_t weight = 1;
};

/// @brief One route of the operator's configuration.
struct Route {
  base::RouteId id;
  /// Host name in the Host header of a request.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RetryClass retry = RetryClass::kOnce;
  /// Time limit for answering a request.
  base::Duration timeout{0};
  /// Service level objective for the latency of the answer, or of the first event of a stream.
  base::Duration latency_objective{0};
  /// Service level objective for the time between two events of a stream.
  base::Duration gap_objective{0};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  std::vector<WeightedService> services;
  /// Maximum number of targets that may run one request. Attempts that didn't run it don't count.
  std::uint32_t attempts = 1;
  /// Turns are stored for `retention`, so that later turns send only their new input.
  bool keeps_turns = false;
  base::Duration retention{0};
  /// True if requests need no API key.
  bool open = false;
  /// An interrupted stream may be resumed at another target after its last event.
  bool resumable = false;
};

struct Service {
  base::ServiceId id;
  /// Path of its targets' health checks; empty if they have none.
  std::string health_path;
  /// Maximum number of connections, 0 if not configured; not used by the gateway.
  std::uint32_t max_connections = 0;
  /// Tokens in each event of a stream; only for model engines.
  std::uint32_t tokens_per_event = 0;
  /// Requests per second that a cold target takes from all instances together; 0 for no limit.
  double cold_rate_per_s = 0;
  /// Time for which a target is cold after it was idle or has started.
  base::Duration cold_time{0};
};

struct Workspace {
  base::WorkspaceId id;
  /// API keys whose requests belong to the workspace.
  std::vector<std::string> keys;
  quota::RateLimit quota;
  /// Takes precedence over the priority of the route; empty if the workspace has none.
  std::optional<std::uint32_t> priority;
};

/// @brief Limits on the size of a request and on the time a caller may take to send it.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = 4U << 20U;
  /// Time limit for sending the headers of a request.
  base::Duration header_timeout = std::chrono::seconds{3};
  /// Time for which a connection may stay open without a request, and time limit for sending the
  /// body of a request.
  base::Duration idle_timeout = std::chrono::seconds{15};
};

/// @brief One immutable version of the operator's configuration, with its look-up tables.
class Configuration {
 public:
  Configuration() = default;
  /// No list of workspaces means that requests need no key, and an empty list that no key is valid.
  Configuration(std::uint64_t version, CallerLimits limits, std::vector<Route> routes,
                std::vector<Service> services, std::optional<std::vector<Workspace>> workspaces);

  std::uint64_t Version() const { return version_; }
  const CallerLimits& Limits() const { return limits_; }
  /// True if requests need a key, unless their route is open.
  bool RequiresKeys() const { return requires_keys_; }
  bool HasWorkspaces() const { return !workspaces_.empty(); }
  std::size_t WorkspaceCount() const { return workspaces_.size(); }

  /// Returns the route of `host` with the longest prefix of `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// Returns the workspace to which an API key belongs, or null.
  const Workspace* FindWorkspace(const std::string& key) const;
  const Workspace* FindWorkspaceById(const base::WorkspaceId& id) const;
  const Service* FindService(const base::ServiceId& id) const;
  std::size_t RouteCount() const { return routes_.size(); }
  /// Longest timeout of the routes for streams.
  base::Duration LongestStreamTimeout() const { return longest_stream_timeout_; }

 private:
  std::uint64_t version_ = 0;
  CallerLimits limits_;
  base::Duration longest_stream_timeout_{0};
  std::vector<Route> routes_;
  std::vector<Service> services_;
  bool requires_keys_ = true;
  std::vector<Workspace> workspaces_;
  /// Indices into `routes_` by host, longest path prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> workspace_by_key_;
  std::unordered_map<base::WorkspaceId, std::size_t> workspace_by_id_;
  std::unordered_map<base::ServiceId, std::size_t> service_by_id_;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_CONFIGURATION_HPP_
