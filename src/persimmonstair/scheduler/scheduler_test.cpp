// Tests the invariants of docs/design.md, section 1.2, on several complete schedulers.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "test/fleet.hpp"

namespace persimmonstair::scheduler::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string ErrorCodeOf(const Reply* reply) {
  if (reply == nullptr) return "no answer";
  const auto json = nlohmann::json::parse(reply->body, nullptr, false);
  if (!json.is_object() || !json.contains("error")) return "ok";
  return json["error"]["code"];
}

std::string VerdictOf(const Reply* reply) {
  if (reply == nullptr) return "no answer";
  const auto it = reply->headers.find("persimmonstair-verdict");
  return it == reply->headers.end() ? "" : it->second;
}

std::uint32_t StatusCode(const Reply* reply) { return reply == nullptr ? 0 : reply->status; }

std::vector<Dispatch> EngineDispatches(const Fleet& fleet) {
  std::vector<Dispatch> out;
  for (const char* name : {"engine-1", "engine-2"}) {
    const auto& received = fleet.targets.at(name).received;
    out.insert(out.end(), received.begin(), received.end());
  }
  return out;
}

class SchedulerTest : public testing::Test {
 protected:
  SchedulerTest() { fleet.Start(); }
  Fleet fleet{3};
};

// Turns must be neither reordered nor repeated if the load balancer sends them to different
// instances.
TEST_F(SchedulerTest, TurnsRunInOrderAtAnyEntryInstance) {
  const std::string program = fleet.MustOpen(0);
  for (std::uint32_t turn = 1; turn <= 4; ++turn) {
    const auto request =
        fleet.Turn(static_cast<int>(turn % 3), program, "t" + std::to_string(turn), turn);
    const Reply* reply = fleet.Wait(request);
    ASSERT_EQ(StatusCode(reply), 200U) << (reply ? reply->body : "");
    EXPECT_EQ(reply->headers.at("persimmonstair-turn"), std::to_string(turn));
  }
  EXPECT_EQ(ErrorCodeOf(fleet.Wait(fleet.Turn(1, program, "t9", 9))), "conflict");
  EXPECT_EQ(EngineDispatches(fleet).size(), 4U);
}

// A turn must not run again if its caller repeats it because the response was lost.
TEST_F(SchedulerTest, RepeatedTurnReturnsTheRecordedResponse) {
  const std::string program = fleet.MustOpen(0);
  const Reply* first = fleet.Wait(fleet.Turn(1, program, "hello", 1));
  const Reply* again = fleet.Wait(fleet.Turn(2, program, "hello", 1));
  ASSERT_EQ(StatusCode(again), 200U);
  EXPECT_EQ(again->body, first->body);
  EXPECT_EQ(again->headers.at("persimmonstair-replayed"), "true");
  EXPECT_EQ(EngineDispatches(fleet).size(), 1U);
}

// The history of a program must not be lost when its owner crashes: the next turn at the new owner
// contains the earlier messages.
TEST_F(SchedulerTest, HistorySurvivesTheOwnersCrash) {
  const std::string program = fleet.MustOpen(0);
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Turn(0, program, "my heirloom", 1))), 200U);
  fleet.Kill(0);
  fleet.Run(seconds{15});
  const Reply* reply = fleet.Wait(fleet.Turn(1, program, "second", 2));
  ASSERT_EQ(StatusCode(reply), 200U) << (reply ? reply->body : "");
  const std::string body = EngineDispatches(fleet).back().body;
  bool found = false;
  for (const auto& it : EngineDispatches(fleet)) {
    found = found || (it.body.find("second") != std::string::npos &&
                      it.body.find("my heirloom") != std::string::npos);
  }
  EXPECT_TRUE(found) << body;
}

// Turns must not be refused while the log is down, and their history must not be lost if the owner
// then crashes.
TEST_F(SchedulerTest, TurnsContinueDuringALogOutageWithCopiesOnPeers) {
  const std::string program = fleet.MustOpen(0);
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Turn(0, program, "before", 1))), 200U);
  fleet.log.down = true;
  fleet.Run(seconds{30});
  const Reply* reply = fleet.Wait(fleet.Turn(1, program, "during", 2));
  ASSERT_EQ(StatusCode(reply), 200U) << (reply ? reply->body : "");
  EXPECT_EQ(reply->headers.at("persimmonstair-durability"), "peers-2");
  fleet.Kill(0);
  fleet.log.down = false;
  fleet.Run(seconds{30});
  reply = fleet.Wait(fleet.Turn(2, program, "after", 3));
  ASSERT_EQ(StatusCode(reply), 200U) << (reply ? reply->body : "");
  bool found = false;
  for (const auto& it : EngineDispatches(fleet)) {
    found = found || (it.body.find("after") != std::string::npos &&
                      it.body.find("during") != std::string::npos);
  }
  EXPECT_TRUE(found);
}

