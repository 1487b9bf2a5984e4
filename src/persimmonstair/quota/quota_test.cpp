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

// Demand that gets a token at once or is refused.
constexpr TokenDemand kNoWait{1, kUnderWay, TokenRequester::kLocalCaller, {}};

// Submits a request that is never queued, because its maximum wait is 0.
AdmissionResult Admit(LocalShares& local_shares, base::TimePoint now, const RateLimit& quota) {
  return AdmissionQueue(local_shares).Ask(now, kNorth, quota, kNoWait).value();
}

// Report of the first process of an instance, without an address for other instances.
schema::ShareReport Report(const std::string& instance, std::uint64_t applied_round) {
  // Instances "a" and "b" are in data centre "east", all others in "west".
  return {{instance}, "1", {instance < "c" ? "east" : "west"}, "", applied_round, false};
}

// Share table of round 1, in which instance "a" holds all shares.
const schema::ShareTable kOnlyA{1, {{{"a"}, {"east"}}}, {}};

// Guards against a restarted instance that admits a full burst although its previous process may
// have used the same tokens just before, and against admission without a valid lease.
TEST(LocalSharesTest, StartsEmptyAndNeedsALease) {
  LocalShares local_shares({"a"});
  const RateLimit quota{100, 100};
  EXPECT_EQ(Admit(local_shares, At({}), quota).admission, Admission::kNoShare);
  local_shares.Apply(kOnlyA);
  local_shares.OnReportStored(At({}));
  EXPECT_EQ(Admit(local_shares, At({}), quota).admission, Admission::kOverQuota);
  EXPECT_EQ(Admit(local_shares, At(milliseconds{20}), quota).admission, Admission::kAdmitted);
  EXPECT_EQ(Admit(local_shares, At(kShareLease), quota).admission, Admission::kNoShare);
}

// Guards against a refusal whose retry time ends before a token is available.
TEST(LocalSharesTest, RefusalStatesWhenATokenIsAvailable) {
  LocalShares local_shares({"a"});
  local_shares.Apply(kOnlyA);
  local_shares.OnReportStored(At({}));
  const RateLimit quota{10, 10};
  const AdmissionResult refused = Admit(local_shares, At({}), quota);
  EXPECT_EQ(refused.retry_after, milliseconds{100});
  EXPECT_EQ(Admit(local_shares, At(refused.retry_after), quota).admission, Admission::kAdmitted);
}

