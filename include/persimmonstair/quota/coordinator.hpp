#ifndef PERSIMMONSTAIR_QUOTA_COORDINATOR_HPP_
#define PERSIMMONSTAIR_QUOTA_COORDINATOR_HPP_

#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::quota {

/// @brief Returns the quota coordinators of a workspace, one in each data centre, chosen by
/// rendezvous hashing of the workspace's id.
///
/// A coordinator is the share holder that holds its data centre's part of the workspace's rate. All
/// instances of the data centre take tokens from it, and a data centre that is cut off from the
/// others keeps its part.
std::vector<schema::ShareHolder> CoordinatorsOf(const base::WorkspaceId& workspace,
                                                const std::vector<schema::ShareHolder>& holders);

/// @brief Returns the share of a workspace's rate, 0 to 1, that an instance may use under a table.
///
/// The rate is divided evenly between the data centres. An instance has its data centre's share
/// only if it is the coordinator by this table and by the previous one, so that no other instance
/// can still act as the coordinator.
///
///     const double rate = quota.rate_per_s * ShareOf(table, workspace, {"i1"});
double ShareOf(const schema::ShareTable& table, const base::WorkspaceId& workspace,
               const base::InstanceId& instance);

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_COORDINATOR_HPP_
