#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "persimmonstair/quota/admission_queue.hpp"
#include "persimmonstair/quota/coordinator.hpp"
#include "persimmonstair/quota/local_shares.hpp"
#include "persimmonstair/quota/share_allocator.hpp"

namespace persimmonstair::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint{seconds{100} + since_start};
}

const base::WorkspaceId kNorth{"north"};
constexpr ProgramStage kUnderWay = ProgramStage::kUnderWay;

constexpr TokenDemand kNoWait{1, kUnderWay, TokenRequester::kLocalCaller, {}};

// What a request that doesn't wait gets.
AdmissionResult Admit(LocalShares& local_shares, base::TimePoint now, const WorkspaceQuota& quota) {
  return AdmissionQueue(local_shares).Ask(now, kNorth, quota, kNoWait).value();
}

schema::ShareReport Report(const std::string& instance, std::uint64_t round) {
  // Two data centres: names from "c" on are in the second one.
  return {{instance}, "1", {instance < "c" ? "east" : "west"}, "", round, false};
}

// The first table of an instance that is alone.
const schema::ShareTable kOnlyA{1, {{{"a"}, {"east"}}}, {}};

// Guards against a start that admits a whole burst that an earlier process may have used already.
TEST(LocalSharesTest, StartsEmptyAndNeedsALease) {
  LocalShares local_shares({"a"});
  const WorkspaceQuota quota{100, 100};
  EXPECT_EQ(Admit(local_shares, At({}), quota).admission, Admission::kNoShare);
  local_shares.Apply(kOnlyA);
  local_shares.OnReportStored(At({}));
  EXPECT_EQ(Admit(local_shares, At({}), quota).admission, Admission::kOverQuota);
  EXPECT_EQ(Admit(local_shares, At(milliseconds{20}), quota).admission, Admission::kAdmitted);
  EXPECT_EQ(Admit(local_shares, At(kShareLease), quota).admission, Admission::kNoShare);
}

// Guards against a refusal that tells callers to come back before there is a token.
TEST(LocalSharesTest, RefusalStatesWhenATokenIsAvailable) {
  LocalShares local_shares({"a"});
  local_shares.Apply(kOnlyA);
  local_shares.OnReportStored(At({}));
  const WorkspaceQuota quota{10, 10};
  const AdmissionResult refused = Admit(local_shares, At({}), quota);
  EXPECT_EQ(refused.retry_after, milliseconds{100});
  EXPECT_EQ(Admit(local_shares, At(refused.retry_after), quota).admission, Admission::kAdmitted);
}

// Guards against callers that come to one instance in a burst and are refused while the workspace's
// tokens lie unused at the others, and against tokens that are used twice.
TEST(LocalSharesTest, LoansMoveTokensToTheBusyInstance) {
  const WorkspaceQuota quota{20, 20};
  LocalShares lender({"a"});
  LocalShares borrower({"b"});
  for (LocalShares* local_shares : {&lender, &borrower}) {
    local_shares->Apply({1, {{{"a"}, {"east"}}, {{"b"}, {"west"}}}, {}});
    local_shares->OnReportStored(At({}));
    Admit(*local_shares, At({}), quota);
  }
  const base::TimePoint full = At(seconds{2});
  const base::TimePoint until = full + milliseconds{500};
  const auto admitted = [&](LocalShares& local_shares, base::TimePoint now) {
    int n = 0;
    while (Admit(local_shares, now, quota).admission == Admission::kAdmitted) ++n;
    return n;
  };
  EXPECT_EQ(admitted(borrower, full), static_cast<int>(20 * borrower.Share(kNorth)));
  for (int n = 0; n < 3; ++n) EXPECT_TRUE(lender.LendOne(full, kNorth, quota, 0, until));
  borrower.Borrow(full, kNorth, 3, until);
  EXPECT_EQ(admitted(borrower, full), 3);
  EXPECT_EQ(admitted(lender, full), static_cast<int>(20 * lender.Share(kNorth)) - 3);
  EXPECT_NEAR(lender.Share(kNorth) + borrower.Share(kNorth), 1, 1e-9);
}

// A queue of the one instance that has the whole rate, with an empty bucket.
struct WholeRate {
  WholeRate() {
    shares.Apply(kOnlyA);
    shares.OnReportStored(At({}));
    shares.TimeUntil(At({}), kNorth, quota, 1);
  }

  WorkspaceQuota quota{20, 20};
  LocalShares shares{{"a"}};
  AdmissionQueue queue{shares};
};

