#include "persimmonstair/quota/home.hpp"

#include "persimmonstair/base/rendezvous.hpp"

namespace persimmonstair::quota {

std::optional<base::InstanceId> HomeOf(const base::WorkspaceId& workspace,
                                       const std::vector<base::InstanceId>& holders) {
  if (holders.empty()) return std::nullopt;
  return base::RendezvousPick(workspace.value, holders,
                              [](const base::InstanceId& one) { return one.value; });
}

bool HoldsHomePart(const schema::ShareTable& table, const base::WorkspaceId& workspace,
                   const base::InstanceId& instance) {
  if (HomeOf(workspace, HoldersOf(table)) != instance) return false;
  return table.previous_holders.empty() || HomeOf(workspace, table.previous_holders) == instance;
}

std::vector<base::InstanceId> HoldersOf(const schema::ShareTable& table) {
  std::vector<base::InstanceId> holders;
  for (const auto& holder : table.holders) holders.push_back(holder.instance);
  return holders;
}

}  // namespace persimmonstair::quota
