#include "persimmonstair/gateway/configuration.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::gateway {

Configuration::Configuration(std::uint64_t version, CallerLimits limits, std::vector<Route> routes,
                             std::vector<Service> services,
                             std::optional<std::vector<Workspace>> workspaces)
    : version_(version),
      limits_(limits),
      routes_(std::move(routes)),
      services_(std::move(services)),
      requires_keys_(workspaces.has_value()),
      workspaces_(std::move(workspaces).value_or(std::vector<Workspace>{})) {
  for (std::size_t n = 0; n < routes_.size(); ++n) {
    const Route& route = routes_[n];
    routes_by_host_[route.host].push_back(n);
    if (route.retry != RetryClass::kStream) continue;
    longest_stream_timeout_ = std::max(longest_stream_timeout_, route.timeout);
  }
  for (auto& [host, indices] : routes_by_host_) {
    std::stable_sort(indices.begin(), indices.end(), [this](std::size_t a, std::size_t b) {
      return routes_[a].path_prefix.size() > routes_[b].path_prefix.size();
    });
  }
  for (std::size_t n = 0; n < workspaces_.size(); ++n) {
    for (const auto& key : workspaces_[n].keys) {
      // Requests without a key have an empty one.
      if (!key.empty()) workspace_by_key_[key] = n;
    }
    workspace_by_id_[workspaces_[n].id] = n;
  }
  for (std::size_t n = 0; n < services_.size(); ++n) service_by_id_[services_[n].id] = n;
}

const Route* Configuration::FindRoute(std::string_view host, std::string_view path) const {
  const auto it = routes_by_host_.find(std::string(host));
  if (it == routes_by_host_.end()) return nullptr;
  for (const std::size_t index : it->second) {
    if (path.starts_with(routes_[index].path_prefix)) return &routes_[index];
  }
  return nullptr;
}

const Workspace* Configuration::FindWorkspace(const std::string& key) const {
  const auto it = workspace_by_key_.find(key);
  return it == workspace_by_key_.end() ? nullptr : &workspaces_[it->second];
}

const Workspace* Configuration::FindWorkspaceById(const base::WorkspaceId& id) const {
  const auto it = workspace_by_id_.find(id);
  return it == workspace_by_id_.end() ? nullptr : &workspaces_[it->second];
}

const Service* Configuration::FindService(const base::ServiceId& id) const {
  const auto it = service_by_id_.find(id);
  return it == service_by_id_.end() ? nullptr : &services_[it->second];
}

}  // namespace persimmonstair::gateway
