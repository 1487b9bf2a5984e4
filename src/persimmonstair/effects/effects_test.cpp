#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "persimmonstair/effects/claim_table.hpp"
#include "persimmonstair/effects/effect_coordinator.hpp"
#include "request_machine.hpp"

namespace persimmonstair::effects {
namespace {

using base::ErrorCode;
using base::Now;
using base::Offset;
using base::RecordId;
using base::RequestId;
using base::Verdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kStart = 1'700'000'000;

Now At(base::Duration since_start) {
  return {base::TimePoint{since_start}, base::WallTime{seconds{kStart} + since_start}};
}

EffectKey Key(const std::string& opaque = "order") {
  return {{"north"}, {"deposit"}, std::to_string(kStart) + "." + opaque};
}

schema::Record ClaimOf(const std::string& id, const EffectKey& key, const std::string& claimant) {
  return schema::ClaimRecord{{id}, key.workspace, key.route, key.key,
                             7,    {claimant},    {1},       kStart * 1000};
}

schema::Record ReleaseOf(const std::string& id, const EffectKey& key, const std::string& claim) {
  return schema::ClaimReleased{{id}, key.workspace, key.route, key.key, {claim}};
}

schema::Record OutcomeOf(const std::string& id, const EffectKey& key, const std::string& claim,
                         const std::string& body = "done") {
  return schema::OutcomeRecord{{id}, key.workspace, key.route, key.key, {claim}, "ran", 201, body};
}

template <class T>
const T* OnlyAction(const EffectActions& actions) {
  const T* found = nullptr;
  for (const auto& action : actions) {
    if (const T* one = std::get_if<T>(&action)) {
      EXPECT_EQ(found, nullptr);
      found = one;
    }
  }
  return found;
}

// Guards against an edit of the transition table after which the state numbers no longer match
// RequestState, and against a second permission to dispatch.
TEST(RequestMachineTest, StateNumbersMatchAndNoSecondDispatch) {
  RequestMachine machine;
  EXPECT_EQ(machine.State(), RequestState::kClaiming);
  EXPECT_FALSE(machine.Process(RequestInput::kDispatched));
  EXPECT_TRUE(machine.Process(RequestInput::kClaimWon));
  EXPECT_EQ(machine.State(), RequestState::kReady);
  RequestMachine refused = machine;
  EXPECT_TRUE(refused.Process(RequestInput::kRefused));
  EXPECT_EQ(refused.State(), RequestState::kReleasing);
  EXPECT_TRUE(machine.Process(RequestInput::kDispatched));
  EXPECT_EQ(machine.State(), RequestState::kRunning);
  EXPECT_FALSE(machine.Process(RequestInput::kDispatched));
  EXPECT_FALSE(machine.Process(RequestInput::kRefused));
  EXPECT_TRUE(machine.Process(RequestInput::kFinished));
  EXPECT_EQ(machine.State(), RequestState::kRecording);
  EXPECT_TRUE(machine.Process(RequestInput::kRecordRead));
  EXPECT_EQ(machine.State(), RequestState::kEnded);
}

// Guards against keys without a valid time, whose age is unknown, and against keys of unlimited
// length.
TEST(KeyTest, RejectsMalformedKeys) {
  EXPECT_EQ(ParseKeyTime("1700000000.x")->time_since_epoch(), seconds{kStart});
  for (const std::string key :
       {"", "x", "1700000000", "1700000000.", ".x", "-5.x", "1700000000.a b", "99999999999999.x",
        "99999999999999999999999.x", " 1700000000.x"}) {
    EXPECT_FALSE(ParseKeyTime(key)) << key;
  }
  EXPECT_FALSE(ParseKeyTime("1700000000." + std::string(129, 'x')));
}

// Guards against two valid claims of a key.
TEST(ClaimTableTest, FirstClaimWinsUntilReleased) {
  ClaimTable table;
  EXPECT_TRUE(table.Apply({1}, ClaimOf("a", Key(), "i1")));
  EXPECT_FALSE(table.Apply({2}, ClaimOf("b", Key(), "i2")));
  EXPECT_FALSE(table.Apply({3}, ReleaseOf("r1", Key(), "b")));
  EXPECT_TRUE(table.Apply({4}, ReleaseOf("r2", Key(), "a")));
  EXPECT_TRUE(table.Apply({5}, ClaimOf("c", Key(), "i2")));
  EXPECT_EQ(table.Find(Key())->id.value, "c");
}

// Guards against a released claim that becomes valid again when its record is appended twice.
TEST(ClaimTableTest, RepeatedRecordIdIsInvalid) {
  ClaimTable table;
  table.Apply({1}, ClaimOf("a", Key(), "i1"));
  table.Apply({2}, ReleaseOf("r", Key(), "a"));
  EXPECT_FALSE(table.Apply({3}, ClaimOf("a", Key(), "i1")));
  EXPECT_EQ(table.Find(Key()), nullptr);
}

// Guards against a release after dispatch, which would permit a second run.
TEST(ClaimTableTest, OutcomeIsFinal) {
  ClaimTable table;
  table.Apply({1}, ClaimOf("a", Key(), "i1"));
  EXPECT_TRUE(table.Apply({2}, OutcomeOf("o", Key(), "a")));
  EXPECT_FALSE(table.Apply({3}, ReleaseOf("r", Key(), "a")));
  EXPECT_FALSE(table.Apply({4}, OutcomeOf("p", Key(), "a", "other")));
  EXPECT_EQ(table.Find(Key())->outcome->body, "done");
}

// Guards against readers that disagree because they started at different retained records: all must
// have the same state of the keys that are still accepted.
TEST(ClaimTableTest, EveryRetainedStartOffsetGivesTheSameState) {
  std::vector<schema::Record> log;
  for (int n = 0; n < 60; ++n) {
    const EffectKey key{{"north"}, {"r"}, std::to_string(kStart + n) + ".k"};
    const std::string id = std::to_string(n);
    auto claim = std::get<schema::ClaimRecord>(ClaimOf("c" + id, key, "i1"));
    claim.at_ms = (kStart + n) * 1000;
    log.emplace_back(claim);
    if (n % 3 == 1) log.push_back(OutcomeOf("o" + id, key, "c" + id));
    if (n % 3 == 2) log.push_back(ReleaseOf("r" + id, key, "c" + id));
  }
  const auto read = [&log](std::size_t from) {
    ClaimTable table;
    for (std::size_t n = from; n < log.size(); ++n) table.Apply({n}, log[n]);
    table.DiscardUnretained(base::WallTime{seconds{kStart + 30}} - kMaxKeyLead - kMaxClockSkew);
    return table.Snapshot();
  };
  const std::string whole = read(0);
  for (std::size_t from = 1; from <= 50; ++from) EXPECT_EQ(read(from), whole) << from;
}

// Guards against memory that grows with the stream, and against accepting a key whose claim was
// dropped.
TEST(ClaimTableTest, BoundsRefuseTheOldestKeys) {
  ClaimTable table(ClaimLimits{.max_claims = 10, .max_bytes = 1U << 20U});
  for (std::uint64_t n = 0; n < 50; ++n) {
    const EffectKey key{{"north"}, {"r"}, std::to_string(kStart + n) + ".k"};
    auto claim = std::get<schema::ClaimRecord>(ClaimOf("c" + std::to_string(n), key, "i1"));
    claim.at_ms = (kStart + 50) * 1000;
    table.Apply({n}, claim);
  }
  EXPECT_EQ(table.size(), 10U);
  EXPECT_GT(table.Horizon(), base::WallTime{seconds{kStart + 39}});
  EXPECT_FALSE(table.Apply({90}, ClaimOf("again", Key(), "i2")));
}

// Guards against an instance that starts during a log outage without the claims that its peers
// know.
TEST(ClaimTableTest, SnapshotRestoresTheSameState) {
  ClaimTable table;
  table.Apply({1}, ClaimOf("a", Key(), "i1"));
  table.Apply({2}, OutcomeOf("o", Key(), "a"));
  ClaimTable other;
  ASSERT_TRUE(other.Restore(table.Snapshot()));
  EXPECT_EQ(other.Snapshot(), table.Snapshot());
  EXPECT_EQ(other.Bytes(), table.Bytes());
  EXPECT_FALSE(other.Restore("{\"claims\":3}"));
  EXPECT_EQ(other.size(), 1U);
}

class CoordinatorTest : public testing::Test {
 protected:
  CoordinatorTest() { coordinator_.OnReadEnd(At({}), {0}, {}, true); }

