#ifndef PERSIMMONSTAIR_LIMITS_SHARE_TABLE_HPP_
#define PERSIMMONSTAIR_LIMITS_SHARE_TABLE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/membership/registry.hpp"
#include "persimmonstair/schema/records.hpp"

namespace persimmonstair::limits {

/// The leased pool of a workspace, in millionths of the whole.
inline constexpr std::uint32_t kLeasedSharesPpm = 800'000;
/// Largest number of holders of one workspace's leased pool. It bounds the table to a size that
/// does not grow with instances x workspaces; further instances live on their floor and on loans.
inline constexpr std::size_t kMaxHolders = 16;

/// @brief A change of one instance's leased share of one workspace.
struct ShareChange {
  base::WorkspaceId workspace;
  base::InstanceId instance;
  std::int64_t delta_ppm = 0;
  /// Bucket tokens that come with an increase, in thousandths.
  std::uint64_t tokens_milli = 0;
};

/// @brief Who holds how much of each workspace's leased pool: a pure function of the prefix of the
/// `control` stream.
///
///     const membership::Effect effect = registry.Apply(offset, record);
///     for (const ShareChange& change : table.Apply(record, effect, registry)) ...
class ShareTable {
 public:
  /// @brief Applies one record that the registry has just applied with `effect`. Returns what
  /// changed; empty if the record is invalid or does not concern shares.
  ///
  /// - ShareClaim takes all that nobody holds.
  /// - ShareMove needs a giver that holds as much and a receiver that is registered.
  /// - ReclaimRecord gives the subject's shares to the writer.
  /// - InstanceLeft leaves the shares to nobody.
  /// - A new registration of the same id keeps the shares.
  std::vector<ShareChange> Apply(const schema::Record& record, const membership::Effect& effect,
                                 const membership::Registry& registry);

  /// Leased share of an instance in millionths.
  std::uint32_t HeldPpm(const base::WorkspaceId& workspace, const base::InstanceId& instance) const;
  /// What nobody holds, in millionths.
  std::uint32_t UnheldPpm(const base::WorkspaceId& workspace) const;
  /// Holders with their shares; empty for an unknown workspace.
  const std::map<base::InstanceId, std::uint32_t>& Holders(
      const base::WorkspaceId& workspace) const;
  std::size_t size() const { return shares_.size(); }

  std::string Snapshot() const;
  static base::Result<ShareTable> Restore(std::string_view text);

 private:
  std::vector<ShareChange> Claim(const schema::ShareClaim& record);
  std::vector<ShareChange> Move(const schema::ShareMove& record,
                                const membership::Registry& registry);
  std::vector<ShareChange> TransferAll(const base::InstanceId& from,
                                       const base::InstanceId& new_holder);

  using Holdings = std::map<base::InstanceId, std::uint32_t>;
  std::map<base::WorkspaceId, Holdings> shares_;
};

}  // namespace persimmonstair::limits

#endif  // PERSIMMONSTAIR_LIMITS_SHARE_TABLE_HPP_
