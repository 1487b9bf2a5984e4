#include "reserved_shares.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>
#include <utility>

namespace persimmonstair::limits {
namespace {

// Largest number of versions kept for instances that have not acknowledged the newest one.
constexpr std::size_t kMaxVersions = 32;

std::uint32_t ReservedShareOf(const ReservedShares::SharesByInstance& reserved_shares,
                              const base::InstanceId& instance) {
  const auto it = reserved_shares.find(instance);
  return it == reserved_shares.end() ? 0 : it->second;
}

// Lowest and highest catalogue version that the instances stated in their last lease renewals.
struct VersionRange {
  std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t highest = 0;
};

VersionRange AcknowledgedVersions(const membership::Registry& registry,
                                  const ReservedShares::SharesByInstance& newest) {
  VersionRange out;
  for (const auto& [id, member] : registry.Members()) {
    out.highest = std::max(out.highest, member.floors_version);
    // An instance without an entry in the catalogue has no reserved share. An entry
    // must only be removed once its process has stopped, so no acknowledgement is needed.
    if (member.end == membership::LifetimeEnd::kLeft || !newest.contains(id)) continue;
    // A first process under this id that has not renewed yet uses no reserved share and will apply
    // the newest version.
    if (member.floors_version == 0 && member.earlier_lease.count() == 0) continue;
    out.lowest = std::min(out.lowest, member.floors_version);
  }
  return out;
}

}  // namespace

ReservedShares::ReservedShares(base::InstanceId self, bool ignore_versions)
    : self_(std::move(self)), ignore_versions_(ignore_versions) {}

void ReservedShares::Set(std::uint64_t version, const SharesByInstance& shares) {
  if (!versions_.empty()) {
    if (version <= versions_.rbegin()->first || shares == versions_.rbegin()->second) return;
  }
  versions_[version] = shares;
  // Dropping the oldest version only delays an increase: an instance whose last acknowledgement
  // names a dropped version counts as one that has not acknowledged.
  if (versions_.size() > kMaxVersions) versions_.erase(versions_.begin());
  const std::uint32_t newest = ReservedShareOf(shares, self_);
  current_ = ignore_versions_ ? newest : std::min(current_, newest);
}

void ReservedShares::Raise(const membership::Registry& registry) {
  if (versions_.empty()) return;
  const SharesByInstance& newest = versions_.rbegin()->second;
  if (ignore_versions_) {
    current_ = ReservedShareOf(newest, self_);
    return;
  }
  // Other instances assume that an instance which has not stated a version uses no reserved share,
  // so this instance must not use one before its own version is in the log.
  const membership::Member* self = registry.Find(self_);
  if (self == nullptr || self->floors_version == 0) return;
  const VersionRange seen = AcknowledgedVersions(registry, newest);
  // No increase is safe if another instance applies a version that this one has not read, or one
  // that was dropped here.
  if (NewestVersion() < seen.highest || versions_.begin()->first > seen.lowest) return;
  // Use the smallest share of all versions that an instance may still apply, so that the shares in
  // use fit together whichever of these versions each instance applies.
  std::optional<std::uint32_t> lowest_share;
  auto it = versions_.upper_bound(seen.lowest);
  if (it != versions_.begin()) --it;
  for (; it != versions_.end(); ++it) {
    const std::uint32_t share = ReservedShareOf(it->second, self_);
    lowest_share = std::min(lowest_share.value_or(share), share);
  }
  current_ = std::max(current_, lowest_share.value_or(0));
  // Drop versions older than the oldest one that an instance still applies.
  const auto used = versions_.upper_bound(seen.lowest);
  if (used != versions_.begin()) versions_.erase(versions_.begin(), std::prev(used));
}

std::uint32_t ReservedShares::NewestShare(const base::InstanceId& instance) const {
  return versions_.empty() ? 0 : ReservedShareOf(versions_.rbegin()->second, instance);
}

}  // namespace persimmonstair::limits
