#ifndef PERSIMMONSTAIR_LIMITS_RESERVED_SHARES_HPP_
#define PERSIMMONSTAIR_LIMITS_RESERVED_SHARES_HPP_

#include <cstdint>
#include <map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/membership/registry.hpp"

namespace persimmonstair::limits {

/// @brief The reserved share ("floor" in settings) that this instance may use. Other instances may
/// not have read the newest version, so an increase waits until each has stated in a lease renewal
/// in the log that it applies it. A decrease applies at once.
class ReservedShares {
 public:
  using PerInstance = std::map<base::InstanceId, std::uint32_t>;

  ReservedShares(base::InstanceId self, bool ignore_versions);

  /// Sets all reserved shares, in millionths. Unchanged ones and older versions are ignored.
  void Set(std::uint64_t version, const PerInstance& reserved_shares);
  /// Raises the share in use as far as the renewals of all instances allow.
  void Raise(const membership::Registry& registry);
  /// A new incarnation has no reserved share before its first Raise().
  void Reset() { current_ = 0; }

  /// Share in use.
  std::uint32_t Current() const { return current_; }
  /// Newest catalogue version set; 0 for none.
  std::uint64_t Version() const { return versions_.empty() ? 0 : versions_.rbegin()->first; }
  /// Reserved share of an instance at the newest version.
  std::uint32_t Newest(const base::InstanceId& instance) const;

 private:
  base::InstanceId self_;
  bool ignore_versions_;
  std::map<std::uint64_t, PerInstance> versions_;
  std::uint32_t current_ = 0;
};

}  // namespace persimmonstair::limits

#endif  // PERSIMMONSTAIR_LIMITS_RESERVED_SHARES_HPP_