// A workspace must neither use a program of another workspace nor learn that it exists.
TEST_F(SchedulerTest, ProgramsOfAnotherWorkspaceAreNotReachable) {
  const std::string program = fleet.MustOpen(0);
  for (int n = 0; n < 3; ++n) {
    EXPECT_EQ(ErrorCodeOf(fleet.Wait(fleet.Turn(n, program, "x", 1, "south-key"))), "not_found");
  }
  EXPECT_TRUE(EngineDispatches(fleet).empty());
}

// A loop of turns must not use more tokens than the program's budget.
TEST_F(SchedulerTest, BudgetStopsAnEndlessLoop) {
  CallerRequest open;
  open.kind = CallKind::kOpenProgram;
  open.key = Fleet::DigestOf("north-key");
  open.model = {"m"};
  open.budget_tokens = 120;
  const Reply* opened = fleet.Wait(fleet.Send(0, open));
  ASSERT_EQ(StatusCode(opened), 201U);
  const std::string program = nlohmann::json::parse(opened->body).at("id");
  int ran = 0;
  std::string code = "ok";
  for (int n = 0; n < 30 && code == "ok"; ++n) {
    const Reply* reply = fleet.Wait(fleet.Turn(n % 3, program, "again"));
    code = ErrorCodeOf(reply);
    ran += code == "ok" ? 1 : 0;
  }
  EXPECT_EQ(code, "budget_exhausted");
  // Each response of the fake engine uses 15 tokens.
  EXPECT_LE(ran * 15, 120);
  EXPECT_GT(ran, 0);
}

// Engine memory must be released when a program ends or expires, even if its owner crashed before.
TEST_F(SchedulerTest, EndedAndOrphanedProgramsHoldNoEngineMemory) {
  const std::string ended = fleet.MustOpen(0);
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Turn(0, ended, "x", 1))), 200U);
  CallerRequest end;
  end.kind = CallKind::kEndProgram;
  end.key = Fleet::DigestOf("north-key");
  end.program = {ended};
  EXPECT_EQ(StatusCode(fleet.Wait(fleet.Send(2, end))), 200U);
  const std::string orphan = fleet.MustOpen(1);
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Turn(1, orphan, "x", 1))), 200U);
  fleet.Kill(1);
  // The new owner does not know whether a tool pause was announced, so it applies the longer idle
  // limit of one hour.
  fleet.Run(std::chrono::minutes{62}, milliseconds{100});
  for (const char* name : {"engine-1", "engine-2"}) {
    EXPECT_TRUE(fleet.targets[name].held.empty())
        << name << " holds " << *fleet.targets[name].held.begin() << " of " << orphan;
  }
}

// No request to a target may contain a caller's key.
TEST_F(SchedulerTest, TargetsNeverReceiveACallersKey) {
  const std::string program = fleet.MustOpen(0);
  fleet.Wait(fleet.Turn(1, program, "x", 1));
  fleet.Wait(fleet.Service(0, "quote", ""));
  fleet.Wait(fleet.Service(0, "deposit", fleet.IdempotencyKey("a")));
  int seen = 0;
  for (const auto& [name, target] : fleet.targets) {
    for (const Dispatch& it : target.received) {
      ++seen;
      std::string all = it.path + it.body;
      for (const auto& [header, value] : it.headers) all += header + value;
      EXPECT_EQ(all.find("north-key"), std::string::npos);
      EXPECT_EQ(it.headers.count("authorization"), 0U);
    }
  }
  EXPECT_EQ(seen, 3);
}

// A withdrawn key must not be accepted at any instance, and running requests with it must end.
TEST_F(SchedulerTest, WithdrawnKeyIsRefusedWithinSeconds) {
  const std::string program = fleet.MustOpen(0);
  fleet.targets["engine-1"].mode = fleet.targets["engine-2"].mode = TargetMode::kHang;
  const auto running = fleet.Turn(1, program, "x", 1);
  fleet.Run(seconds{1});
  ASSERT_EQ(fleet.ReplyTo(running), nullptr);
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Change(2, "keys", "north-desk", 1, "", true))), 200U);
  fleet.Run(seconds{2});
  EXPECT_EQ(ErrorCodeOf(fleet.ReplyTo(running)), "unauthorized");
  for (int n = 0; n < 3; ++n) {
    const Reply* reply = fleet.Wait(fleet.Service(n, "quote", ""));
    EXPECT_EQ(ErrorCodeOf(reply), "unauthorized");
    EXPECT_EQ(VerdictOf(reply), "not_run");
  }
  EXPECT_EQ(StatusCode(fleet.Wait(fleet.Service(0, "opening-hours", "", "{}", ""))), 200U);
}

