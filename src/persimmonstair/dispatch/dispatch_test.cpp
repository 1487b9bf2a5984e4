#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "persimmonstair/dispatch/lapsed_targets.hpp"
#include "persimmonstair/dispatch/target_board.hpp"

namespace persimmonstair::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ServiceId kEngines{"engines"};

TargetEntry Entry(const std::string& id, const std::string& data_centre = "a") {
  return {{id}, kEngines, {"10.0.0.1", 80}, {data_centre}, 8, false, 1};
}

base::TimePoint At(base::Duration since_start) { return base::TimePoint{seconds{1} + since_start}; }

class TargetBoardTest : public testing::Test {
 protected:
  TargetBoardTest() {
    for (const char* id : {"t1", "t2"}) board_.Upsert(At({}), Entry(id));
  }
  std::string Choose(const Demand& demand = {kEngines, {}, {}, {}}, base::Duration at = {}) {
    const auto target = board_.Choose(At(at), demand);
    return target ? target->id.value : "";
  }
  void Run(const std::string& id, AttemptEnd end, std::optional<ReportedLoad> load = {}) {
    board_.Begin(At({}), {id}, {kEngines, {}, {}, {}});
    board_.End(At({}), {id}, end, load);
  }

  TargetBoard board_{{"a"}};
};

// Guards against new requests at a target that leaves, is gone or was tried already.
TEST_F(TargetBoardTest, NeverChoosesLeavingOrTriedTargets) {
  TargetEntry leaving = Entry("t1");
  leaving.draining = true;
  board_.Upsert(At({}), leaving);
  EXPECT_EQ(Choose(), "t2");
  EXPECT_EQ(Choose({kEngines, {{"t2"}}, {}, {}}), "");
  board_.Remove({"t2"});
  EXPECT_EQ(Choose(), "");
  EXPECT_FALSE(board_.HasTarget(kEngines));
}

// Guards against requests that wait at a full engine while another has free slots.
TEST_F(TargetBoardTest, CountsOwnAndStatedLoad) {
  Run("t1", AttemptEnd::kAnswered, ReportedLoad{8, 4, 8});
  EXPECT_EQ(Choose(), "t2");
  for (int n = 0; n < 12; ++n) board_.Begin(At({}), {"t2"}, {kEngines, {}, {}, {}});
  EXPECT_EQ(Choose(), "t1");
}

// Guards against a target that stays shunned for a load that it stated long ago.
TEST_F(TargetBoardTest, StatedLoadFades) {
  Run("t1", AttemptEnd::kAnswered, ReportedLoad{8, 4, 8});
  board_.Begin(At({}), {"t2"}, {kEngines, {}, {}, {}});
  EXPECT_EQ(Choose({kEngines, {}, {}, {}}, seconds{2}), "t1");
}

// Guards against prompts that are read again at another engine while theirs has room, and against
// requests that wait at a full engine only for its memory.
TEST_F(TargetBoardTest, PrefersTheEngineThatHasThePromptUnlessItIsFull) {
  const Demand demand{kEngines, {}, {{"shared", 512}, {"own", 1200}}, {}};
  board_.Begin(At({}), {"t2"}, demand);
  EXPECT_EQ(Choose(demand), "t2");
  for (int n = 0; n < 10; ++n) board_.Begin(At({}), {"t2"}, demand);
  EXPECT_EQ(Choose(demand), "t1");
}

// Guards against an engine that starts again under its id and is credited with its old memory.
TEST_F(TargetBoardTest, AnotherStartForgetsWhatWasSeen) {
  const Demand demand{kEngines, {}, {{"own", 1200}}, {}};
  board_.Begin(At({}), {"t2"}, demand);
  board_.End(At({}), {"t2"}, AttemptEnd::kAnswered, {});
  TargetEntry again = Entry("t2");
  again.started_ms = 2;
  board_.Upsert(At({}), again);
  EXPECT_EQ(Choose(demand), "t1");
}

// Guards against repeated attempts at a target that cannot be reached while others can.
TEST_F(TargetBoardTest, AvoidsUnreachableTargetsForAWhile) {
  Run("t1", AttemptEnd::kUnreachable);
  EXPECT_EQ(Choose(), "t2");
  EXPECT_EQ(Choose({kEngines, {{"t2"}}, {}, {}}), "t1");
}

// Guards against a target that answers quickly with failures and so draws the load.
TEST_F(TargetBoardTest, BreakingTargetsCostMore) {
  for (int n = 0; n < 5; ++n) Run("t1", AttemptEnd::kBroken);
  EXPECT_EQ(Choose({kEngines, {}, {}, {}}, seconds{1}), "t2");
}

// Guards against a target that left just after an outage and gets requests for as long again as its
// removal was held back (hunt of puitsnet-hq, scale-2 --seed 64296786590, DRAIN).
TEST(LapsedTargetsTest, RemovalsAreHeldUntilTheGraceEndsAndNoLonger) {
  LapsedTargets lapsed;
  EXPECT_FALSE(lapsed.Hold(At({}), {"t1"}));
  lapsed.OnRegained(At({}));
  const base::Duration late = kLapseGrace - milliseconds{100};
  EXPECT_TRUE(lapsed.Hold(At(late), {"t1"}));
  EXPECT_TRUE(lapsed.Hold(At(late), {"t2"}));
  lapsed.Restore({"t2"});
  EXPECT_TRUE(lapsed.TakeGone(At(late)).empty());
  EXPECT_EQ(lapsed.TakeGone(At(kLapseGrace)), (std::vector<base::TargetId>{{"t1"}}));
  EXPECT_TRUE(lapsed.TakeGone(At(kLapseGrace)).empty());
  EXPECT_FALSE(lapsed.Hold(At(kLapseGrace), {"t1"}));
}

// Guards against bytes and time between data centres while the own one has room.
TEST(TargetBoardHomeTest, PrefersTheOwnDataCentre) {
  TargetBoard board({"b"});
  board.Upsert(At({}), Entry("t1", "a"));
  board.Upsert(At({}), Entry("t2", "b"));
  EXPECT_EQ(board.Choose(At({}), {kEngines, {}, {}, {}})->id.value, "t2");
  for (int n = 0; n < 9; ++n) board.Begin(At({}), {"t2"}, {kEngines, {}, {}, {}});
  EXPECT_EQ(board.Choose(At({}), {kEngines, {}, {}, {}})->id.value, "t1");
}

}  // namespace
}  // namespace persimmonstair::dispatch