// Guards against a burst at one instance that is refused while other instances have unused tokens
// of the workspace, and against lent tokens that are used twice.
TEST(LocalSharesTest, LoansMoveTokensToTheBusyInstance) {
  const RateLimit quota{20, 20};
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

// Shares and queue of a single instance that holds the whole rate of the workspace, 20 per second.
// The bucket starts empty.
struct SingleInstance {
  SingleInstance() {
    shares.Apply(kOnlyA);
    shares.OnReportStored(At({}));
    shares.TimeUntilAvailable(At({}), kNorth, quota, 1);
  }

  RateLimit quota{20, 20};
  LocalShares shares{{"a"}};
  AdmissionQueue queue{shares};
};

// Guards against a workspace over its rate in which no program finishes: each new program takes
// tokens that programs under way need, until requests of all of them are refused.
TEST(AdmissionQueueTest, ProgramsUnderWayComeFirst) {
  SingleInstance single;
  const TokenDemand begins{2, ProgramStage::kBegins, TokenRequester::kLocalCaller, {}};
  ASSERT_TRUE(single.queue.Ask(At({}), kNorth, single.quota, kNoWait));
  // A quarter of the burst, 5 tokens here, is reserved for programs under way.
  const base::TimePoint soon = At(milliseconds{250});
  const auto refused = single.queue.Ask(soon, kNorth, single.quota, begins);
  EXPECT_EQ(refused->admission, Admission::kOverQuota);
  EXPECT_EQ(single.queue.Ask(soon, kNorth, single.quota, kNoWait)->admission, Admission::kAdmitted);
  EXPECT_EQ(single.queue.Ask(soon + refused->retry_after, kNorth, single.quota, begins)->admission,
            Admission::kOverQuota);
  EXPECT_EQ(single.queue.Ask(At(milliseconds{400}), kNorth, single.quota, begins)->admission,
            Admission::kAdmitted);
}

// Guards against the refusal of a burst whose tokens become available within the time that a
// refused caller needs to reconnect. Programs under way are served first, then in order of arrival.
TEST(AdmissionQueueTest, ABurstWaitsForTokensInOrder) {
  SingleInstance single;
  const auto ask = [&](std::uint64_t id, ProgramStage stage) {
    return single.queue.Ask(At({}), kNorth, single.quota,
                            {id, stage, TokenRequester::kLocalCaller, kMaxTokenWait});
  };
  EXPECT_FALSE(ask(1, kUnderWay));
  EXPECT_FALSE(single.queue.Ask(
      At({}), kNorth, single.quota,
      {2, ProgramStage::kBegins, TokenRequester::kLocalCallerAskingPeers, seconds{1}}));
  EXPECT_FALSE(ask(3, kUnderWay));
  std::vector<std::uint64_t> order;
  base::TimePoint now = At({});
  while (const auto next = single.queue.NextServeTime(now)) {
    ASSERT_GT(*next, now);
    now = *next;
    for (const Decision& decision : single.queue.Serve(now)) {
      EXPECT_EQ(decision.result.admission, Admission::kAdmitted);
      order.push_back(decision.id);
    }
  }
  EXPECT_EQ(order, (std::vector<std::uint64_t>{1, 3, 2}));
  EXPECT_LE(now, At(seconds{1}));
}

// Guards against queueing requests that can't get a token within their maximum wait. One token
// becomes available every 50 ms, so 5 requests fit into 250 ms and the sixth needs 300 ms.
TEST(AdmissionQueueTest, RefusesRequestsThatCannotBeServedInTime) {
  SingleInstance single;
  std::uint64_t id = 0;
  std::optional<AdmissionResult> result;
  while (!result) {
    result = single.queue.Ask(At({}), kNorth, single.quota,
                              {++id, kUnderWay, TokenRequester::kLocalCaller, kMaxTokenWait});
  }
  EXPECT_EQ(result->admission, Admission::kOverQuota);
  EXPECT_EQ(id, 6U);
  EXPECT_EQ(result->retry_after, milliseconds{300});
}

// Guards against an instance that serves its own callers before earlier requests of other
// instances, and against borrowed tokens that are lent again.
TEST(AdmissionQueueTest, OtherInstancesShareTheQueue) {
  SingleInstance single;
  single.queue.Ask(At({}), kNorth, single.quota,
                   {1, kUnderWay, TokenRequester::kPeerInstance, kMaxTokenWait});
  single.queue.Ask(At({}), kNorth, single.quota,
                   {2, kUnderWay, TokenRequester::kLocalCaller, kMaxTokenWait});
  single.queue.Ask(At({}), kNorth, single.quota,
                   {3, kUnderWay, TokenRequester::kLocalCaller, kMaxTokenWait});
  single.shares.Borrow(At({}), kNorth, 1, At(kMaxTokenWait));
  const auto borrowed = single.queue.Serve(At({}));
  ASSERT_EQ(borrowed.size(), 1U);
  EXPECT_EQ(borrowed[0].id, 2U);
  const auto own = single.queue.Serve(At(milliseconds{50}));
  ASSERT_EQ(own.size(), 1U);
  EXPECT_EQ(own[0].id, 1U);
}

// Guards against two errors after the other instances had no token to lend: keeping a request
// queued that the local share can't serve within its maximum wait, and refusing one that it can
// serve.
TEST(AdmissionQueueTest, KeepsWaitingWithoutPeersOnlyForItsOwnShare) {
  SingleInstance single;
  single.quota.rate_per_s = 5;
  const auto ask = [&](std::uint64_t id) {
    return single.queue.Ask(
        At({}), kNorth, single.quota,
        {id, kUnderWay, TokenRequester::kLocalCallerAskingPeers, kMaxTokenWait});
  };
  EXPECT_FALSE(ask(1));
  EXPECT_FALSE(ask(2));
  EXPECT_FALSE(single.queue.OnNoRemoteToken(At({}), kNorth, 1, milliseconds{90}));
  const auto refused = single.queue.OnNoRemoteToken(At({}), kNorth, 2, milliseconds{90});
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->retry_after, milliseconds{90});
  EXPECT_EQ(single.queue.Serve(At(milliseconds{200})).size(), 1U);
}

// Guards against a token that is lost because it goes to a request that already got one elsewhere.
TEST(AdmissionQueueTest, WithdrawnRequestsGetNoToken) {
  SingleInstance single;
  single.queue.Ask(At({}), kNorth, single.quota,
                   {1, kUnderWay, TokenRequester::kPeerInstance, kMaxTokenWait});
  single.queue.Ask(At({}), kNorth, single.quota,
                   {2, kUnderWay, TokenRequester::kPeerInstance, kMaxTokenWait});
  single.queue.Withdraw(kNorth, 1);
  const auto served = single.queue.Serve(At(milliseconds{50}));
  ASSERT_EQ(served.size(), 1U);
  EXPECT_EQ(served[0].id, 2U);
}