// An instance without contact to the log and its peers cannot learn that a key was withdrawn, so it
// must not serve requests with a key.
TEST_F(SchedulerTest, IsolatedInstanceRefusesKeyedRequestsAndServesOpenRoutes) {
  fleet.StartPartition({0}, true);
  fleet.Run(seconds{5});
  EXPECT_EQ(StatusCode(fleet.Wait(fleet.Service(0, "quote", ""))), 200U);
  fleet.Run(seconds{10});
  EXPECT_EQ(ErrorCodeOf(fleet.Wait(fleet.Service(0, "quote", ""))), "log_unavailable");
  EXPECT_EQ(StatusCode(fleet.Wait(fleet.Service(0, "opening-hours", "", "{}", ""))), 200U);
}

// All instances together must admit at most rate x time + burst, also during a partition.
TEST_F(SchedulerTest, RateLimitHoldsOverAllInstances) {
  const base::TimePoint begin = fleet.CurrentTime();
  int admitted = 0;
  std::vector<base::RequestId> sent;
  for (int round = 0; round < 200; ++round) {
    if (round == 60) fleet.StartPartition({0}, true);
    if (round == 140) fleet.EndPartition();
    for (int n = 0; n < 9; ++n) sent.push_back(fleet.Service(n % 3, "quote", ""));
    fleet.Run(milliseconds{50});
  }
  fleet.Run(seconds{1});
  for (const auto& id : sent) admitted += ErrorCodeOf(fleet.ReplyTo(id)) == "ok" ? 1 : 0;
  const double bound = 100 + 50 * base::ToSeconds(fleet.CurrentTime() - begin);
  EXPECT_LE(admitted, bound);
  // Under a partition at least the reserved shares must stay usable.
  EXPECT_GE(admitted, 0.2 * bound);
}

// A refusal with the verdict not_run must not be given for a request that a target ran.
TEST_F(SchedulerTest, NotRunVerdictMeansNoTargetRanTheRequest) {
  fleet.targets["service-1"].mode = fleet.targets["service-2"].mode = TargetMode::kCloseAfterRun;
  const std::string key = fleet.IdempotencyKey("b");
  const Reply* lost = fleet.Wait(fleet.Service(0, "deposit", key));
  EXPECT_EQ(VerdictOf(lost), "may_have_run");
  EXPECT_EQ(fleet.RunCount(key), 1);
  fleet.targets["service-1"].mode = fleet.targets["service-2"].mode = TargetMode::kRefuse;
  const std::string other = fleet.IdempotencyKey("c");
  const Reply* refused = fleet.Wait(fleet.Service(0, "deposit", other), seconds{150});
  EXPECT_EQ(VerdictOf(refused), "not_run") << (refused ? refused->body : "");
  EXPECT_EQ(fleet.RunCount(other), 0);
}

// A forwarded request must not be reported as not run if the owner that handled it crashed.
TEST_F(SchedulerTest, OwnerCrashDuringForwardedTurnIsReportedAsMayHaveRun) {
  const std::string program = fleet.MustOpen(0);
  fleet.targets["engine-1"].mode = fleet.targets["engine-2"].mode = TargetMode::kHang;
  CallerRequest turn;
  turn.kind = CallKind::kTurn;
  turn.key = Fleet::DigestOf("north-key");
  turn.program = {program};
  turn.body = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
  turn.deadline = seconds{5};
  const auto request = fleet.Send(1, turn);
  fleet.Run(seconds{1});
  fleet.Kill(0);
  const Reply* reply = fleet.Wait(request);
  EXPECT_EQ(VerdictOf(reply), "may_have_run");
}