// Guards against a workspace over its rate all of whose programs fail half way: while those under
// way lack tokens, no further ones begin.
TEST(AdmissionQueueTest, ProgramsUnderWayComeFirst) {
  WholeRate one;
  const TokenDemand begins{2, ProgramStage::kBegins, TokenRequester::kLocalCaller, {}};
  ASSERT_TRUE(one.queue.Ask(At({}), kNorth, one.quota, kNoWait));
  // A part of the burst stays for those under way.
  const base::TimePoint soon = At(milliseconds{250});
  const auto refused = one.queue.Ask(soon, kNorth, one.quota, begins);
  EXPECT_EQ(refused->admission, Admission::kOverQuota);
  EXPECT_EQ(one.queue.Ask(soon, kNorth, one.quota, kNoWait)->admission, Admission::kAdmitted);
  EXPECT_EQ(one.queue.Ask(soon + refused->retry_after, kNorth, one.quota, begins)->admission,
            Admission::kOverQuota);
  EXPECT_EQ(one.queue.Ask(At(milliseconds{400}), kNorth, one.quota, begins)->admission,
            Admission::kAdmitted);
}

// Guards against a burst within the rate that is refused, though its tokens come within the time
// that a refused caller needs to connect anew.
TEST(AdmissionQueueTest, ABurstWaitsForTokensInOrder) {
  WholeRate one;
  const auto ask = [&](std::uint64_t id, ProgramStage stage) {
    return one.queue.Ask(At({}), kNorth, one.quota,
                         {id, stage, TokenRequester::kLocalCaller, kMaxTokenWait});
  };
  EXPECT_FALSE(ask(1, kUnderWay));
  EXPECT_FALSE(one.queue.Ask(
      At({}), kNorth, one.quota,
      {2, ProgramStage::kBegins, TokenRequester::kLocalCallerAskingPeers, seconds{1}}));
  EXPECT_FALSE(ask(3, kUnderWay));
  std::vector<std::uint64_t> order;
  base::TimePoint now = At({});
  while (const auto next = one.queue.NextServeTime(now)) {
    ASSERT_GT(*next, now);
    now = *next;
    for (const Decision& decision : one.queue.Serve(now)) {
      EXPECT_EQ(decision.result.admission, Admission::kAdmitted);
      order.push_back(decision.id);
    }
  }
  EXPECT_EQ(order, (std::vector<std::uint64_t>{1, 3, 2}));
  EXPECT_LE(now, At(seconds{1}));
}

// Guards against requests that wait although their token can't come in time.
TEST(AdmissionQueueTest, RefusesRequestsThatCannotBeServedInTime) {
  WholeRate one;
  std::uint64_t id = 0;
  std::optional<AdmissionResult> result;
  while (!result) {
    result = one.queue.Ask(At({}), kNorth, one.quota,
                           {++id, kUnderWay, TokenRequester::kLocalCaller, kMaxTokenWait});
  }
  EXPECT_EQ(result->admission, Admission::kOverQuota);
  EXPECT_EQ(id, 6U);
  EXPECT_EQ(result->retry_after, milliseconds{300});
}

// Guards against an instance that keeps its callers' requests in front of those of other instances,
// and against borrowed tokens that are lent on.
TEST(AdmissionQueueTest, OtherInstancesShareTheQueue) {
  WholeRate one;
  one.queue.Ask(At({}), kNorth, one.quota,
                {1, kUnderWay, TokenRequester::kPeerInstance, kMaxTokenWait});
  one.queue.Ask(At({}), kNorth, one.quota,
                {2, kUnderWay, TokenRequester::kLocalCaller, kMaxTokenWait});
  one.queue.Ask(At({}), kNorth, one.quota,
                {3, kUnderWay, TokenRequester::kLocalCaller, kMaxTokenWait});
  one.shares.Borrow(At({}), kNorth, 1, At(kMaxTokenWait));
  const auto borrowed = one.queue.Serve(At({}));
  ASSERT_EQ(borrowed.size(), 1U);
  EXPECT_EQ(borrowed[0].id, 2U);
  const auto own = one.queue.Serve(At(milliseconds{50}));
  ASSERT_EQ(own.size(), 1U);
  EXPECT_EQ(own[0].id, 1U);
}

// Guards against a request that waits for an instance that can't help, and against a wait that is
// given up although the own share has a token in time.
TEST(AdmissionQueueTest, KeepsWaitingWithoutPeersOnlyForItsOwnShare) {
  WholeRate one;
  one.quota.rate_per_s = 5;
  const auto ask = [&](std::uint64_t id) {
    return one.queue.Ask(At({}), kNorth, one.quota,
                         {id, kUnderWay, TokenRequester::kLocalCallerAskingPeers, kMaxTokenWait});
  };
  EXPECT_FALSE(ask(1));
  EXPECT_FALSE(ask(2));
  EXPECT_FALSE(one.queue.OnNoRemoteToken(At({}), kNorth, 1, milliseconds{90}));
  const auto refused = one.queue.OnNoRemoteToken(At({}), kNorth, 2, milliseconds{90});
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->retry_after, milliseconds{90});
  EXPECT_EQ(one.queue.Serve(At(milliseconds{200})).size(), 1U);
}