// Guards against requests that stay queued forever when no token becomes available.
TEST(AdmissionQueueTest, QueuedRequestTimesOut) {
  SingleInstance single;
  single.quota.rate_per_s = 0.1;
  single.queue.Ask(At({}), kNorth, single.quota,
                   {1, kUnderWay, TokenRequester::kLocalCallerAskingPeers, kMaxTokenWait});
  EXPECT_EQ(single.queue.NextServeTime(At({})), At(kMaxTokenWait));
  const auto ended = single.queue.Serve(At(kMaxTokenWait));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].result.admission, Admission::kOverQuota);
  EXPECT_FALSE(single.queue.NextServeTime(At(kMaxTokenWait)));
}

// Guards against queued requests that are admitted beyond the rate. In any interval, no more
// requests may be admitted than the burst and the rate allow.
TEST(AdmissionQueueTest, WaitingAddsNoTokens) {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    SingleInstance single;
    std::vector<base::TimePoint> admitted;
    base::TimePoint now = At({});
    for (std::uint64_t id = 1; id < 400; ++id) {
      now += milliseconds{random() % 40};
      const TokenRequester requester =
          random() % 2 == 0 ? TokenRequester::kPeerInstance : TokenRequester::kLocalCaller;
      const auto result = single.queue.Ask(
          now, kNorth, single.quota, {id, kUnderWay, requester, milliseconds{random() % 250}});
      if (result && result->admission == Admission::kAdmitted) admitted.push_back(now);
      for (const Decision& decision : single.queue.Serve(now)) {
        if (decision.result.admission == Admission::kAdmitted) admitted.push_back(now);
      }
    }
    ASSERT_GT(admitted.size(), 50U);
    for (std::size_t from = 0; from < admitted.size(); ++from) {
      for (std::size_t to = from; to < admitted.size(); ++to) {
        const double span = base::ToSeconds(admitted[to] - admitted[from]);
        const double most = single.quota.burst + single.quota.rate_per_s * span + 1;
        ASSERT_LE(static_cast<double>(to - from + 1), most) << "seed " << seed;
      }
    }
  }
}

// Guards against borrowed tokens that are used after their expiry, when the lender may already have
// used them itself or lent them to another instance.
TEST(LocalSharesTest, BorrowedTokensExpire) {
  const RateLimit quota{1, 1};
  LocalShares local_shares({"a"});
  local_shares.Apply(kOnlyA);
  local_shares.OnReportStored(At({}));
  EXPECT_EQ(Admit(local_shares, At({}), quota).admission, Admission::kOverQuota);
  local_shares.Borrow(At({}), kNorth, 3, At(milliseconds{500}));
  EXPECT_EQ(Admit(local_shares, At(milliseconds{499}), quota).admission, Admission::kAdmitted);
  EXPECT_NE(Admit(local_shares, At(milliseconds{500}), quota).admission, Admission::kAdmitted);
}

// Guards against two instances that both act as the coordinator of a workspace, because the
// previous coordinator has not read the newest table yet. Neither has the share for one round; the
// new one has it once it is the coordinator by two tables in a row.
TEST(CoordinatorTest, NewCoordinatorServesFromTheNextRound) {
  const std::vector<schema::ShareHolder> only_a{{{"a"}, {"east"}}};
  schema::ShareTable table{2, {}, only_a};
  std::string new_coordinator;
  for (int n = 0; new_coordinator.empty(); ++n) {
    table.holders = {{{"a"}, {"east"}}, {{"n" + std::to_string(n)}, {"east"}}};
    const auto coordinator = CoordinatorsOf(kNorth, table.holders).at(0).instance.value;
    if (coordinator != "a") new_coordinator = coordinator;
  }
  EXPECT_EQ(ShareOf(table, kNorth, {new_coordinator}), 0);
  EXPECT_EQ(ShareOf(table, kNorth, {"a"}), 0);
  table.previous_holders = table.holders;
  EXPECT_EQ(ShareOf(table, kNorth, {new_coordinator}), 1);
}

// Guards against a data centre without a share, which could serve nothing while it is cut off from
// the others, and against a share that no instance uses.
TEST(CoordinatorTest, EachDataCentreHasOneCoordinatorWithItsShare) {
  schema::ShareTable table{2, {}, {}};
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    table.holders.push_back({{name}, Report(name, 0).data_centre});
  }
  table.previous_holders = table.holders;
  std::map<std::string, double> share_by_data_centre;
  for (const auto& holder : table.holders) {
    const double share = ShareOf(table, kNorth, holder.instance);
    EXPECT_TRUE(share == 0 || share == 0.5);
    share_by_data_centre[holder.data_centre.value] += share;
  }
  EXPECT_EQ(share_by_data_centre, (std::map<std::string, double>{{"east", 0.5}, {"west", 0.5}}));
}