  EffectActions Begin(std::uint64_t request, std::uint64_t fingerprint = 7) {
    return coordinator_.Begin(now_, {{request}, Key(), fingerprint});
  }
  // Appends the only AppendRecord of `actions` to the log and reads it back.
  EffectActions AppendAndRead(const EffectActions& actions) {
    const auto* append = OnlyAction<AppendRecord>(actions);
    return append == nullptr ? EffectActions{}
                             : coordinator_.OnRecord(now_, {offset_++}, append->record);
  }
  static Verdict VerdictOf(const EffectActions& actions) {
    const auto* refusal = OnlyAction<EffectRefusal>(actions);
    return refusal == nullptr ? Verdict::kRan : refusal->error.verdict;
  }
  // Advances the clock in steps of 500 ms, which are shorter than kPauseThreshold.
  EffectActions Advance(base::Duration duration) {
    EffectActions all;
    for (base::Duration step{0}; step < duration; step += milliseconds{500}) {
      now_ = At(now_.monotonic.time_since_epoch() + milliseconds{500});
      for (auto& action : coordinator_.OnTick(now_)) all.push_back(std::move(action));
    }
    return all;
  }

  Now now_ = At(seconds{0});
  std::uint64_t offset_ = 0;
  EffectCoordinator coordinator_{EffectOptions{.instance = {"i1"}, .incarnation = {1}}};
};

// Guards against a duplicate that runs again, also with another body.
TEST_F(CoordinatorTest, DuplicateGetsTheRecordedOutcome) {
  ASSERT_NE(OnlyAction<ReadyToDispatch>(AppendAndRead(Begin(1))), nullptr);
  EffectActions out;
  ASSERT_TRUE(coordinator_.ConfirmDispatch(now_, {1}, out));
  EXPECT_FALSE(coordinator_.ConfirmDispatch(now_, {1}, out));
  EXPECT_TRUE(Begin(2).empty());
  EXPECT_EQ(VerdictOf(Advance(kMaxOutcomeWait)), Verdict::kMayHaveRun);
  out = coordinator_.OnDone(now_, {1}, 201, "paid");
  EXPECT_EQ(OnlyAction<EffectAnswer>(out)->body, "paid");
  AppendAndRead(out);
  EXPECT_EQ(coordinator_.Live(), 0U);
  const EffectActions duplicate = Begin(3);
  ASSERT_NE(OnlyAction<EffectAnswer>(duplicate), nullptr);
  EXPECT_TRUE(OnlyAction<EffectAnswer>(duplicate)->replayed);
  EXPECT_EQ(OnlyAction<EffectAnswer>(duplicate)->body, "paid");
  EXPECT_EQ(OnlyAction<EffectRefusal>(Begin(4, 8))->error.code, ErrorCode::kKeyReused);
}

// Guards against a dispatch by the instance whose claim came second.
TEST_F(CoordinatorTest, LostClaimIsNotDispatched) {
  const EffectActions own_claim = Begin(1);
  coordinator_.OnRecord(now_, {offset_++}, ClaimOf("other", Key(), "i2"));
  EXPECT_TRUE(AppendAndRead(own_claim).empty());
  EffectActions out;
  EXPECT_FALSE(coordinator_.ConfirmDispatch(now_, {1}, out));
  EXPECT_EQ(VerdictOf(Advance(kMaxOutcomeWait)), Verdict::kMayHaveRun);
}

// Guards against a duplicate at another instance that gets kOutcomeUnknown although the outcome
// record arrives shortly after, and against a duplicate that is answered twice.
TEST_F(CoordinatorTest, DuplicateWaitsForTheOutcomeOfAnotherInstance) {
  coordinator_.OnRecord(now_, {offset_++}, ClaimOf("other", Key(), "i2"));
  EXPECT_TRUE(Begin(1).empty());
  const EffectActions out =
      coordinator_.OnRecord(now_, {offset_++}, OutcomeOf("o", Key(), "other", "paid"));
  ASSERT_NE(OnlyAction<EffectAnswer>(out), nullptr);
  EXPECT_TRUE(OnlyAction<EffectAnswer>(out)->replayed);
  EXPECT_EQ(OnlyAction<EffectAnswer>(out)->body, "paid");
  EXPECT_TRUE(Advance(kMaxOutcomeWait).empty());
}

// Guards against a duplicate that keeps waiting after the claim was released.
TEST_F(CoordinatorTest, DuplicateOfAReleasedClaimIsToldToRetry) {
  coordinator_.OnRecord(now_, {offset_++}, ClaimOf("other", Key(), "i2"));
  EXPECT_TRUE(Begin(1).empty());
  const EffectActions out =
      coordinator_.OnRecord(now_, {offset_++}, ReleaseOf("r", Key(), "other"));
  EXPECT_EQ(VerdictOf(out), Verdict::kNotRun);
  EXPECT_GT(OnlyAction<EffectRefusal>(out)->error.retry_after, base::Duration{0});
}

// Guards against claiming a key while the log cannot be read.
TEST_F(CoordinatorTest, LogOutageIsRefusedAsNotRun) {
  coordinator_.OnReadFailed(now_);
  const EffectActions out = Begin(1);
  EXPECT_EQ(OnlyAction<EffectRefusal>(out)->error.code, ErrorCode::kLogUnavailable);
  EXPECT_EQ(VerdictOf(out), Verdict::kNotRun);
  EXPECT_EQ(OnlyAction<AppendRecord>(out), nullptr);
}

// Guards against a dispatch long after the claim, and against a key that stays claimed after the
// refusal.
TEST_F(CoordinatorTest, LateDispatchIsRefusedAndTheKeyReleased) {
  AppendAndRead(Begin(1));
  EffectActions out = Advance(seconds{5});
  EXPECT_EQ(VerdictOf(out), Verdict::kNotRun);
  EffectActions none;
  EXPECT_FALSE(coordinator_.ConfirmDispatch(now_, {1}, none));
  AppendAndRead(out);
  ASSERT_NE(OnlyAction<ReadyToDispatch>(AppendAndRead(Begin(2))), nullptr);
}

// Guards against a dispatch after a pause of the process with a permission from before the pause.
TEST_F(CoordinatorTest, PauseRevokesThePermissionToDispatch) {
  AppendAndRead(Begin(1));
  now_ = At(milliseconds{2100});
  EffectActions out;
  EXPECT_FALSE(coordinator_.ConfirmDispatch(now_, {1}, out));
  EXPECT_EQ(VerdictOf(out), Verdict::kNotRun);
  EXPECT_NE(OnlyAction<AppendRecord>(out), nullptr);
}

// Guards against a key that stays claimed when the append result of its claim was lost and the
// claim is read only after the request was refused.
TEST_F(CoordinatorTest, LateClaimIsReleased) {
  const EffectActions begun = Begin(1);
  coordinator_.OnAppendResult(now_, OnlyAction<AppendRecord>(begun)->id, AppendResult::kUnknown);
  EXPECT_EQ(VerdictOf(Advance(seconds{5})), Verdict::kNotRun);
  EXPECT_EQ(coordinator_.Live(), 0U);
  const EffectActions release = AppendAndRead(begun);
  EXPECT_EQ(OnlyAction<ReadyToDispatch>(release), nullptr);
  AppendAndRead(release);
  EXPECT_EQ(coordinator_.Table().Find(Key()), nullptr);
  EXPECT_EQ(coordinator_.Live(), 0U);
}

// Guards against losing an outcome whose append failed or had no answer.
TEST_F(CoordinatorTest, OutcomeIsResentUntilRead) {
  AppendAndRead(Begin(1));
  EffectActions out;
  coordinator_.ConfirmDispatch(now_, {1}, out);
  const EffectActions done = coordinator_.OnDone(now_, {1}, 200, "ok");
  const RecordId id = OnlyAction<AppendRecord>(done)->id;
  for (const AppendResult result : {AppendResult::kNotAppended, AppendResult::kUnknown}) {
    // 500 ms is kResendInterval.
    Advance(milliseconds{500});
    coordinator_.OnAppendResult(now_, id, result);
    const EffectActions again = result == AppendResult::kUnknown
                                    ? coordinator_.OnReadEnd(now_, {0}, {}, true)
                                    : coordinator_.OnTick(now_);
    ASSERT_NE(OnlyAction<AppendRecord>(again), nullptr);
    EXPECT_EQ(OnlyAction<AppendRecord>(again)->id, id);
  }
  AppendAndRead(done);
  EXPECT_EQ(coordinator_.Live(), 0U);
}

// Guards against a refused connection that leaves the key claimed, and against a failure after
// sending that releases it.
TEST_F(CoordinatorTest, OnlyFailuresBeforeSendingReleaseTheKey) {
  AppendAndRead(Begin(1));
  EffectActions out;
  coordinator_.ConfirmDispatch(now_, {1}, out);
  AppendAndRead(
      coordinator_.OnFailed(now_, {1}, {ErrorCode::kTargetFailed, "refused", Verdict::kNotRun}));
  ASSERT_NE(OnlyAction<ReadyToDispatch>(AppendAndRead(Begin(2))), nullptr);
  coordinator_.ConfirmDispatch(now_, {2}, out);
  const EffectActions failed =
      coordinator_.OnFailed(now_, {2}, {ErrorCode::kTimeout, "silent", Verdict::kMayHaveRun});
  EXPECT_EQ(VerdictOf(failed), Verdict::kMayHaveRun);
  AppendAndRead(failed);
  EXPECT_EQ(OnlyAction<EffectRefusal>(Begin(3))->error.code, ErrorCode::kOutcomeUnknown);
}

// Guards against keys from before the retained records, whose earlier claim may have expired, and
// against keys from the future.
TEST_F(CoordinatorTest, KeyAgeIsChecked) {
  coordinator_.OnReadEnd(now_, {0}, base::WallTime{seconds{kStart - 70}}, true);
  EXPECT_EQ(OnlyAction<EffectRefusal>(Begin(1))->error.code, ErrorCode::kConflict);
  const auto ahead = [&](std::int64_t lead) {
    EffectKey key = Key();
    key.key = std::to_string(kStart + lead) + ".x";
    return coordinator_.Begin(now_, {{2}, key, 7});
  };
  EXPECT_EQ(OnlyAction<EffectRefusal>(ahead(61))->error.code, ErrorCode::kInvalidRequest);
  EXPECT_EQ(VerdictOf(ahead(61)), Verdict::kNotRun);
  const EffectActions accepted = ahead(60);
  EXPECT_NE(OnlyAction<AppendRecord>(accepted), nullptr);
  // The horizon passes the key while the append of its claim is pending.
  coordinator_.OnReadEnd(now_, {0}, base::WallTime{seconds{kStart - 59}}, true);
  EXPECT_EQ(VerdictOf(AppendAndRead(accepted)), Verdict::kNotRun);
}

// Guards against a workspace that gets the outcome of another workspace's key.
TEST_F(CoordinatorTest, KeysAreScopedByWorkspaceAndRoute) {
  AppendAndRead(Begin(1));
  EffectKey other = Key();
  other.workspace = {"south"};
  const EffectActions out = coordinator_.Begin(now_, {{2}, other, 7});
  EXPECT_NE(OnlyAction<AppendRecord>(out), nullptr);
}

}  // namespace
}  // namespace persimmonstair::effects
