#include "persimmonstair/quota/home.hpp"

#include <algorithm>
#include <map>

#include "persimmonstair/base/rendezvous.hpp"

namespace persimmonstair::quota {
namespace {

using Holders = std::vector<schema::ShareHolder>;

// The part of one of the data centres if the instance is home in its own, else 0.
double PartAmong(const Holders& holders, const base::WorkspaceId& workspace,
                 const base::InstanceId& instance) {
  const Holders homes = HomesOf(workspace, holders);
  const bool home = std::any_of(homes.begin(), homes.end(),
                                [&](const auto& one) { return one.instance == instance; });
  return home ? 1.0 / static_cast<double>(homes.size()) : 0;
}

}  // namespace

Holders HomesOf(const base::WorkspaceId& workspace, const Holders& holders) {
  std::map<base::DataCentreId, Holders> by_data_centre;
  for (const auto& holder : holders) by_data_centre[holder.data_centre].push_back(holder);
  Holders homes;
  for (const auto& [data_centre, candidates] : by_data_centre) {
    homes.push_back(base::RendezvousPick(workspace.value, candidates,
                                         [](const auto& one) { return one.instance.value; }));
  }
  return homes;
}

double ShareOf(const schema::ShareTable& table, const base::WorkspaceId& workspace,
               const base::InstanceId& instance) {
  const double part = PartAmong(table.holders, workspace, instance);
  if (table.previous_holders.empty()) return part;
  return std::min(part, PartAmong(table.previous_holders, workspace, instance));
}

}  // namespace persimmonstair::quota
