#include "differential.hpp"

#include <gtest/gtest.h>

namespace persimmonstair::routing::differential {
namespace {

// Guards against lost or doubly dispatched requests, dispatches to leaving targets, wrong verdicts
// and idle slots, under crashes, silence, and late or repeated events.
TEST(DifferentialTest, RouterMatchesTheReferenceModel) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const std::string failure = RunAndShrink(seed, 300);
    ASSERT_EQ(failure, "");
  }
}

}  // namespace
}  // namespace persimmonstair::routing::differential
