#include "persimmonstair/quota/coordinator.hpp"

#include <algorithm>
#include <map>

#include "persimmonstair/base/rendezvous.hpp"

namespace persimmonstair::quota {
namespace {

using Holders = std::vector<schema::ShareHolder>;

// The part of one of the data centres if the instance is home in its own, else 0.
double ShareAmong(const Holders& holders, const base::WorkspaceId& workspace,
                  const base::InstanceId& instance) {
  const Holders coordinators = CoordinatorsOf(workspace, holders);
  const bool coordinator = std::any_of(coordinators.begin(), coordinators.end(),
                                       [&](const auto& one) { return one.instance == instance; });
  return coordinator ? 1.0 / static_cast<double>(coordinators.size()) : 0;
}

}  // namespace

Holders CoordinatorsOf(const base::WorkspaceId& workspace, const Holders& holders) {
  std::map<base::DataCentreId, Holders> by_data_centre;
  for (const auto& holder : holders) by_data_centre[holder.data_centre].push_back(holder);
  Holders coordinators;
  for (const auto& [data_centre, candidates] : by_data_centre) {
    coordinators.push_back(base::RendezvousPick(
        workspace.value, candidates, [](const auto& one) { return one.instance.value; }));
  }
  return coordinators;
}

double ShareOf(const schema::ShareTable& table, const base::WorkspaceId& workspace,
               const base::InstanceId& instance) {
  const double part = ShareAmong(table.holders, workspace, instance);
  if (table.previous_holders.empty()) return part;
  return std::min(part, ShareAmong(table.previous_holders, workspace, instance));
}

}  // namespace persimmonstair::quota
