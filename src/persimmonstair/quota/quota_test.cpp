#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "persimmonstair/quota/home.hpp"
#include "persimmonstair/quota/share_allocator.hpp"
#include "persimmonstair/quota/share_use.hpp"

namespace persimmonstair::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint{seconds{100} + since_start};
}

const base::WorkspaceId kNorth{"north"};
constexpr ProgramStage kUnderWay = ProgramStage::kUnderWay;

schema::ShareReport Report(const std::string& instance, std::uint64_t round, double demand = 0) {
  schema::ShareReport report{{instance}, "1", "", round, false, {}};
  if (demand > 0) report.demands.push_back({kNorth, static_cast<std::uint64_t>(demand * 1000)});
  return report;
}

// Guards against a start that admits a whole burst that an earlier process may have used already.
TEST(ShareUseTest, StartsEmptyAndNeedsALease) {
  ShareUse use({"a"});
  const WorkspaceQuota quota{100, 100};
  EXPECT_EQ(use.Admit(At({}), kNorth, quota, kUnderWay).admission, Admission::kNoShare);
  use.Apply(At({}), {1, {{{"a"}, 500'000}}, {}, {}});
  use.OnReported(At({}));
  EXPECT_EQ(use.Admit(At({}), kNorth, quota, kUnderWay).admission, Admission::kOverQuota);
  EXPECT_EQ(use.Admit(At(milliseconds{20}), kNorth, quota, kUnderWay).admission,
            Admission::kAdmitted);
  EXPECT_EQ(use.Admit(At(kShareLease), kNorth, quota, kUnderWay).admission, Admission::kNoShare);
}

// Guards against a refusal that tells callers to come back before there is a token.
TEST(ShareUseTest, RefusalStatesWhenATokenIsThere) {
  ShareUse use({"a"});
  use.Apply(At({}), {1, {{{"a"}, 1'000'000}}, {}, {}});
  use.OnReported(At({}));
  const WorkspaceQuota quota{10, 10};
  const AdmissionResult refused = use.Admit(At({}), kNorth, quota, kUnderWay);
  EXPECT_EQ(refused.retry_after, milliseconds{100});
  EXPECT_EQ(use.Admit(At(refused.retry_after), kNorth, quota, kUnderWay).admission,
            Admission::kAdmitted);
}

// Guards against callers that come to one instance in a burst and are refused while the workspace's
// tokens lie unused at the others, and against tokens that are used twice.
TEST(ShareUseTest, LoansMoveTokensToWhereTheBurstIs) {
  const WorkspaceQuota quota{20, 20};
  ShareUse lender({"a"});
  ShareUse borrower({"b"});
  for (ShareUse* use : {&lender, &borrower}) {
    use->Apply(At({}), {1, {{{"a"}, 500'000}, {{"b"}, 500'000}}, {}, {}});
    use->OnReported(At({}));
    use->Admit(At({}), kNorth, quota, kUnderWay);
  }
  const base::TimePoint full = At(seconds{2});
  const base::TimePoint until = full + milliseconds{500};
  const auto admitted = [&](ShareUse& use, base::TimePoint now) {
    int n = 0;
    while (use.Admit(now, kNorth, quota, kUnderWay).admission == Admission::kAdmitted) ++n;
    return n;
  };
  EXPECT_EQ(admitted(borrower, full), static_cast<int>(20 * borrower.ShareOf(kNorth)));
  const double lent = lender.Lend(full, kNorth, quota, 3, until);
  EXPECT_EQ(lent, 3);
  borrower.Borrow(full, kNorth, lent, until);
  EXPECT_EQ(admitted(borrower, full), 3);
  EXPECT_EQ(admitted(lender, full), static_cast<int>(20 * lender.ShareOf(kNorth)) - 3);
  EXPECT_NEAR(lender.ShareOf(kNorth) + borrower.ShareOf(kNorth), 1, 1e-9);
}

// Guards against a workspace over its rate all of whose programs fail half way: while those under
// way lack tokens, no further ones begin.
TEST(ShareUseTest, ProgramsUnderWayComeFirst) {
  const WorkspaceQuota quota{20, 20};
  ShareUse use({"a"});
  use.Apply(At({}), {1, {{{"a"}, 1'000'000}}, {}, {}});
  use.OnReported(At({}));
  use.Admit(At({}), kNorth, quota, kUnderWay);
  const base::TimePoint soon = At(milliseconds{100});
  use.OnRefused(soon, kNorth, kUnderWay);
  const AdmissionResult refused = use.Admit(soon, kNorth, quota, ProgramStage::kBegins);
  EXPECT_EQ(refused.admission, Admission::kOverQuota);
  EXPECT_EQ(use.Admit(soon, kNorth, quota, kUnderWay).admission, Admission::kAdmitted);
  EXPECT_EQ(use.Admit(soon + refused.retry_after, kNorth, quota, ProgramStage::kBegins).admission,
            Admission::kAdmitted);
}

// Guards against borrowed tokens that are used after their lender could refill.
TEST(ShareUseTest, LoansEnd) {
  const WorkspaceQuota quota{1, 1};
  ShareUse use({"b"});
  use.Apply(At({}), {1, {{{"b"}, 1'000'000}}, {}, {}});
  use.OnReported(At({}));
  EXPECT_EQ(use.Admit(At({}), kNorth, quota, kUnderWay).admission, Admission::kOverQuota);
  use.Borrow(At({}), kNorth, 3, At(milliseconds{500}));
  EXPECT_EQ(use.Admit(At(milliseconds{499}), kNorth, quota, kUnderWay).admission,
            Admission::kAdmitted);
  EXPECT_NE(use.Admit(At(milliseconds{500}), kNorth, quota, kUnderWay).admission,
            Admission::kAdmitted);
}

// Guards against two instances that both take themselves for the home of a workspace while one of
// them has not seen the newest table.
TEST(HomeTest, AHomeThatMovedServesFromTheNextRoundOn) {
  const std::vector<base::InstanceId> one{{"a"}};
  schema::ShareTable table{2, {}, one, {}};
  std::string moved;
  for (int n = 0; moved.empty(); ++n) {
    table.holders = {{{"a"}, 500'000}, {{"n" + std::to_string(n)}, 500'000}};
    if (HomeOf(kNorth, HoldersOf(table))->value != "a") moved = table.holders[1].instance.value;
  }
  EXPECT_FALSE(HoldsHomePart(table, kNorth, {moved}));
  EXPECT_FALSE(HoldsHomePart(table, kNorth, {"a"}));
  table.previous_holders = HoldersOf(table);
  EXPECT_TRUE(HoldsHomePart(table, kNorth, {moved}));
}

// Guards against a workspace without a limit that is refused.
TEST(ShareUseTest, NoRateMeansNoLimit) {
  ShareUse use({"a"});
  EXPECT_EQ(use.Admit(At({}), kNorth, {}, kUnderWay).admission, Admission::kAdmitted);
}

// Guards against shares that add up to more than the whole while instances come, go and lag behind
// by a round, and against shares of a dead instance that are dealt again before its lease is over.
TEST(ShareAllocatorTest, SharesInUseNeverExceedTheWhole) {
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    const std::vector<std::string> names{"a", "b", "c", "d", "e"};
    struct Instance {
      bool running = false;
      ShareUse use{{}};
      ShareAllocator allocator;
      std::size_t read = 0;
    };
    std::map<std::string, Instance> fleet;
    for (const auto& name : names) fleet[name].use = ShareUse({name});
    std::vector<std::variant<schema::ShareReport, schema::ShareTable>> log;
    std::map<std::string, std::pair<base::TimePoint, double>> in_use;
    for (int step = 0; step < 400; ++step) {
      const base::TimePoint now = At(milliseconds{500} * step);
      auto& name = names[random() % names.size()];
      Instance& one = fleet[name];
      if (random() % 40 == 0) {
        one = Instance{true, ShareUse({name}), {}, 0};
      } else if (random() % 60 == 0) {
        one.running = false;
      }
      for (auto& [other, instance] : fleet) {
        if (!instance.running || random() % 5 == 0) continue;
        for (; instance.read < log.size(); ++instance.read) {
          if (const auto* table = std::get_if<schema::ShareTable>(&log[instance.read])) {
            instance.allocator.OnTable(now, *table);
            instance.use.Apply(now, *table);
          } else {
            instance.allocator.OnReport(now, std::get<schema::ShareReport>(log[instance.read]));
          }
        }
        const std::size_t end = log.size();
        log.push_back(Report(other, instance.use.Round(), static_cast<double>(random() % 50)));
        instance.use.OnReported(now);
        in_use[other] = {now, instance.use.ShareOf(kNorth)};
        if (const auto table = instance.allocator.Next(now, {other});
            table && end == log.size() - 1) {
          log.push_back(*table);
        }
      }
      double whole = 0;
      for (const auto& [other, use] : in_use) {
        if (now - use.first < kShareLease) whole += use.second;
      }
      EXPECT_LE(whole, 1 + 1e-9) << "seed " << seed << " step " << step;
    }
  }
}

// Guards against shares that stay even while one instance has most of the callers.
TEST(ShareAllocatorTest, SharesFollowDemand) {
  ShareAllocator allocator;
  std::uint64_t round = 0;
  for (int n = 0; n < 10; ++n) {
    const base::TimePoint now = At(seconds{n});
    allocator.OnReport(now, Report("a", round, 90));
    allocator.OnReport(now, Report("b", round, 10));
    if (const auto table = allocator.Next(now, {"a"})) {
      allocator.OnTable(now, *table);
      round = table->round;
    }
  }
  double share = 0;
  for (const auto& grant : allocator.Table().grants) {
    if (grant.instance.value == "a") share = grant.ppm;
  }
  EXPECT_NEAR(share, 720'000, 30'000);
}

// Guards against two writers: only the first live instance by name computes tables.
TEST(ShareAllocatorTest, FirstLiveInstanceWrites) {
  ShareAllocator allocator;
  allocator.OnReport(At({}), Report("a", 0));
  allocator.OnReport(At({}), Report("b", 0));
  EXPECT_TRUE(allocator.Next(At({}), {"a"}));
  EXPECT_FALSE(allocator.Next(At({}), {"b"}));
  allocator.OnReport(At(kSilence), Report("b", 0));
  EXPECT_TRUE(allocator.Next(At(kSilence), {"b"}));
}

// Guards against shares that are taken from everybody because nobody could report.
TEST(ShareAllocatorTest, AnOutageOfTheStoreEndsNoShare) {
  ShareAllocator allocator;
  allocator.OnReport(At({}), Report("a", 0));
  allocator.OnReport(At({}), Report("b", 0));
  allocator.OnTable(At({}), *allocator.Next(At({}), {"a"}));
  const base::TimePoint later = At(kHolderTimeout + seconds{1});
  allocator.OnOutageEnded(later);
  allocator.OnReport(later, Report("a", 1));
  EXPECT_FALSE(allocator.Next(later, {"a"}));
}

}  // namespace
}  // namespace persimmonstair::quota