// Guards against refused requests of a workspace that has no limit.
TEST(LocalSharesTest, NoRateMeansNoLimit) {
  LocalShares local_shares({"a"});
  EXPECT_EQ(Admit(local_shares, At({}), {}).admission, Admission::kAdmitted);
}

// Guards against shares in use that add up to more than 1 while instances start, stop and lag
// behind by a round, and against shares that are reassigned before the lease of a dead instance has
// ended.
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
    // Time of each instance's last report and the share that it used then.
    std::map<std::string, std::pair<base::TimePoint, double>> last_use;
    for (int step = 0; step < 400; ++step) {
      const base::TimePoint now = At(milliseconds{500} * step);
      auto& name = names[random() % names.size()];
      Instance& chosen = fleet[name];
      if (random() % 40 == 0) {
        chosen = Instance{true, LocalShares({name}), {}, 0};
      } else if (random() % 60 == 0) {
        chosen.running = false;
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
        const std::size_t own_report = log.size();
        log.push_back(Report(other, instance.local_shares.Round()));
        instance.local_shares.OnReportStored(now);
        last_use[other] = {now, instance.local_shares.Share(kNorth)};
        if (const auto table = instance.allocator.NextTable(now, {other});
            table && own_report == log.size() - 1) {
          log.push_back(*table);
        }
      }
      double sum_of_shares = 0;
      for (const auto& [other, use] : last_use) {
        if (now - use.first < kShareLease) sum_of_shares += use.second;
      }
      EXPECT_LE(sum_of_shares, 1 + 1e-9) << "seed " << seed << " step " << step;
    }
  }
}

// Guards against two instances that write tables at the same time. Only the live instance whose
// name sorts first writes them.
TEST(ShareAllocatorTest, FirstLiveInstanceWrites) {
  ShareAllocator allocator;
  allocator.OnReport(At({}), Report("a", 0));
  allocator.OnReport(At({}), Report("b", 0));
  EXPECT_TRUE(allocator.NextTable(At({}), {"a"}));
  EXPECT_FALSE(allocator.NextTable(At({}), {"b"}));
  allocator.OnReport(At(kWriterTimeout), Report("b", 0));
  EXPECT_TRUE(allocator.NextTable(At(kWriterTimeout), {"b"}));
}

// Guards against a holder that looks stopped, because the record of its earlier process is read
// after the first reports of the one that runs now.
TEST(ShareAllocatorTest, StopOfAnEarlierProcessEndsNoShare) {
  ShareAllocator allocator;
  schema::ShareReport stop = Report("a", 1);
  stop.process = "earlier";
  stop.stopping = true;
  allocator.OnReport(At({}), Report("a", 1));
  allocator.OnReport(At({}), stop);
  ASSERT_TRUE(allocator.NextTable(At({}), {"a"}));
  EXPECT_EQ(allocator.NextTable(At({}), {"a"})->holders.size(), 1U);
}

// Guards against the loss of shares after a store outage: no instance can report during it, so all
// others look dead to the first one that reads the log again.
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

// Guards against a coordinator that hands out more than a target takes, and against a target that
// is left idle below its limit while requests wait.
TEST(TargetAdmissionQueueTest, HandsOutTheWholeRateAndNoMore) {
  const base::TargetId target{"t1"};
  constexpr double kRatePerS = 6;
  constexpr int kSeconds = 20;
  TargetTokens tokens;
  TargetAdmissionQueue queue(tokens);
  int granted = 0;
  std::uint64_t id = 0;
  for (int ms = 0; ms < kSeconds * 1000; ms += 10) {
    const base::TimePoint now = At(milliseconds{ms});
    const TokenDemand demand{++id, kUnderWay, TokenRequester::kPeerInstance, milliseconds{250}};
    const auto result = queue.Ask(now, target, TargetRate(kRatePerS), demand);
    granted += result && result->admission == Admission::kAdmitted ? 1 : 0;
    for (const Decision& one : queue.Serve(now)) {
      granted += one.result.admission == Admission::kAdmitted ? 1 : 0;
    }
  }
  EXPECT_LE(granted, kRatePerS * kSeconds + 1);
  EXPECT_GE(granted, kRatePerS * kSeconds - 3);
}

// Guards against a target that names a limit of 0 and is never asked again, although only its
// responses show that the limit has ended, and against limits without bound.
TEST(TargetTokensTest, BoundsTheRate) {
  EXPECT_GT(TargetRate(0).rate_per_s, 0);
  EXPECT_GE(TargetRate(0).burst, 1);
  EXPECT_LE(TargetRate(1e300).rate_per_s, 1e6);
}

}  // namespace
}  // namespace persimmonstair::quota
