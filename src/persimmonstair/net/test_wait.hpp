#ifndef PERSIMMONSTAIR_SRC_NET_TEST_WAIT_HPP_
#define PERSIMMONSTAIR_SRC_NET_TEST_WAIT_HPP_

#include <chrono>
#include <thread>

namespace persimmonstair::net {

/// Time after which a test stops to wait. It only keeps a failing test from hanging; no result
/// depends on its length.
inline constexpr std::chrono::seconds kTestWaitLimit{60};

/// @brief Waits until the condition holds. Returns false if it does not within kTestWaitLimit.
template <class Condition>
bool Eventually(Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kTestWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::yield();
  }
  return true;
}

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_TEST_WAIT_HPP_