// Guards against a token that goes to a request which has got one elsewhere, and is lost.
TEST(AdmissionQueueTest, WithdrawnRequestsGetNoToken) {
  WholeRate one;
  one.queue.Ask(At({}), kNorth, one.quota,
                {1, kUnderWay, TokenRequester::kPeerInstance, kMaxTokenWait});
  one.queue.Ask(At({}), kNorth, one.quota,
                {2, kUnderWay, TokenRequester::kPeerInstance, kMaxTokenWait});
  one.queue.Withdraw(kNorth, 1);
  const auto served = one.queue.Serve(At(milliseconds{50}));
  ASSERT_EQ(served.size(), 1U);
  EXPECT_EQ(served[0].id, 2U);
}

// Guards against a wait without end when tokens don't come.
TEST(AdmissionQueueTest, QueuedRequestTimesOut) {
  WholeRate one;
  one.quota.rate_per_s = 0.1;
  one.queue.Ask(At({}), kNorth, one.quota,
                {1, kUnderWay, TokenRequester::kLocalCallerAskingPeers, kMaxTokenWait});
  EXPECT_EQ(one.queue.NextServeTime(At({})), At(kMaxTokenWait));
  const auto ended = one.queue.Serve(At(kMaxTokenWait));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].result.admission, Admission::kOverQuota);
  EXPECT_FALSE(one.queue.NextServeTime(At(kMaxTokenWait)));
}

// Guards against tokens that are handed out beyond the rate by waiting: in any span of time no more
// requests are admitted than the burst and the rate allow.
TEST(AdmissionQueueTest, WaitingAddsNoTokens) {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    WholeRate one;
    std::vector<base::TimePoint> admitted;
    base::TimePoint now = At({});
    for (std::uint64_t id = 1; id < 400; ++id) {
      now += milliseconds{random() % 40};
      const TokenRequester requester =
          random() % 2 == 0 ? TokenRequester::kPeerInstance : TokenRequester::kLocalCaller;
      const auto result = one.queue.Ask(now, kNorth, one.quota,
                                        {id, kUnderWay, requester, milliseconds{random() % 250}});
      if (result && result->admission == Admission::kAdmitted) admitted.push_back(now);
      for (const Decision& decision : one.queue.Serve(now)) {
        if (decision.result.admission == Admission::kAdmitted) admitted.push_back(now);
      }
    }
    ASSERT_GT(admitted.size(), 50U);
    for (std::size_t from = 0; from < admitted.size(); ++from) {
      for (std::size_t to = from; to < admitted.size(); ++to) {
        const double span = base::ToSeconds(admitted[to] - admitted[from]);
        const double most = one.quota.burst + one.quota.rate_per_s * span + 1;
        ASSERT_LE(static_cast<double>(to - from + 1), most) << "seed " << seed;
      }
    }
  }
}

// Guards against borrowed tokens that are used after their lender could refill.
TEST(LocalSharesTest, BorrowedTokensExpire) {
  const WorkspaceQuota quota{1, 1};
  LocalShares local_shares({"a"});
  local_shares.Apply(kOnlyA);
  local_shares.OnReportStored(At({}));
  EXPECT_EQ(Admit(local_shares, At({}), quota).admission, Admission::kOverQuota);
  local_shares.Borrow(At({}), kNorth, 3, At(milliseconds{500}));
  EXPECT_EQ(Admit(local_shares, At(milliseconds{499}), quota).admission, Admission::kAdmitted);
  EXPECT_NE(Admit(local_shares, At(milliseconds{500}), quota).admission, Admission::kAdmitted);
}

// Guards against two instances that both take themselves for the home of a workspace while one of
// them has not seen the newest table.
TEST(CoordinatorTest, NewCoordinatorServesFromTheNextRound) {
  const std::vector<schema::ShareHolder> one{{{"a"}, {"east"}}};
  schema::ShareTable table{2, {}, one};
  std::string moved;
  for (int n = 0; moved.empty(); ++n) {
    table.holders = {{{"a"}, {"east"}}, {{"n" + std::to_string(n)}, {"east"}}};
    const auto coordinator = CoordinatorsOf(kNorth, table.holders).at(0).instance.value;
    if (coordinator != "a") moved = coordinator;
  }
  EXPECT_EQ(ShareOf(table, kNorth, {moved}), 0);
  EXPECT_EQ(ShareOf(table, kNorth, {"a"}), 0);
  table.previous_holders = table.holders;
  EXPECT_EQ(ShareOf(table, kNorth, {moved}), 1);
}

