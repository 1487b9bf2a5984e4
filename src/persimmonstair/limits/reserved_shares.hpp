#ifndef PERSIMMONSTAIR_LIMITS_RESERVED_SHARES_HPP_
#define PERSIMMONSTAIR_LIMITS_RESERVED_SHARES_HPP_

#include <cstdint>
#include <map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/membership/registry.hpp"

namespace persimmonstair::limits {

/// @brief The floor that this instance may use while floors are edited. Another instance may not
/// have read the newest floors, so an increase has to wait until all have told, with a renewal in
/// log order, that they apply them. A decrease holds at once.
class ReservedShares {
 public:
  using PerInstance = std::map<base::InstanceId, std::uint32_t>;

  ReservedShares(base::InstanceId self, bool ignore_versions);

  /// ReservedShares at a catalogue version. Unchanged floors and older versions are ignored.
  void Set(std::uint64_t version, const PerInstance& reserved_shares);
  /// Raises the floor in use as far as the renewals of all instances allow.
  void Raise(const membership::Registry& registry);
  /// A new incarnation has no floor before its first Raise().
  void Reset() { current_ = 0; }

  std::uint32_t Current() const { return current_; }
  std::uint64_t Version() const { return versions_.empty() ? 0 : versions_.rbegin()->first; }
  /// Floor of an instance at the newest version.
  std::uint32_t Newest(const base::InstanceId& instance) const;

 private:
  base::InstanceId self_;
  bool ignore_versions_;
  std::map<std::uint64_t, PerInstance> versions_;
  std::uint32_t current_ = 0;
};

}  // namespace persimmonstair::limits

#endif  // PERSIMMONSTAIR_LIMITS_RESERVED_SHARES_HPP_
