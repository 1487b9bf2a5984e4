#ifndef PERSIMMONSTAIR_QUOTA_HOME_HPP_
#define PERSIMMONSTAIR_QUOTA_HOME_HPP_

#include <optional>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::quota {

/// Part of a workspace's rate that one instance, its home, holds and lends. Bursts at any instance
/// draw on it; the rest is dealt to all and serves where the home can't be reached.
inline constexpr double kHomePart = 0.6;

/// @brief The home of a workspace by a table of shares; nothing if the table has no holder.
std::optional<base::InstanceId> HomeOf(const base::WorkspaceId& workspace,
                                       const std::vector<base::InstanceId>& holders);

/// @brief True if an instance may use the home part under a table: it is the workspace's home by
/// this table and by the one before, so that no other instance can still take itself for the home.
bool HoldsHomePart(const schema::ShareTable& table, const base::WorkspaceId& workspace,
                   const base::InstanceId& instance);

/// @brief Names of a table's holders.
std::vector<base::InstanceId> HoldersOf(const schema::ShareTable& table);

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_HOME_HPP_
