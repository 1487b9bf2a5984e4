#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "persimmonstair/limits/bucket.hpp"
#include "persimmonstair/limits/limiter.hpp"
#include "persimmonstair/limits/share_table.hpp"
#include "reserved_shares.hpp"

namespace persimmonstair::limits {
namespace {

using namespace std::chrono_literals;

const base::InstanceId kA{"a"};
const base::InstanceId kB{"b"};
const base::WorkspaceId kW{"w"};
const base::DataCentreId kDc{"dc1"};
constexpr base::TimePoint kStart = base::TimePoint{} + 1'000s;

// Guards against tokens that exist twice because the bucket refills while a loan is in use.
TEST(BucketTest, LentTokensOccupyCapacityUntilTheyExpire) {
  Bucket bucket;
  bucket.SetLimits(kStart, 10, 2);
  EXPECT_DOUBLE_EQ(bucket.Level(kStart + 1s), 2);
  bucket.Lend(2, kStart + 1s + 500ms);
  EXPECT_DOUBLE_EQ(bucket.Level(kStart + 1s + 499ms), 0);
  EXPECT_NEAR(bucket.Level(kStart + 1s + 600ms), 1, 1e-9) << "refills from the expiry on";
}

// Guards against tokens kept from a larger capacity.
TEST(BucketTest, ASmallerCapacityDropsTokensAtOnce) {
  Bucket bucket;
  bucket.SetLimits(kStart, 10, 8);
  bucket.Level(kStart + 1s);
  bucket.SetLimits(kStart + 1s, 10, 3);
  EXPECT_DOUBLE_EQ(bucket.Level(kStart + 1s), 3);
}

// Two limiters that read the same log; the test sets their leases.
class LimiterTest : public testing::Test {
 protected:
  LimiterTest() {
    Add(schema::InstanceRegistered{{"ra"}, kA, kDc, {1}});
    Add(schema::InstanceRegistered{{"rb"}, kB, kDc, {1}});
    for (Limiter* limiter : {&a_, &b_}) {
      limiter->SetLimit(kStart, kW, {10, 20});
      limiter->SetLease(kStart, View(0));
    }
  }

  static membership::LeaseView View(std::uint64_t sequence) {
    return {{1}, sequence, true, kStart + 1h, {}, kStart + 1h, true};
  }

