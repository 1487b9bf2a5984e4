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

/// Part of a workspace's limits that is divided into leased shares, in millionths. The rest is for
/// reserved shares.
inline constexpr std::uint32_t kLeasedSharesPpm = 800'000;
/// Largest number of instances that hold leased shares of one workspace. Without this bound the
/// table would grow with instances x workspaces. Further instances use their reserved share and
/// loans.
inline constexpr std::size_t kMaxHolders = 16;

/// @brief A change of one instance's leased share of one workspace.
struct ShareChange {
  base::WorkspaceId workspace;
  base::InstanceId instance;
  std::int64_t delta_ppm = 0;
  /// Tokens that the receiver may add to its bucket, in thousandths.
  std::uint64_t tokens_milli = 0;
};

/// @brief Holders of the leased shares of each workspace. The table depends only on the records of
/// the `control` stream read so far, so instances that read equally far have equal tables.
///
///     const membership::Effect effect = registry.Apply(offset, record);
///     for (const ShareChange& change : table.Apply(record, effect, registry)) ...
class ShareTable {
 public:
  /// @brief Applies one record that the registry has just applied with `effect`. Returns the
  /// changes; empty if the record is invalid or does not concern shares.
  ///
  /// - ShareClaim gives all unheld shares of the workspace to the writer.
  /// - ShareMove is valid only if the sender holds at least that share and the receiver is
  /// registered.
  /// - ReclaimRecord gives the subject's shares to the writer.
  /// - InstanceLeft makes the instance's shares unheld.
  /// - A new registration of the same id keeps the shares.
  std::vector<ShareChange> Apply(const schema::Record& record, const membership::Effect& effect,
                                 const membership::Registry& registry);

  /// Leased share of an instance in millionths.
  std::uint32_t HeldPpm(const base::WorkspaceId& workspace, const base::InstanceId& instance) const;
  /// Part of the leased shares that no instance holds, in millionths.
  std::uint32_t UnheldPpm(const base::WorkspaceId& workspace) const;
  /// Holders with their shares in millionths; empty for an unknown workspace.
  const std::map<base::InstanceId, std::uint32_t>& Holders(
      const base::WorkspaceId& workspace) const;
  std::size_t size() const { return shares_.size(); }

  /// @brief The whole table as JSON text.
  std::string Snapshot() const;
  /// @brief Reads what Snapshot() wrote; returns kInvalidRequest for any other text.
  static base::Result<ShareTable> Restore(std::string_view text);

 private:
  std::vector<ShareChange> Claim(const schema::ShareClaim& record);
  std::vector<ShareChange> Move(const schema::ShareMove& record,
                                const membership::Registry& registry);
  /// Moves all shares of `from` to `new_holder`; they become unheld if that is empty.
  std::vector<ShareChange> TransferAll(const base::InstanceId& from,
                                       const base::InstanceId& new_holder);

  using Holdings = std::map<base::InstanceId, std::uint32_t>;
  std::map<base::WorkspaceId, Holdings> shares_;
};

}  // namespace persimmonstair::limits

#endif  // PERSIMMONSTAIR_LIMITS_SHARE_TABLE_HPP_