// A non-idempotent request must run once if the caller sends it to two instances at the same time.
TEST_F(SchedulerTest, SameIdempotencyKeyAtTwoInstancesRunsOnce) {
  const std::string key = fleet.IdempotencyKey("d");
  const auto first = fleet.Service(0, "deposit", key);
  const auto second = fleet.Service(1, "deposit", key);
  fleet.Run(seconds{5});
  EXPECT_EQ(fleet.RunCount(key), 1);
  ASSERT_NE(fleet.ReplyTo(first), nullptr);
  ASSERT_NE(fleet.ReplyTo(second), nullptr);
  EXPECT_EQ(StatusCode(fleet.Wait(fleet.Service(2, "deposit", key))), 200U);
  EXPECT_EQ(ErrorCodeOf(fleet.Wait(fleet.Service(2, "deposit", key, "other body"))), "key_reused");
  EXPECT_EQ(fleet.RunCount(key), 1);
}

// An effect must not run again after the result of an append was lost or its claimant crashed.
TEST_F(SchedulerTest, LostAppendRepliesAndCrashesDoNotRepeatAnEffect) {
  const std::string lost = fleet.IdempotencyKey("e");
  fleet.log.lost_append_replies = 1;
  fleet.Wait(fleet.Service(0, "deposit", lost));
  EXPECT_EQ(fleet.RunCount(lost), 1);
  const std::string dead = fleet.IdempotencyKey("f");
  fleet.targets["service-1"].delay = fleet.targets["service-2"].delay = seconds{2};
  fleet.Service(0, "deposit", dead);
  fleet.Run(seconds{1});
  ASSERT_EQ(fleet.RunCount(dead), 1);
  fleet.Kill(0);
  const Reply* reply = fleet.Wait(fleet.Service(1, "deposit", dead));
  EXPECT_EQ(VerdictOf(reply), "may_have_run");
  EXPECT_EQ(fleet.RunCount(dead), 1);
}

// The outcome of an effect must be recorded even if the caller got an error before the target
// responded.
TEST_F(SchedulerTest, OutcomeIsRecordedAfterTheCallersKeyWasWithdrawn) {
  const std::string key = fleet.IdempotencyKey("i");
  fleet.targets["service-1"].delay = fleet.targets["service-2"].delay = seconds{5};
  const auto running = fleet.Service(0, "deposit", key);
  fleet.Run(seconds{1});
  ASSERT_EQ(fleet.RunCount(key), 1);
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Change(1, "keys", "north-desk", 1, "", true))), 200U);
  fleet.Run(seconds{2});
  EXPECT_EQ(ErrorCodeOf(fleet.ReplyTo(running)), "unauthorized");
  EXPECT_EQ(VerdictOf(fleet.ReplyTo(running)), "may_have_run");
  fleet.Run(seconds{5});
  const std::string entry = fleet.CatalogueEntry("keys", "north-desk");
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Change(1, "keys", "north-desk", 0, entry))), 200U);
  const Reply* again = fleet.Wait(fleet.Service(2, "deposit", key));
  EXPECT_EQ(StatusCode(again), 200U) << (again ? again->body : "");
  EXPECT_EQ(VerdictOf(again), "ran");
  EXPECT_EQ(fleet.RunCount(key), 1);
}

// A workspace must not open more than max_programs programs.
TEST_F(SchedulerTest, MaxProgramsIsEnforced) {
  auto json = nlohmann::json::parse(fleet.CatalogueEntry("workspaces", "north"));
  json["max_programs"] = 2;
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Change(0, "workspaces", "north", 1, json.dump()))), 200U);
  fleet.MustOpen(0);
  fleet.MustOpen(1);
  fleet.Run(seconds{1});
  EXPECT_EQ(ErrorCodeOf(fleet.Wait(fleet.OpenProgram(2))), "rate_limited");
}

// While the log is down, an effect must not run, because its claim cannot be recorded.
TEST_F(SchedulerTest, EffectsAreRefusedWithoutTheLog) {
  fleet.log.down = true;
  fleet.Run(seconds{3});
  const std::string key = fleet.IdempotencyKey("g");
  const Reply* reply = fleet.Wait(fleet.Service(0, "deposit", key));
  EXPECT_EQ(ErrorCodeOf(reply), "log_unavailable");
  EXPECT_EQ(VerdictOf(reply), "not_run");
  EXPECT_EQ(fleet.RunCount(key), 0);
}

// A claimant that was paused must not dispatch an effect after its claim expired.
TEST_F(SchedulerTest, PausedClaimantDoesNotDispatchAfterItsClaimExpired) {
  const std::string key = fleet.IdempotencyKey("h");
  fleet.Service(0, "deposit", key);
  fleet.Pause(0);
  fleet.Run(seconds{8});
  const Reply* other = fleet.Wait(fleet.Service(1, "deposit", key));
  fleet.Resume(0);
  fleet.Run(seconds{10});
  EXPECT_LE(fleet.RunCount(key), 1);
  if (VerdictOf(other) == "ran") {
    EXPECT_EQ(fleet.RunCount(key), 1);
  }
}

