#ifndef PERSIMMONSTAIR_SRC_GATEWAY_PARTITIONS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_PARTITIONS_HPP_

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "persimmonstair/gateway/record_store.hpp"

namespace persimmonstair::gateway {

/// Streams over which one kind of state is spread. The store allows 100 streams; many partitions
/// keep each small, so that one is read quickly where its records are needed.
inline constexpr std::uint32_t kStreamsPerKind = 40;

/// @brief Maps keys of one kind of state to the partitions that hold them. All instances use the
/// same mapping.
class Partitioning {
 public:
  Partitioning(std::string kind, std::uint32_t parts_of_stream)
      : kind_(std::move(kind)), parts_(parts_of_stream) {}

  Partition PartitionOf(std::string_view key) const {
    const std::uint64_t index =
        XXH64(key.data(), key.size(), 0) % (std::uint64_t{kStreamsPerKind} * parts_);
    return {{kind_ + "-" + std::to_string(index / parts_)},
            static_cast<std::uint32_t>(index % parts_)};
  }

 private:
  std::string kind_;
  std::uint32_t parts_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_PARTITIONS_HPP_
