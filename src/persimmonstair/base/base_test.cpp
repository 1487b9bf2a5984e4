#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/http_status.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/rendezvous.hpp"
#include "persimmonstair/base/ring.hpp"
#include "persimmonstair/base/verdict.hpp"

namespace persimmonstair::base {
namespace {

// Guards against three digits that are taken for a status of HTTP.
TEST(StatusKindTest, KnowsTheStatusesOfHttp) {
  for (const unsigned status : {0U, 99U, 101U, 600U, 999U}) {
    EXPECT_EQ(KindOfStatus(status), StatusKind::kInvalid) << status;
  }
  for (const unsigned status : {100U, 102U, 199U}) {
    EXPECT_EQ(KindOfStatus(status), StatusKind::kInterim) << status;
  }
  for (const unsigned status : {200U, 204U, 299U, 418U, 599U}) {
    EXPECT_EQ(KindOfStatus(status), StatusKind::kFinal) << status;
  }
}

// Guards against a verdict that becomes not_run after a part of the request was sent.
TEST(VerdictTest, CombineNeverLowers) {
  EXPECT_EQ(Combine(Verdict::kMayHaveRun, Verdict::kNotRun), Verdict::kMayHaveRun);
  EXPECT_EQ(Combine(Verdict::kMayHaveRun, Verdict::kRan), Verdict::kRan);
}

TEST(VerdictTest, NamesRoundTrip) {
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    EXPECT_EQ(ParseVerdict(ToString(verdict)), verdict);
  }
  EXPECT_FALSE(ParseVerdict("maybe").has_value());
}

// Guards against a code without a distinct name, because callers match on names.
TEST(ErrorTest, EveryCodeHasItsOwnNameAndAClientOrServerStatus) {
  std::set<std::string_view> names;
  for (int n = 0; n <= static_cast<int>(ErrorCode::kInternal); ++n) {
    const auto code = static_cast<ErrorCode>(n);
    EXPECT_TRUE(names.insert(ToString(code)).second) << ToString(code);
    EXPECT_GE(HttpStatus(code), 400);
  }
}

// Guards against unbounded growth: a full ring rejects items and keeps the earlier ones.
TEST(RingTest, RefusesWhenFullAndKeepsOrder) {
  Ring<int> ring{2};
  EXPECT_TRUE(ring.TryPush(1));
  EXPECT_TRUE(ring.TryPush(2));
  EXPECT_FALSE(ring.TryPush(3));
  EXPECT_EQ(ring.PopAll(std::chrono::microseconds{0}), (std::vector<int>{1, 2}));
  ring.Close();
  EXPECT_FALSE(ring.TryPush(4));
}

// Guards against a change of the hash, which would assign other owners to all programs during a
// rolling upgrade.
TEST(RendezvousTest, WeightIsStable) {
  EXPECT_EQ(RendezvousWeight("p.dc1.42", "i1"), 15588578041981925932ULL);
}

// Guards against reassigning the keys of the remaining nodes when one node is removed.
TEST(RendezvousTest, RemovingANodeMovesOnlyItsKeys) {
  const std::vector<std::string> all = {"a", "b", "c", "d"};
  const std::vector<std::string> fewer = {"a", "b", "c"};
  const auto name = [](const std::string& node) { return node; };
  for (int n = 0; n < 200; ++n) {
    const std::string key = "key" + std::to_string(n);
    const std::string before = RendezvousPick(key, all, name);
    if (before != "d") {
      EXPECT_EQ(RendezvousPick(key, fewer, name), before);
    }
  }
}

}  // namespace
}  // namespace persimmonstair::base
