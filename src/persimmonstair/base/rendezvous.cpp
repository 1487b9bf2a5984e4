#include "persimmonstair/base/rendezvous.hpp"

#include <xxhash.h>

#include <limits>

namespace persimmonstair::base {

std::uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(node.data(), node.size(), seed);
}

double RendezvousFraction(std::string_view key, std::string_view node) {
  return static_cast<double>(RendezvousWeight(key, node)) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

}  // namespace persimmonstair::base