// A target that the catalogue marks as leaving must get no new requests.
TEST_F(SchedulerTest, LeavingTargetGetsNoNewRequests) {
  auto json = nlohmann::json::parse(fleet.CatalogueEntry("targets", "service-1"));
  json["state"] = "leaving";
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Change(0, "targets", "service-1", 1, json.dump()))), 200U);
  fleet.Run(seconds{2});
  fleet.targets["service-1"].received.clear();
  for (int n = 0; n < 12; ++n) {
    EXPECT_EQ(StatusCode(fleet.Wait(fleet.Service(n % 3, "quote", ""))), 200U);
  }
  EXPECT_TRUE(fleet.targets["service-1"].received.empty());
}

// A planned stop must not interrupt requests or lose programs.
TEST_F(SchedulerTest, PlannedStopFinishesRequestsAndHandsOverPrograms) {
  const std::string program = fleet.MustOpen(0);
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Turn(0, program, "one", 1))), 200U);
  fleet.targets["engine-1"].delay = fleet.targets["engine-2"].delay = seconds{4};
  const auto running = fleet.Turn(0, program, "two", 2);
  fleet.Run(milliseconds{200});
  fleet.Stop(0);
  fleet.Run(seconds{25});
  EXPECT_EQ(StatusCode(fleet.ReplyTo(running)), 200U);
  EXPECT_TRUE(fleet.HasStopped(0));
  EXPECT_EQ(fleet.UnfinishedWork(0), "");
  fleet.Kill(0);
  fleet.targets["engine-1"].delay = fleet.targets["engine-2"].delay = milliseconds{20};
  const Reply* reply = fleet.Wait(fleet.Turn(1, program, "three", 3));
  EXPECT_EQ(StatusCode(reply), 200U) << (reply ? reply->body : "");
}

// Of two concurrent edits of the same catalogue entry at different instances, one must fail;
// otherwise an update would be lost.
TEST_F(SchedulerTest, ConcurrentCatalogueChangesConflict) {
  auto json = nlohmann::json::parse(fleet.CatalogueEntry("workspaces", "north"));
  json["rate_per_s"] = 7;
  const auto first = fleet.Change(0, "workspaces", "north", 1, json.dump());
  json["rate_per_s"] = 9;
  const auto second = fleet.Change(1, "workspaces", "north", 1, json.dump());
  const std::uint32_t a = StatusCode(fleet.Wait(first));
  const std::uint32_t b = StatusCode(fleet.Wait(second));
  EXPECT_EQ(std::min(a, b), 200U);
  EXPECT_EQ(std::max(a, b), 409U);
}

// The catalogue version must not go back when an instance restarts during a log outage.
TEST_F(SchedulerTest, CatalogueReachesAllInstancesAndNeverGoesBack) {
  ASSERT_EQ(StatusCode(fleet.Wait(fleet.Change(0, "keys", "south-desk", 1, "", true))), 200U);
  fleet.Run(seconds{2});
  const std::uint64_t version = fleet.StatusOf(0).catalogue_version;
  fleet.log.down = true;
  fleet.Kill(1);
  fleet.Restart(1);
  fleet.Run(seconds{10});
  for (int n = 0; n < 3; ++n) {
    EXPECT_EQ(fleet.StatusOf(n).catalogue_version, version) << n;
    EXPECT_TRUE(fleet.StatusOf(n).ready) << n;
    EXPECT_EQ(ErrorCodeOf(fleet.Wait(fleet.Service(n, "quote", "", "{}", "south-key"))),
              "unauthorized");
  }
}

// An instance that starts after the first records expired must not miss the state they contained.
TEST(RetentionTest, LateReaderReachesTheSameStateFromASnapshot) {
  Fleet fleet{3, 1, seconds{60}};
  fleet.Start();
  fleet.Run(seconds{40});
  for (auto& [name, stream] : fleet.log.streams) {
    if (name.value == "catalogue" || name.value == "control") stream.oldest = 1;
  }
  fleet.Kill(2);
  fleet.Restart(2);
  fleet.Run(seconds{15});
  EXPECT_TRUE(fleet.StatusOf(2).ready);
  EXPECT_EQ(fleet.StatusOf(2).catalogue_version, fleet.StatusOf(0).catalogue_version);
  EXPECT_EQ(StatusCode(fleet.Wait(fleet.Service(2, "quote", ""))), 200U);
}

}  // namespace
}  // namespace persimmonstair::scheduler::test