// Guards against a data centre without a part of its own, which could serve nothing while it is cut
// off, and against a rate of which a part lies where nobody draws on it.
TEST(CoordinatorTest, EachDataCentreHasOneCoordinatorWithItsShare) {
  schema::ShareTable table{2, {}, {}};
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    table.holders.push_back({{name}, Report(name, 0).data_centre});
  }
  table.previous_holders = table.holders;
  std::map<std::string, double> parts;
  for (const auto& holder : table.holders) {
    const double share = ShareOf(table, kNorth, holder.instance);
    EXPECT_TRUE(share == 0 || share == 0.5);
    parts[holder.data_centre.value] += share;
  }
  EXPECT_EQ(parts, (std::map<std::string, double>{{"east", 0.5}, {"west", 0.5}}));
}

// Guards against a workspace without a limit that is refused.
TEST(LocalSharesTest, NoRateMeansNoLimit) {
  LocalShares local_shares({"a"});
  EXPECT_EQ(Admit(local_shares, At({}), {}).admission, Admission::kAdmitted);
}

// Guards against shares that add up to more than the whole while instances come, go and lag behind
// by a round, and against shares of a dead instance that are dealt again before its lease is over.
TEST(ShareAllocatorTest, SumOfSharesNeverExceedsTheRate) {
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    const std::vector<std::string> names{"a", "b", "c", "d", "e"};
    struct Instance {
      bool running = false;
      LocalShares local_shares{{}};
      ShareAllocator allocator;
      std::size_t read = 0;
    };
    std::map<std::string, Instance> fleet;
    for (const auto& name : names) fleet[name].local_shares = LocalShares({name});
    std::vector<std::variant<schema::ShareReport, schema::ShareTable>> log;
    std::map<std::string, std::pair<base::TimePoint, double>> in_use;
    for (int step = 0; step < 400; ++step) {
      const base::TimePoint now = At(milliseconds{500} * step);
      auto& name = names[random() % names.size()];
      Instance& one = fleet[name];
      if (random() % 40 == 0) {
        one = Instance{true, LocalShares({name}), {}, 0};
      } else if (random() % 60 == 0) {
        one.running = false;
      }
      for (auto& [other, instance] : fleet) {
        if (!instance.running || random() % 5 == 0) continue;
        for (; instance.read < log.size(); ++instance.read) {
          if (const auto* table = std::get_if<schema::ShareTable>(&log[instance.read])) {
            instance.allocator.OnTable(now, *table);
            instance.local_shares.Apply(*table);
          } else {
            instance.allocator.OnReport(now, std::get<schema::ShareReport>(log[instance.read]));
          }
        }
        const std::size_t end = log.size();
        log.push_back(Report(other, instance.local_shares.Round()));
        instance.local_shares.OnReportStored(now);
        in_use[other] = {now, instance.local_shares.Share(kNorth)};
        if (const auto table = instance.allocator.NextTable(now, {other});
            table && end == log.size() - 1) {
          log.push_back(*table);
        }
      }
      double whole = 0;
      for (const auto& [other, local_shares] : in_use) {
        if (now - local_shares.first < kShareLease) whole += local_shares.second;
      }
      EXPECT_LE(whole, 1 + 1e-9) << "seed " << seed << " step " << step;
    }
  }
}

// Guards against two writers: only the first live instance by name computes tables.
TEST(ShareAllocatorTest, FirstLiveInstanceWrites) {
  ShareAllocator allocator;
  allocator.OnReport(At({}), Report("a", 0));
  allocator.OnReport(At({}), Report("b", 0));
  EXPECT_TRUE(allocator.NextTable(At({}), {"a"}));
  EXPECT_FALSE(allocator.NextTable(At({}), {"b"}));
  allocator.OnReport(At(kWriterTimeout), Report("b", 0));
  EXPECT_TRUE(allocator.NextTable(At(kWriterTimeout), {"b"}));
}

// Guards against shares that are taken from everybody because nobody could report.
TEST(ShareAllocatorTest, StoreOutageEndsNoShare) {
  ShareAllocator allocator;
  allocator.OnReport(At({}), Report("a", 0));
  allocator.OnReport(At({}), Report("b", 0));
  allocator.OnTable(At({}), *allocator.NextTable(At({}), {"a"}));
  const base::TimePoint later = At(kHolderTimeout + seconds{1});
  allocator.OnOutageEnded(later);
  allocator.OnReport(later, Report("a", 1));
  EXPECT_FALSE(allocator.NextTable(later, {"a"}));
}

}  // namespace
}  // namespace persimmonstair::quota
