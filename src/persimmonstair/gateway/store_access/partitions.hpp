#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_PARTITIONS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_PARTITIONS_HPP_

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "persimmonstair/gateway/record_store.hpp"

namespace persimmonstair::gateway::store_access {

/// Number of streams for stored turns. The store allows 100 streams in total. Many partitions keep
/// each one small, so that it can be read quickly when its turns are needed.
inline constexpr std::uint32_t kTurnStreams = 40;
/// Number of streams for reservations. Few partitions let each append carry many reservations.
inline constexpr std::uint32_t kBudgetStreams = 1;

/// @brief Maps the keys of one kind of state to partitions by hash. All instances use the same
/// mapping.
class Partitioning {
 public:
  Partitioning(std::string kind, std::uint32_t streams, std::uint32_t parts_of_stream)
      : kind_(std::move(kind)), streams_(streams), parts_(parts_of_stream) {}

  Partition PartitionOf(std::string_view key) const {
    const std::uint64_t index =
        XXH64(key.data(), key.size(), 0) % (std::uint64_t{streams_} * parts_);
    return {{kind_ + "-" + std::to_string(index / parts_)},
            static_cast<std::uint32_t>(index % parts_)};
  }

 private:
  std::string kind_;
  std::uint32_t streams_;
  std::uint32_t parts_;
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_PARTITIONS_HPP_
