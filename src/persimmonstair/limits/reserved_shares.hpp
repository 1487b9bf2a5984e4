#ifndef PERSIMMONSTAIR_LIMITS_RESERVED_SHARES_HPP_
#define PERSIMMONSTAIR_LIMITS_RESERVED_SHARES_HPP_

#include <cstdint>
#include <map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/membership/registry.hpp"

namespace persimmonstair::limits {

/// @brief The reserved share ("floor" in settings) that this instance may use: a fixed part of each
/// workspace's limits, in millionths, which the catalogue assigns to the instance.
///
/// Other instances may not have read the newest version of the catalogue, so an increase applies
/// only once each of them has stated this version in a lease renewal in the log. A decrease applies
/// at once.
class ReservedShares {
 public:
  /// In millionths of each workspace's limits.
  using SharesByInstance = std::map<base::InstanceId, std::uint32_t>;

  /// `ignore_versions` is a fault injection for tests: increases apply at once, too.
  ReservedShares(base::InstanceId self, bool ignore_versions);

  /// Sets the shares of all instances as of a catalogue version. Does nothing if the version isn't
  /// newer or the shares are the same as before.
  void Set(std::uint64_t version, const SharesByInstance& shares);
  /// Raises the share in use to the smallest one of all versions that some instance may still
  /// apply, according to the lease renewals in the registry. To be called after each change of the
  /// registry.
  void Raise(const membership::Registry& registry);
  /// Sets the share in use to 0 until the next Raise(). To be called for a new incarnation.
  void Reset() { current_ = 0; }

  /// Share in use, in millionths.
  std::uint32_t CurrentShare() const { return current_; }
  /// Highest catalogue version set; 0 for none.
  std::uint64_t NewestVersion() const { return versions_.empty() ? 0 : versions_.rbegin()->first; }
  /// Share of an instance at the newest version, in millionths; 0 if it has none.
  std::uint32_t NewestShare(const base::InstanceId& instance) const;

 private:
  base::InstanceId self_;
  bool ignore_versions_;
  /// Shares by version, from the oldest version that some instance may still apply.
  std::map<std::uint64_t, SharesByInstance> versions_;
  std::uint32_t current_ = 0;
};

}  // namespace persimmonstair::limits

#endif  // PERSIMMONSTAIR_LIMITS_RESERVED_SHARES_HPP_
