#ifndef PERSIMMONSTAIR_SRC_GATEWAY_NONCE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_NONCE_HPP_

#include <cstdint>
#include <random>

namespace persimmonstair::gateway {

/// @brief Returns a random first number for messages to other instances, so that a restarted
/// instance does not take answers to its earlier process for its own.
inline std::uint64_t RandomNonce() {
  std::random_device random;
  return (std::uint64_t{random()} << 32U) | random();
}

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_NONCE_HPP_
