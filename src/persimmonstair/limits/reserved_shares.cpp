#include "reserved_shares.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>
#include <utility>

namespace persimmonstair::limits {
namespace {

constexpr std::size_t kMaxVersions = 32;

std::uint32_t ReservedShareOf(const ReservedShares::PerInstance& reserved_shares,
                              const base::InstanceId& instance) {
  const auto it = reserved_shares.find(instance);
  return it == reserved_shares.end() ? 0 : it->second;
}

// Lowest and highest version in the last renewals of the instances.
struct Acknowledged {
  std::uint64_t least = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t most = 0;
};

Acknowledged Acknowledgements(const membership::Registry& registry,
                              const ReservedShares::PerInstance& newest) {
  Acknowledged out;
  for (const auto& [id, member] : registry.Members()) {
    out.most = std::max(out.most, member.floors_version);
    // An instance without an entry has no reserved share. Removing an entry from the catalogue
    // asserts that the process has stopped.
    if (member.end == membership::LifetimeEnd::kLeft || !newest.contains(id)) continue;
    // A first process under this id that has not renewed yet uses no reserved share and will apply
    // the newest version.
    if (member.floors_version == 0 && member.earlier_lease.count() == 0) continue;
    out.least = std::min(out.least, member.floors_version);
  }
  return out;
}

}  // namespace

ReservedShares::ReservedShares(base::InstanceId self, bool ignore_versions)
    : self_(std::move(self)), ignore_versions_(ignore_versions) {}

void ReservedShares::Set(std::uint64_t version, const PerInstance& reserved_shares) {
  if (!versions_.empty()) {
    if (version <= versions_.rbegin()->first || reserved_shares == versions_.rbegin()->second)
      return;
  }
  versions_[version] = reserved_shares;
  // Dropping the oldest version only delays an increase: an instance whose last acknowledgement
  // names a dropped version counts as one that has not acknowledged.
  if (versions_.size() > kMaxVersions) versions_.erase(versions_.begin());
  const std::uint32_t newest = ReservedShareOf(reserved_shares, self_);
  current_ = ignore_versions_ ? newest : std::min(current_, newest);
}

void ReservedShares::Raise(const membership::Registry& registry) {
  if (versions_.empty()) return;
  const PerInstance& newest = versions_.rbegin()->second;
  if (ignore_versions_) {
    current_ = ReservedShareOf(newest, self_);
    return;
  }
  // Other instances assume that an instance which has not stated a version uses no reserved share.
  const membership::Member* self = registry.Find(self_);
  if (self == nullptr || self->floors_version == 0) return;
  const Acknowledged seen = Acknowledgements(registry, newest);
  if (Version() < seen.most || versions_.begin()->first > seen.least) return;
  std::optional<std::uint32_t> least;
  auto it = versions_.upper_bound(seen.least);
  if (it != versions_.begin()) --it;
  for (; it != versions_.end(); ++it) {
    const std::uint32_t share = ReservedShareOf(it->second, self_);
    least = std::min(least.value_or(share), share);
  }
  current_ = std::max(current_, least.value_or(0));
  // Drop versions older than the oldest one that an instance still applies.
  const auto used = versions_.upper_bound(seen.least);
  if (used != versions_.begin()) versions_.erase(versions_.begin(), std::prev(used));
}

std::uint32_t ReservedShares::Newest(const base::InstanceId& instance) const {
  return versions_.empty() ? 0 : ReservedShareOf(versions_.rbegin()->second, instance);
}

}  // namespace persimmonstair::limits
