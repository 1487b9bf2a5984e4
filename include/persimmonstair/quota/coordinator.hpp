#ifndef PERSIMMONSTAIR_QUOTA_COORDINATOR_HPP_
#define PERSIMMONSTAIR_QUOTA_COORDINATOR_HPP_

#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::quota {

/// @brief The homes of a workspace: in each data centre, the one holder that keeps the data
/// centre's part of the workspace's rate. Bursts at any instance draw on it, and a data centre that
/// is cut off still has its part.
std::vector<schema::ShareHolder> CoordinatorsOf(const base::WorkspaceId& workspace,
                                                const std::vector<schema::ShareHolder>& holders);

/// @brief Part of a workspace's rate, 0 to 1, that an instance may use under a table.
///
/// It is the even part of one data centre, and only for an instance that is home by this table and
/// by the one before, so that no other instance can still take itself for the home.
///
///     const double rate = quota.rate_per_s * ShareOf(table, workspace, {"i1"});
double ShareOf(const schema::ShareTable& table, const base::WorkspaceId& workspace,
               const base::InstanceId& instance);

}  // namespace persimmonstair::quota

#endif  // PERSIMMONSTAIR_QUOTA_COORDINATOR_HPP_
