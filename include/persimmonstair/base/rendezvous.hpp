#ifndef PERSIMMONSTAIR_BASE_RENDEZVOUS_HPP_
#define PERSIMMONSTAIR_BASE_RENDEZVOUS_HPP_

#include <cstdint>
#include <string_view>

namespace persimmonstair::base {

/// @brief Weight of a node for a key in rendezvous hashing: the node with the highest weight is
/// chosen for the key. The value (xxHash64) is the same on every machine and in every release.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view node);

/// @brief The same weight as a fraction of the largest one, 0 to 1.
double RendezvousFraction(std::string_view key, std::string_view node);

/// @brief Returns the element of a non-empty range that has the highest weight for the key. `name`
/// maps an element to its node name.
///
///     auto owner = RendezvousPick(program.value, live, [](const auto& id) { return id.value; });
template <class Range, class Name>
auto RendezvousPick(std::string_view key, const Range& nodes, Name name) {
  auto best = nodes.begin();
  std::uint64_t best_weight = 0;
  for (auto it = nodes.begin(); it != nodes.end(); ++it) {
    const std::uint64_t weight = RendezvousWeight(key, name(*it));
    if (it == nodes.begin() || weight > best_weight) {
      best = it;
      best_weight = weight;
    }
  }
  return *best;
}

}  // namespace persimmonstair::base

#endif  // PERSIMMONSTAIR_BASE_RENDEZVOUS_HPP_