  void Add(const schema::Record& record) {
    const auto effect = registry_.Apply({++offset_}, record);
    for (Limiter* limiter : {&a_, &b_}) limiter->OnRecord(now_, record, effect, registry_);
  }
  void Claim(const base::InstanceId& by) { Add(schema::ShareClaim{{"c"}, kW, by, {1}, 0}); }
  std::size_t AdmitMany(Limiter& limiter, std::size_t n) {
    std::size_t admitted = 0;
    for (; n > 0; --n) {
      const auto result = limiter.Admit(now_, kW, base::RequestId{++request_});
      admitted += result.admission.decision == Decision::kAdmitted ? 1 : 0;
    }
    return admitted;
  }
  // Lets b borrow from a until a decides to move a share.
  schema::ShareMove BorrowUntilShareMoves() {
    for (int second = 0; second < 20; ++second, now_ += 1s) {
      for (std::uint64_t nonce = 1; nonce <= 4; ++nonce) {
        a_.OnLoanRequest(now_, kB, {kW, nonce, 1'000});
      }
      for (const auto& record : a_.Tick(now_, registry_, true).records) {
        if (const auto* move = std::get_if<schema::ShareMove>(&record)) return *move;
      }
    }
    ADD_FAILURE() << "no move";
    return {};
  }

  base::TimePoint now_ = kStart;
  std::uint64_t offset_ = 0;
  std::uint64_t request_ = 0;
  membership::Registry registry_;
  Limiter a_{kA, "p", 1};
  Limiter b_{kB, "q", 2};
};

// Guards against a new holder that starts with tokens which an earlier holder may have used
// already.
TEST_F(LimiterTest, AClaimedShareStartsEmptyAndRefillsAtItsRate) {
  Claim(kA);
  EXPECT_EQ(AdmitMany(a_, 1), 0U);
  a_.Tick(now_ += 60ms, registry_, true);
  now_ += 10s;
  EXPECT_EQ(AdmitMany(a_, 100), 16U) << "0.8 of a burst of 20";
}

// Guards against two valid claims of the same shares.
TEST_F(LimiterTest, TheSecondClaimIsInvalid) {
  Claim(kA);
  Add(schema::ShareClaim{{"d"}, kW, kB, {1}, 0});
  EXPECT_EQ(a_.Table().HeldPpm(kW, kA), kLeasedSharesPpm);
  EXPECT_EQ(a_.Table().HeldPpm(kW, kB), 0U);
}

// Guards against the use of shares by a holder whose lease expired, for example during a pause.
TEST_F(LimiterTest, NothingIsAdmittedOrLentAfterTheLeaseEnded) {
  Claim(kA);
  now_ += 2h;
  EXPECT_EQ(AdmitMany(a_, 3), 0U);
  const auto out = a_.OnLoanRequest(now_, kB, {kW, 7, 1'000});
  EXPECT_EQ(std::get<schema::TokenLoan>(out.messages.at(0).message).tokens_milli, 0U);
}

// Guards against a loan that is used twice, used after its expiry, or accepted without a request.
TEST_F(LimiterTest, ALoanIsUsedOnceAndInTime) {
  Claim(kA);
  now_ += 10s;
  auto waiting = b_.Admit(now_, kW, base::RequestId{1});
  ASSERT_EQ(waiting.admission.decision, Decision::kEnqueued);
  const auto ask = std::get<schema::TokenLoanRequest>(waiting.output.messages.at(0).message);
  const auto answer = a_.OnLoanRequest(now_, kB, ask);
  const auto loan = std::get<schema::TokenLoan>(answer.messages.at(0).message);
  EXPECT_TRUE(b_.OnLoan(now_, kA, {kW, ask.nonce + 1, 1'000}).admitted.empty()) << "not requested";
  EXPECT_EQ(b_.OnLoan(now_, kA, loan).admitted.size(), 1U);
  ASSERT_EQ(b_.Admit(now_, kW, base::RequestId{2}).admission.decision, Decision::kEnqueued);
  EXPECT_TRUE(b_.OnLoan(now_, kA, loan).admitted.empty()) << "second copy of the loan";
  EXPECT_DOUBLE_EQ(b_.Available(now_, kW), 0);

  now_ += 60ms;
  EXPECT_EQ(b_.Tick(now_, registry_, true).refused.size(), 1U);
  waiting = b_.Admit(now_, kW, base::RequestId{3});
  const auto late = std::get<schema::TokenLoanRequest>(waiting.output.messages.at(0).message);
  b_.OnLoan(now_ + 100ms, kA, {kW, late.nonce, 1'000});
  EXPECT_DOUBLE_EQ(b_.Available(now_ + 100ms, kW), 0) << "after 100 ms";
}

// Guards against a request that stays queued and against a refusal without a retry time.
TEST_F(LimiterTest, AWaitingRequestIsRefusedWithAHintAfterTheHoldTime) {
  ASSERT_EQ(a_.Admit(now_, kW, base::RequestId{1}).admission.decision, Decision::kEnqueued);
  ASSERT_TRUE(a_.NextDeadline().has_value());
  EXPECT_TRUE(a_.Tick(now_ + 49ms, registry_, true).refused.empty());
  const auto out = a_.Tick(now_ + 50ms, registry_, true);
  ASSERT_EQ(out.refused.size(), 1U);
  EXPECT_GE(out.refused[0].retry_after, 50ms);
  EXPECT_EQ(a_.QueuedRequests(), 0U);
}

// Guards against a share that giver and receiver use at the same time while its move is pending.
TEST_F(LimiterTest, TheGiverDecreasesBeforeTheRecordIsRead) {
  Claim(kA);
  const schema::ShareMove move = BorrowUntilShareMoves();
  EXPECT_EQ(a_.Shares(now_, kW).leased_ppm, kLeasedSharesPpm - move.share_ppm);
  EXPECT_EQ(b_.Shares(now_, kW).leased_ppm, 0U);
  Add(move);
  EXPECT_EQ(a_.Shares(now_, kW).leased_ppm, kLeasedSharesPpm - move.share_ppm);
  EXPECT_EQ(b_.Shares(now_, kW).leased_ppm, move.share_ppm);
  EXPECT_NEAR(b_.Available(now_, kW), static_cast<double>(move.tokens_milli) / 1000, 1e-6);
  Add(move);
  EXPECT_EQ(b_.Shares(now_, kW).leased_ppm, move.share_ppm) << "repeated append";
}

// Guards against a share that is restored although its move takes effect later, and against a share
// that stays lost although its move never takes effect.
TEST_F(LimiterTest, AMoveWithUnknownOutcomeIsDecidedByTheNextRenewal) {
  Claim(kA);
  const schema::ShareMove move = BorrowUntilShareMoves();
  a_.Tick(now_ += 30s, registry_, true);
  EXPECT_EQ(a_.Shares(now_, kW).leased_ppm, kLeasedSharesPpm - move.share_ppm) << "outcome unknown";
  Add(schema::LeaseRecord{{"l1"}, "instance", kA, {1}, 1, {1}, 6'000, 0});
  EXPECT_EQ(a_.Shares(now_, kW).leased_ppm, kLeasedSharesPpm);
  Add(move);
  EXPECT_EQ(b_.Shares(now_, kW).leased_ppm, 0U) << "too late to be valid";
}

// Guards against a share that stays unused until the next renewal although its move was not
// appended.
TEST_F(LimiterTest, AnAppendThatCertainlyFailedRestoresTheShare) {
  Claim(kA);
  const schema::ShareMove move = BorrowUntilShareMoves();
  a_.OnNotAppended(now_, move.id);
  EXPECT_EQ(a_.Shares(now_, kW).leased_ppm, kLeasedSharesPpm);
}

// Guards against shares lost through a dead holder, an instance that left, or a restart.
TEST_F(LimiterTest, SharesOfEndedInstancesAreReclaimedOrClaimable) {
  Claim(kA);
  Add(schema::InstanceRegistered{{"ra2"}, kA, kDc, {2}});
  EXPECT_EQ(b_.Table().HeldPpm(kW, kA), kLeasedSharesPpm) << "a restart keeps the shares";
  Add(schema::ReclaimRecord{{"x"}, kA, {2}, 0, kB, {1}});
  EXPECT_EQ(b_.Table().HeldPpm(kW, kB), kLeasedSharesPpm);
  EXPECT_DOUBLE_EQ(b_.Available(now_, kW), 0) << "starts empty";
  Add(schema::InstanceLeft{{"y"}, kB, {1}});
  EXPECT_EQ(b_.Table().UnheldPpm(kW), kLeasedSharesPpm);
}

// Guards against tokens that a new incarnation takes over from the earlier one.
TEST_F(LimiterTest, ANewIncarnationStartsWithEmptyBuckets) {
  Claim(kA);
  now_ += 10s;
  EXPECT_GT(a_.Available(now_, kW), 1);
  membership::LeaseView view = View(0);
  view.incarnation = {2};
  view.usable_from = now_ + 7s;
  a_.SetLease(now_, view);
  EXPECT_DOUBLE_EQ(a_.Available(now_ + 6s, kW), 0);
  EXPECT_DOUBLE_EQ(a_.Available(now_ + 7s, kW), 0) << "no refill while the earlier process may run";
}

// Guards against a larger rate that still applies after the limits were reduced during traffic.
TEST_F(LimiterTest, AnEditOfRateAndBurstHoldsFromTheNextRequest) {
  Claim(kA);
  now_ += 10s;
  a_.SetLimit(now_, kW, {5, 5});
  EXPECT_EQ(AdmitMany(a_, 50), 4U);
  a_.Tick(now_ += 60ms, registry_, true);
  a_.SetLimit(now_, kW, {0, 0});
  now_ += 1h - 11s;
  EXPECT_EQ(AdmitMany(a_, 5), 0U);
}

// Guards against an instance that starts during a log outage with a wrong share table.
TEST_F(LimiterTest, SnapshotRestoresTheTableAndRejectsInvalidText) {
  Claim(kA);
  Limiter c(base::InstanceId{"c"}, "r", 3);
  ASSERT_TRUE(c.Restore(now_, a_.Snapshot()).has_value());
  EXPECT_EQ(c.Table().HeldPpm(kW, kA), kLeasedSharesPpm);
  EXPECT_FALSE(c.Restore(now_, R"({"w":{"a":500000,"b":400000}})").has_value());
  EXPECT_FALSE(c.Restore(now_, "{").has_value());
  EXPECT_EQ(c.Table().HeldPpm(kW, kA), kLeasedSharesPpm);
}

// Guards against a planned stop after which shares are unused until they are claimed.
TEST_F(LimiterTest, LeaveMovesAllSharesToTheNewHolder) {
  Claim(kA);
  const auto out = a_.Leave(now_, registry_, kB);
  ASSERT_EQ(out.records.size(), 1U);
  Add(out.records[0]);
  EXPECT_EQ(b_.Table().HeldPpm(kW, kB), kLeasedSharesPpm);
}

// Guards against a share table that grows with instances x workspaces.
TEST(ShareTableTest, HoldersOfAWorkspaceAreBounded) {
  membership::Registry registry;
  ShareTable table;
  std::uint64_t offset = 0;
  const auto apply = [&](const schema::Record& record) {
    const auto effect = registry.Apply({offset++}, record);
    return !table.Apply(record, effect, registry).empty();
  };
  const auto id = [](std::size_t n) { return base::InstanceId{std::to_string(n)}; };
  for (std::size_t n = 0; n < 20; ++n) {
    apply(schema::InstanceRegistered{{"r" + std::to_string(n)}, id(n), kDc, {1}});
  }
  apply(schema::ShareClaim{{"c"}, kW, id(0), {1}, 0});
  std::size_t moved = 0;
  for (std::size_t n = 1; n < 20; ++n) {
    const base::RecordId record{"m" + std::to_string(n)};
    moved += apply(schema::ShareMove{record, kW, id(0), {1}, id(n), {1}, 1'000, 0, 0}) ? 1 : 0;
  }
  EXPECT_EQ(moved, kMaxHolders - 1);
}

// Guards against reserved shares that exceed the reserved pool in sum while an instance has not
// read the newest version.
TEST(ReservedSharesTest, AnIncreaseWaitsForAllRenewals) {
  membership::Registry registry;
  std::uint64_t offset = 1;
  std::uint64_t sequence = 0;
  const auto renew = [&](const base::InstanceId& id, std::uint64_t version) {
    registry.Apply({offset++}, schema::LeaseRecord{
                                   {"l"}, "instance", id, {1}, ++sequence, {0}, 6'000, version});
  };
  registry.Apply({offset++}, schema::InstanceRegistered{{"ra"}, kA, kDc, {1}});
  registry.Apply({offset++}, schema::InstanceRegistered{{"rb"}, kB, kDc, {1}});
  ReservedShares reserved_shares(kA, false);
  reserved_shares.Set(1, {{kA, 100'000}, {kB, 100'000}});
  reserved_shares.Raise(registry);
  EXPECT_EQ(reserved_shares.CurrentShare(), 0U) << "no version stated in the log";
  renew(kA, 1);
  renew(kB, 1);
  reserved_shares.Raise(registry);
  EXPECT_EQ(reserved_shares.CurrentShare(), 100'000U);
  reserved_shares.Set(2, {{kA, 150'000}, {kB, 50'000}});
  renew(kA, 2);
  reserved_shares.Raise(registry);
  EXPECT_EQ(reserved_shares.CurrentShare(), 100'000U);
  renew(kB, 2);
  reserved_shares.Raise(registry);
  EXPECT_EQ(reserved_shares.CurrentShare(), 150'000U);
  reserved_shares.Set(3, {{kA, 10'000}, {kB, 190'000}});
  EXPECT_EQ(reserved_shares.CurrentShare(), 10'000U) << "a decrease applies at once";
}

}  // namespace
}  // namespace persimmonstair::limits
