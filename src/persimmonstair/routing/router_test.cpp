#include "persimmonstair/routing/router.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstair::routing {
namespace {

using base::Duration;
using base::Verdict;

constexpr Duration kSecond{1'000'000};

// A router, helpers for engines that serve model "m", and a clock that tests advance.
class RouterTest : public testing::Test {
 protected:
  static catalogue::Target Engine(const std::string& id, std::uint32_t slots = 1) {
    catalogue::Target it;
    it.id = {id};
    it.data_centre = {"d1"};
    it.address = "127.0.0.1";
    it.port = 9000;
    it.slots = slots;
    it.models = {{"m"}};
    return it;
  }

  void Begin(std::vector<catalogue::Target> targets,
             std::map<base::WorkspaceId, double> weights = {}) {
    Send(CatalogueApplied{std::move(targets), std::move(weights)});
  }

  void Send(const Event& event) {
    for (auto& it : router_.Handle(now_, event)) {
      if (const auto* dispatch = std::get_if<Dispatch>(&it)) last_ = *dispatch;
      decisions_.push_back(std::move(it));
    }
  }

  RequestQueued Request(const std::string& workspace = "w", const std::string& program = "") {
    RequestQueued it;
    it.request = {++requests_};
    it.workspace = {workspace};
    it.program = {program};
    it.model = {"m"};
    it.prompt_tokens = 800;
    it.expected_completion_tokens = 40;
    it.fingerprint = requests_;
    return it;
  }

  void Finish(const Dispatch& dispatch) { Send(AttemptFinished{dispatch.attempt, 800, 0, 40}); }
  void Fail(const Dispatch& dispatch, FailureKind kind, Verdict verdict = Verdict::kMayHaveRun) {
    Send(AttemptFailed{dispatch.attempt, kind, verdict});
  }

  template <class T>
  std::vector<T> Take() {
    std::vector<T> taken;
    for (const auto& it : decisions_) {
      if (const auto* value = std::get_if<T>(&it)) taken.push_back(*value);
    }
    decisions_.clear();
    return taken;
  }

  // Finishes up to n requests on one slot; returns the request ids in the order of dispatch.
  std::vector<std::uint64_t> Drain(int n) {
    std::vector<std::uint64_t> order;
    for (int i = 0; i < n; ++i) {
      Take<Dispatch>();
      Finish(last_);
      const auto next = Take<Dispatch>();
      if (next.empty()) break;
      order.push_back(next.front().request.value);
    }
    return order;
  }

