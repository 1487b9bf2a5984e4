#include "persimmonstair/base/rendezvous.hpp"

#include <xxhash.h>

namespace persimmonstair::base {

std::uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(node.data(), node.size(), seed);
}

}  // namespace persimmonstair::base