  Settings settings_{{"i1"}, {"d1"}};
  Router router_{settings_};
  base::TimePoint now_{Duration{1'000'000'000}};
  std::vector<Decision> decisions_;
  Dispatch last_;
  std::uint64_t requests_ = 0;
};

// Guards against a workspace that gets more than its share by weight while another one waits.
TEST_F(RouterTest, WorkspacesShareByWeight) {
  Begin({Engine("a")}, {{{"heavy"}, 3}, {{"light"}, 1}});
  Send(Request("blocker"));
  std::set<std::uint64_t> light;
  for (int i = 0; i < 12; ++i) Send(Request("heavy"));
  for (int i = 0; i < 12; ++i) {
    Send(Request("light"));
    light.insert(requests_);
  }
  const auto order = Drain(8);
  EXPECT_EQ(std::ranges::count_if(order, [&](auto id) { return light.contains(id); }), 2);
}

// Guards against a workspace that collects credit while idle and then blocks the others.
TEST_F(RouterTest, IdleTimeEarnsNoCredit) {
  Begin({Engine("a")});
  Send(Request("busy"));
  for (int i = 0; i < 40; ++i) Send(Request("busy"));
  Drain(20);
  std::set<std::uint64_t> late;
  for (int i = 0; i < 10; ++i) {
    Send(Request("late"));
    late.insert(requests_);
  }
  const auto order = Drain(10);
  EXPECT_LE(std::ranges::count_if(order, [&](auto id) { return late.contains(id); }), 6);
}

// Guards against a long program that delays short ones of the same workspace, and against counting
// the service of a child program separately from its root.
TEST_F(RouterTest, LeastAttainedProgramFirst) {
  Begin({Engine("a")});
  Send(Request("w", "long"));
  RequestQueued child = Request("w", "child");
  child.root = {"long"};
  Send(child);
  Send(Request("w", "short"));
  EXPECT_EQ(Drain(1), (std::vector<std::uint64_t>{3}));
}

// Guards against a fair order that ignores service received at other instances.
TEST_F(RouterTest, ServiceAtOtherInstancesCounts) {
  Begin({Engine("a")});
  Send(PeerLoad{{"i2"}, {}, {{{"x"}, 0}}});
  Send(Request("blocker"));
  Send(Request("x"));
  Send(Request("y"));
  Send(PeerLoad{{"i2"}, {}, {{{"x"}, 5'000'000}}});
  EXPECT_EQ(Drain(1), (std::vector<std::uint64_t>{3}));
}

// Guards against prefilling a prompt again although the engine that has its prefix cached is free.
TEST_F(RouterTest, PrefersTheEngineThatHoldsThePrefixOnlyIfItFinishesFirst) {
  Begin({Engine("a", 4), Engine("b", 4), Engine("c", 4)});
  for (const std::string holder : {"a", "b", "c"}) {
    RequestQueued request = Request();
    request.prompt_tokens = 8000;
    request.last_target = {holder};
    request.held_tokens = 7900;
    Send(request);
    EXPECT_EQ(last_.target.value, holder);
  }
  // A short cached prefix saves less time than the pending prefill at that engine costs.
  RequestQueued large = Request();
  large.prompt_tokens = 80'000;
  Send(large);
  RequestQueued small = Request();
  small.last_target = last_.target;
  small.held_tokens = 100;
  Send(small);
  EXPECT_NE(last_.target, small.last_target);
}

// Guards against prefilling a long prompt again when the engine that has it cached will soon be
// free, and against waiting for that engine indefinitely.
TEST_F(RouterTest, PlanAheadWaitsForTheHolderForABoundedTime) {
  Begin({Engine("a"), Engine("b")});
  Send(Request());
  RequestQueued next = Request();
  next.last_target = last_.target;
  next.prompt_tokens = 8000;
  next.held_tokens = 7900;
  Send(next);
  EXPECT_EQ(router_.Queued(), 1U);
  // Prefill of 7,900 tokens takes about a second.
  now_ += 2 * kSecond;
  Send(Tick{});
  EXPECT_EQ(router_.Queued(), 0U);
  EXPECT_NE(last_.target, next.last_target);
}

// Guards against a request that keeps waiting for a prefix holder that has become unusable (found
// by routing_fuzz, seed 212991).
TEST_F(RouterTest, PlanAheadStopsWaitingWhenTheHolderIsLost) {
  Begin({Engine("a"), Engine("b")});
  Send(Request());
  RequestQueued next = Request();
  next.last_target = last_.target;
  next.prompt_tokens = 8000;
  next.held_tokens = 7900;
  // Another instance's load keeps the holder full after this instance's attempt there failed.
  Send(PeerLoad{{"i2"}, {{next.last_target, 1}}, {}});
  Send(next);
  EXPECT_EQ(router_.Queued(), 1U);
  Send(AttemptFailed{last_.attempt, FailureKind::kConnectionClosed, Verdict::kMayHaveRun, true});
  EXPECT_EQ(router_.Queued(), 0U);
}

// Guards against dispatching more requests than an engine has slots. They would queue inside the
// engine, where the router can no longer reorder them.
TEST_F(RouterTest, CountsOtherInstancesAndLaggedReports) {
  Begin({Engine("a", 2)});
  Send(PeerLoad{{"i2"}, {{{"a"}, 1}}, {}});
  Send(Request());
  Send(Request());
  EXPECT_EQ(router_.Queued(), 1U);
  Send(PeerGone{{"i2"}});
  EXPECT_EQ(router_.Queued(), 0U);
  // The report was made before the second dispatch; both requests are this instance's own.
  now_ += kSecond;
  Send(TargetReported{{"a"}, 2, 0, false, Duration{500'000}});
  Finish(last_);
  Send(Request());
  EXPECT_EQ(router_.Queued(), 0U);
  // The report also counts requests of instances that send no heartbeats.
  Finish(last_);
  Send(TargetReported{{"a"}, 2, 3, false, Duration{0}});
  Send(Request());
  EXPECT_EQ(router_.Queued(), 1U);
}

// Guards against dispatching to a target that serves another model or is in an unreachable data
// centre.
TEST_F(RouterTest, RespectsModelAndDataCentre) {
  auto remote = Engine("r", 4);
  remote.data_centre = {"d2"};
  auto other = Engine("o", 4);
  other.models = {{"other"}};
  Begin({remote, other, Engine("a", 1)});
  Send(Request());
  EXPECT_EQ(last_.target.value, "a");
  Send(Request());
  EXPECT_EQ(last_.target.value, "r");
  Send(DataCentreReachability{{"d2"}, false});
  Send(Request());
  EXPECT_EQ(router_.Queued(), 1U);
  RequestQueued unknown = Request();
  unknown.model = {"none"};
  Take<Refuse>();
  Send(unknown);
  EXPECT_EQ(Take<Refuse>().at(0).error.code, base::ErrorCode::kNoTarget);
}

// Guards against dispatching to a leaving target, and against an older statement or another source
// that cancels the statement that a target is leaving.
TEST_F(RouterTest, AnySourceCanMarkATargetAsLeaving) {
  Begin({Engine("a"), Engine("b", 8)});
  Send(InstanceListApplied{{{"a"}}});
  EXPECT_TRUE(router_.IsLeaving({"a"}));
  Send(TargetReported{{"a"}, 0, 0, false, Duration{0}});
  EXPECT_TRUE(router_.IsLeaving({"a"}));
  Send(InstanceListApplied{{}});
  EXPECT_FALSE(router_.IsLeaving({"a"}));

  Send(Request());
  Take<BroadcastTargetSuspect>();
  Send(AttemptFailed{last_.attempt, FailureKind::kMalformedAnswer, Verdict::kNotRun, false, true});
  const auto shared = Take<BroadcastTargetSuspect>();
  ASSERT_EQ(shared.size(), 1U);
  EXPECT_TRUE(shared[0].leaving);
  const base::TargetId left = shared[0].target;
  Send(TargetReported{left, 0, 0, false, kSecond});
  EXPECT_TRUE(router_.IsLeaving(left));
  now_ += 2 * kSecond;
  Send(TargetReported{left, 0, 0, false, kSecond});
  EXPECT_FALSE(router_.IsLeaving(left));
}

// Guards against a second run of a non-idempotent request after bytes of it may have been sent.
TEST_F(RouterTest, NonIdempotentIsRetriedOnlyIfNothingWasSent) {
  Begin({Engine("a"), Engine("b")});
  RequestQueued request = Request();
  request.idempotent = false;
  Send(request);
  Fail(last_, FailureKind::kConnectRefused, Verdict::kNotRun);
  EXPECT_EQ(last_.retries, 1U);
  EXPECT_TRUE(last_.fresh_connection);
  Send(AttemptStarted{last_.attempt});
  Take<Refuse>();
  Fail(last_, FailureKind::kFirstByteTimeout, Verdict::kNotRun);
  const auto refused = Take<Refuse>();
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].error.verdict, Verdict::kMayHaveRun);
}

// Guards against retries that multiply the load when many targets fail.
TEST_F(RouterTest, RetriesStayWithinTheBudget) {
  Begin({Engine("a", 500)});
  int retries = 0;
  for (int i = 0; i < 200; ++i) {
    Send(Request());
    Take<Dispatch>();
    Send(AttemptFailed{last_.attempt, FailureKind::kMalformedAnswer});
    for (const auto& it : Take<Dispatch>()) {
      ++retries;
      Finish(it);
    }
  }
  EXPECT_EQ(retries, 29);  // burst of 10 plus a tenth of 200, minus what exceeded the burst
}

// Guards against a request that crashes one target after another, also through several instances.
TEST_F(RouterTest, PoisonRequestStopsAfterTwoTargets) {
  Begin({Engine("a"), Engine("b"), Engine("c")});
  RequestQueued poison = Request();
  Send(poison);
  Fail(last_, FailureKind::kConnectionClosed);
  EXPECT_EQ(Take<BroadcastPoisonReport>().size(), 1U);
  Fail(last_, FailureKind::kConnectionClosed);
  EXPECT_EQ(Take<Refuse>().at(0).error.code, base::ErrorCode::kPoisonRequest);
  RequestQueued again = Request();
  again.fingerprint = poison.fingerprint;
  Send(again);
  EXPECT_EQ(Take<Refuse>().at(0).error.verdict, Verdict::kNotRun);
  // Crashes expire.
  now_ += settings_.poison_expiry + 20 * kSecond;
  Send(Tick{});
  EXPECT_FALSE(Take<Probe>().empty());
  for (const char* id : {"a", "b"}) Send(ProbeFinished{{id}, true});
  again.request = {++requests_};
  Send(again);
  EXPECT_TRUE(Take<Refuse>().empty());
}

// Guards against refusing harmless requests that ran at a target which keeps crashing for reasons
// of its own.
TEST_F(RouterTest, CrashesOfAFaultyTargetDoNotCount) {
  Begin({Engine("good", 8)});
  for (std::uint64_t fingerprint = 100; fingerprint < 103; ++fingerprint) {
    now_ += 5 * kSecond;
    Send(PeerPoisonReport{{"w"}, fingerprint, {"bad"}});
  }
  RequestQueued request = Request();
  request.fingerprint = 100;
  Send(PeerPoisonReport{{"w"}, 100, {"other"}});
  Send(PeerPoisonReport{{"w"}, 103, {"bad"}});
  Send(PeerPoisonReport{{"w"}, 104, {"bad"}});
  now_ += 5 * kSecond;
  Send(PeerPoisonReport{{"w"}, 105, {"bad"}});
  Send(request);
  EXPECT_TRUE(Take<Refuse>().empty());
}

// Guards against refusing requests that only ran beside the cause of a crash. Requests that took
// part in a crash run one at a time at a target.
TEST_F(RouterTest, RequestsInvolvedInACrashRunSeparately) {
  Begin({Engine("a", 4)});
  Send(Request());
  const Dispatch first = last_;
  Send(Request());
  const Dispatch second = last_;
  Fail(first, FailureKind::kConnectionClosed);
  Fail(second, FailureKind::kConnectionClosed);
  Send(ProbeFinished{{"a"}, true});
  EXPECT_EQ(router_.Running(), 1U);
  EXPECT_EQ(router_.Queued(), 1U);
  Finish(last_);
  EXPECT_EQ(router_.Queued(), 0U);
}

// Guards against reuse of pooled connections to an address where one timed out, and against a
// target that stays unused after it recovered.
TEST_F(RouterTest, SilentConnectionClosesIdleOnesAndProbesRecover) {
  Begin({Engine("a")});
  Send(Request());
  Fail(last_, FailureKind::kFirstByteTimeout);
  EXPECT_FALSE(router_.IsSuspect({"a"}));
  EXPECT_EQ(Take<CloseIdle>().size(), 1U);
  EXPECT_TRUE(last_.fresh_connection);
  // The new connection timed out too, so the target itself becomes suspect.
  Fail(last_, FailureKind::kFirstByteTimeout);
  EXPECT_TRUE(router_.IsSuspect({"a"}));
  Take<Probe>();
  now_ += settings_.probe_min_pause;
  Send(Tick{});
  EXPECT_EQ(Take<Probe>().size(), 1U);
  Send(ProbeFinished{{"a"}, false});
  now_ += settings_.probe_min_pause;
  Send(Tick{});
  EXPECT_TRUE(Take<Probe>().empty()) << "the pause doubles after a failed probe";
  now_ += settings_.probe_min_pause;
  Send(Tick{});
  EXPECT_EQ(Take<Probe>().size(), 1U);
  Send(ProbeFinished{{"a"}, true});
  EXPECT_FALSE(router_.IsSuspect({"a"}));
  EXPECT_EQ(router_.Queued(), 0U);
}

// Guards against refusing a request of a workspace with few requests because another one filled the
// queue.
TEST_F(RouterTest, FullQueueEvictsFromTheLongestWorkspace) {
  settings_.max_queued = 5;
  router_ = Router{settings_};
  Begin({Engine("a")});
  Send(Request("big"));
  for (int i = 0; i < 5; ++i) Send(Request("big"));
  const std::uint64_t newest = requests_;
  Send(Request("big"));
  auto refused = Take<Refuse>();
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].request.value, requests_);
  EXPECT_GT(refused[0].error.retry_after.count(), 0);
  Send(Request("small"));
  refused = Take<Refuse>();
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].request.value, newest);
  EXPECT_EQ(refused[0].error.verdict, Verdict::kNotRun);
}

// Guards against accepting requests that would time out in the queue.
TEST_F(RouterTest, RefusesEarlyWhenTheBacklogExceedsTheQueueTime) {
  Begin({Engine("a")});
  for (int i = 0; i < 900; ++i) Send(Request("big"));
  EXPECT_FALSE(Take<Refuse>().empty());
  Send(Request("small"));
  EXPECT_TRUE(Take<Refuse>().empty()) << "the backlog of another workspace does not count";
}

// Guards against requests that wait past their deadline or the maximum queue time.
TEST_F(RouterTest, QueueTimeAndDeadlineAreBounded) {
  Begin({Engine("a")});
  Send(Request());
  RequestQueued brief = Request();
  brief.deadline = kSecond;
  Send(brief);
  Send(Request());
  now_ += 2 * kSecond;
  Send(Tick{});
  EXPECT_EQ(Take<Refuse>().at(0).error.code, base::ErrorCode::kTimeout);
  now_ += settings_.max_queue_time;
  Send(Tick{});
  const auto refused = Take<Refuse>();
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].error.code, base::ErrorCode::kOverloaded);
  EXPECT_EQ(refused[0].error.verdict, Verdict::kNotRun);
}

}  // namespace
}  // namespace persimmonstair::routing
