#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "persimmonstair/membership/lease_manager.hpp"
#include "persimmonstair/membership/liveness.hpp"
#include "persimmonstair/membership/named_lease.hpp"
#include "persimmonstair/membership/registry.hpp"

namespace persimmonstair::membership {
namespace {

using namespace std::chrono_literals;
using Kind = Effect::Kind;

const base::InstanceId kA{"a"};
const base::InstanceId kB{"b"};
const base::InstanceId kC{"c"};
const base::DataCentreId kDc{"dc1"};

schema::InstanceRegistered Registered(const base::InstanceId& id, std::uint64_t incarnation) {
  return {{id.value + std::to_string(incarnation)}, id, kDc, {incarnation}};
}
schema::LeaseRecord Renewal(const base::InstanceId& id, std::uint64_t sequence,
                            std::uint64_t previous = 0) {
  return {{"l"}, "instance", id, {1}, sequence, {previous}, 6'000, 1};
}
schema::LeaseRecord Named(const base::InstanceId& id, std::uint64_t previous) {
  return {{"n"}, "orders.dc1", id, {1}, 1, {previous}, 6'000, 0};
}
schema::ReclaimRecord Reclaim(const base::InstanceId& subject, std::uint64_t sequence,
                              const base::InstanceId& by) {
  return {{"r"}, subject, {1}, sequence, by, {1}};
}

// A log whose records are applied to the registry at once.
struct Log {
  Kind Add(const schema::Record& record) { return registry.Apply({next++}, record).kind; }
  Registry registry;
  std::uint64_t next = 1;
};

// Guards against a reclaim that takes effect although a renewal precedes it in the log.
TEST(RegistryTest, ReclaimIsInvalidAfterALaterRenewal) {
  Log log;
  log.Add(Registered(kA, 1));
  log.Add(Registered(kB, 1));
  log.Add(Renewal(kA, 1));
  log.Add(Renewal(kA, 2));
  EXPECT_EQ(log.Add(Reclaim(kA, 1, kB)), Kind::kNone);
  EXPECT_EQ(log.Add(Reclaim(kA, 2, kB)), Kind::kReclaimed);
  EXPECT_EQ(log.Add(Renewal(kA, 3)), Kind::kNone) << "renewal after the reclaim";
  EXPECT_EQ(log.Add(Reclaim(kA, 2, kB)), Kind::kNone) << "repeated reclaim";
}

// Guards against a record that takes effect twice because its append was repeated.
TEST(RegistryTest, RepeatedAndReorderedRecordsHaveNoEffect) {
  Log log;
  EXPECT_EQ(log.Add(Registered(kA, 2)), Kind::kRegistered);
  EXPECT_EQ(log.Add(Registered(kA, 2)), Kind::kNone);
  EXPECT_EQ(log.Add(Registered(kA, 1)), Kind::kNone);
  const schema::ShareClaim claim{{"x"}, {"w"}, kA, {2}, 0};
  EXPECT_EQ(log.Add(claim), Kind::kShare);
  EXPECT_EQ(log.Add(claim), Kind::kNone);
  EXPECT_EQ(log.registry.Apply({1}, Registered(kB, 1)).kind, Kind::kNone) << "offset read twice";
}

// Guards against a share record that takes effect after its writer renewed and took it for lost.
TEST(RegistryTest, ShareRecordOfAnEarlierRenewalIsInvalid) {
  Log log;
  log.Add(Registered(kA, 1));
  log.Add(Renewal(kA, 1));
  EXPECT_EQ(log.Add(schema::ShareClaim{{"x"}, {"w"}, kA, {1}, 0}), Kind::kNone);
  EXPECT_EQ(log.Add(schema::ShareClaim{{"y"}, {"w"}, kA, {1}, 1}), Kind::kShare);
}

// Guards against two holders of one lease, and against a fencing number that decreases.
TEST(RegistryTest, NamedLeaseRecordMustNameItsPredecessor) {
  Log log;
  log.Add(Registered(kA, 1));
  log.Add(Registered(kB, 1));
  EXPECT_EQ(log.Add(Named(kA, 0)), Kind::kNamedLease);  // offset 3
  EXPECT_EQ(log.Add(Named(kB, 0)), Kind::kNone);        // offset 4
  EXPECT_EQ(log.Add(Named(kA, 3)), Kind::kNamedLease);  // offset 5
  EXPECT_EQ(log.registry.FindLease("orders.dc1")->fencing, base::Offset{3}) << "same holder";
  EXPECT_EQ(log.Add(Named(kB, 5)), Kind::kNamedLease);  // offset 6
  EXPECT_EQ(log.registry.FindLease("orders.dc1")->fencing, base::Offset{6});
}

// Guards against state that is missing in a snapshot: a restored registry must accept and reject
// the same records.
TEST(RegistryTest, SnapshotKeepsEveryRule) {
  Log log;
  log.Add(Registered(kA, 1));
  log.Add(Registered(kB, 1));
  log.Add(Renewal(kA, 4, 1));
  log.Add(Named(kA, 0));
  log.Add(schema::ShareClaim{{"x"}, {"w"}, kA, {1}, 4});
  auto restored = Registry::Restore(log.registry.Snapshot());
  ASSERT_TRUE(restored.has_value());
  EXPECT_EQ(restored->Snapshot(), log.registry.Snapshot());
  EXPECT_EQ(restored->Apply({6}, schema::ShareClaim{{"x"}, {"w"}, kA, {1}, 4}).kind, Kind::kNone);
  EXPECT_EQ(restored->Apply({7}, Reclaim(kA, 3, kB)).kind, Kind::kNone);
  EXPECT_FALSE(Registry::Restore("{\"next\":1}").has_value());
  EXPECT_FALSE(Registry::Restore("not json").has_value());
}

// Guards against a list that is out of date: it must not make an instance that sends heartbeats
// dead, nor keep one live that sends none.
TEST(LivenessTest, HeartbeatsTakePrecedenceOverTheList) {
  Liveness liveness(kA, kDc);
  base::TimePoint now = base::TimePoint{} + 100s;
  liveness.OnList(now, {{kB, kDc, false}, {kC, kDc, false}});
  EXPECT_EQ(liveness.StateOf(kB, now), LivenessState::kSuspect);
  liveness.OnHeartbeat(now, kB, {1}, kDc, false);
  liveness.OnList(now, {});
  EXPECT_EQ(liveness.StateOf(kB, now), LivenessState::kLive);
  EXPECT_EQ(liveness.StateOf(kC, now), LivenessState::kDead);
  EXPECT_EQ(liveness.StateOf(kB, now + 2s), LivenessState::kDead) << "silent and not listed";
  liveness.OnList(now, {{kB, kDc, false}});
  EXPECT_EQ(liveness.StateOf(kB, now + 2s), LivenessState::kSuspect);
  EXPECT_EQ(liveness.StateOf(kB, now + 5s), LivenessState::kDead);
  EXPECT_EQ(liveness.LiveIn(kDc, now), (std::vector{kA, kB}));
}

// Guards against a late heartbeat that reverts the leaving state, and against one of an earlier
// process that marks a new one as leaving.
TEST(LivenessTest, LeavingIsFinalForAnIncarnation) {
  Liveness liveness(kA, kDc);
  const base::TimePoint now = base::TimePoint{} + 100s;
  liveness.OnHeartbeat(now, kB, {1}, kDc, true);
  liveness.OnHeartbeat(now, kB, {1}, kDc, false);
  EXPECT_EQ(liveness.StateOf(kB, now), LivenessState::kLeaving);
  liveness.OnHeartbeat(now, kB, {2}, kDc, false);
  liveness.OnHeartbeat(now, kB, {1}, kDc, true);
  EXPECT_EQ(liveness.StateOf(kB, now), LivenessState::kLive);
}

// Several lease managers with one log and one clock. The test delivers the consent messages.
class LeaseManagerTest : public testing::Test {
 protected:
  struct Node {
    explicit Node(const base::InstanceId& id, const std::string& process = "p")
        : lease_manager({id, kDc, process}) {}
    LeaseManager lease_manager;
    Registry registry;
    bool log = true;
    bool running = true;
    std::vector<OutgoingMessage> sent;
    std::uint64_t reclaims = 0;
  };

  void Read(Node& node) {
    while (node.log && node.registry.Next().value < log_.size()) {
      const base::Offset at = node.registry.Next();
      const Effect effect = node.registry.Apply(at, log_[at.value]);
      node.lease_manager.OnRecord(now_, at, log_[at.value], effect, node.registry);
    }
  }

  void Run(base::Duration length, std::vector<Node*> nodes) {
    for (const base::TimePoint end = now_ + length; now_ < end; now_ += 100ms) {
      for (Node* node : nodes) {
        if (!node->running) continue;
        Read(*node);
        Output out = node->lease_manager.Tick(now_, node->registry, node->log);
        for (auto& record : out.records) {
          node->reclaims += std::holds_alternative<schema::ReclaimRecord>(record) ? 1 : 0;
          log_.push_back(std::move(record));
        }
        for (auto& message : out.messages) node->sent.push_back(std::move(message));
      }
      if (exchange_) Exchange(nodes);
    }
  }

  void Exchange(const std::vector<Node*>& nodes) {
    for (Node* from : nodes) {
      for (const OutgoingMessage& ask : std::exchange(from->sent, {})) {
        const auto* request = std::get_if<schema::LeaseConsentRequest>(&ask.message);
        for (Node* to : nodes) {
          if (!to->running || to->registry.Find(ask.to) == nullptr || NameOf(*to) != ask.to)
            continue;
          const Output out = to->lease_manager.OnConsentRequest(
              now_, NameOf(*from), from->lease_manager.View().incarnation, *request, to->registry);
          for (const OutgoingMessage& answer : out.messages) {
            from->lease_manager.OnConsent(now_, NameOf(*to), to->lease_manager.View().incarnation,
                                          std::get<schema::LeaseConsent>(answer.message),
                                          from->registry);
          }
        }
      }
    }
  }

  const base::InstanceId& NameOf(const Node& node) const {
    if (&node == &b_) return kB;
    return &node == &c_ ? kC : kA;
  }

  base::TimePoint now_ = base::TimePoint{} + 1'000s;
  // Offset 0 holds a record that the registry ignores, because a `previous` of 0 means "none".
  std::vector<schema::Record> log_{schema::CatalogueChange{}};
  bool exchange_ = true;
  Node a_{kA};
  Node b_{kB};
  Node c_{kC};
};

// Guards against use of shares after a pause, before the earlier incarnation's lease has expired.
TEST_F(LeaseManagerTest, APauseEndsTheLeaseAndTheIncarnation) {
  Run(10s, {&a_, &b_});
  ASSERT_TRUE(a_.lease_manager.View().LeaseValid(now_));
  const base::Incarnation before = a_.lease_manager.View().incarnation;
  now_ += 3s;
  EXPECT_FALSE(a_.lease_manager.View().ReservedShareUsable(now_))
      << "before the first tick after the pause";
  b_.running = false;
  Run(300ms, {&a_});
  EXPECT_EQ(a_.lease_manager.PausesDetected(), 1U);
  EXPECT_GT(a_.lease_manager.View().incarnation, before);
  EXPECT_FALSE(a_.lease_manager.View().ReservedShareUsable(now_))
      << "an earlier process may still run";
  Run(10s, {&a_});
  EXPECT_TRUE(a_.lease_manager.View().LeaseValid(now_));
}

// Guards against two processes that run under one id: the older one must stop when it reads the
// registration of the newer one.
TEST_F(LeaseManagerTest, ANewerProcessSupersedesTheOlderOne) {
  Run(5s, {&a_});
  Node second(kA, "q");
  Run(1s, {&a_, &second});
  EXPECT_TRUE(a_.lease_manager.Superseded());
  EXPECT_FALSE(a_.lease_manager.View().ReservedShareUsable(now_));
  EXPECT_FALSE(second.lease_manager.View().ReservedShareUsable(now_)) << "within lease and margin";
  Run(10s, {&second});
  EXPECT_TRUE(second.lease_manager.View().LeaseValid(now_));
}

// Guards against an older process that keeps running because it is cut off from the log and can't
// read the registration of the newer one.
TEST_F(LeaseManagerTest, APeerReportsANewerIncarnation) {
  Run(5s, {&a_, &b_});
  a_.log = false;
  Node second(kA, "q");
  Run(1s, {&second, &b_});
  Run(5s, {&a_, &b_});
  EXPECT_TRUE(a_.lease_manager.Superseded());
}

// Guards against a lease that is counted from the time of the read back. Other instances count from
// their own read, which may be earlier.
TEST_F(LeaseManagerTest, TheLeaseCountsFromBeforeTheRenewalWasSent) {
  Run(5s, {&a_, &b_});
  b_.running = false;  // Gives no consent.
  const std::uint64_t before = a_.lease_manager.View().sequence;
  while (!std::holds_alternative<schema::LeaseRecord>(log_.back()) ||
         std::get<schema::LeaseRecord>(log_.back()).sequence == before) {
    Run(100ms, {&a_});
  }
  const base::TimePoint sent = now_ - 100ms;
  a_.log = false;
  Run(5s, {&a_});
  a_.log = true;
  Read(a_);
  EXPECT_EQ(a_.lease_manager.View().sequence, before + 1);
  EXPECT_EQ(a_.lease_manager.View().leased_until, sent + 6s);
}

// Guards against loss of the leased shares in a log outage of an hour.
TEST_F(LeaseManagerTest, ConsentKeepsAllLeasesThroughAnOutageOfAnHour) {
  Run(10s, {&a_, &b_, &c_});
  for (Node* node : {&a_, &b_, &c_}) node->log = false;
  for (int minute = 0; minute < 60; ++minute) {
    Run(60s, {&a_, &b_, &c_});
    for (const Node* node : {&a_, &b_, &c_})
      ASSERT_TRUE(node->lease_manager.View().LeaseValid(now_));
  }
  for (Node* node : {&a_, &b_, &c_}) node->log = true;
  Run(30s, {&a_, &b_, &c_});
  EXPECT_EQ(a_.reclaims + b_.reclaims + c_.reclaims, 0U) << "reclaimed before renewals arrived";
}

// Guards against a lease extended by only a part of the fleet, while the others may reclaim.
TEST_F(LeaseManagerTest, WithoutTheConsentOfOneOnlyTheReservedShareStays) {
  Run(10s, {&a_, &b_, &c_});
  a_.log = b_.log = false;
  Run(8s, {&a_, &b_});
  EXPECT_FALSE(a_.lease_manager.View().LeaseValid(now_));
  EXPECT_TRUE(a_.lease_manager.View().ReservedShareUsable(now_));
}

// Guards against a reclaim by an instance that promised to wait, and against a silent instance that
// is never reclaimed.
TEST_F(LeaseManagerTest, ASilentInstanceIsReclaimedOnlyAfterThePromiseHasPassed) {
  Run(10s, {&a_, &b_, &c_});
  a_.running = false;
  schema::LeaseConsentRequest request{1, 1, 20'000};
  for (Node* node : {&b_, &c_}) {
    node->lease_manager.OnConsentRequest(now_, kA, {1}, request, node->registry);
  }
  Run(20s, {&b_, &c_});
  EXPECT_EQ(b_.reclaims + c_.reclaims, 0U);
  Run(10s, {&b_, &c_});
  EXPECT_EQ(b_.reclaims + c_.reclaims, 1U);
  EXPECT_EQ(b_.registry.Find(kA)->end, LifetimeEnd::kReclaimed);
}

// Guards against consent given while a reclaim record is pending.
TEST_F(LeaseManagerTest, NoConsentWhileAReclaimIsPending) {
  Run(10s, {&a_, &b_});
  a_.running = false;
  while (b_.reclaims == 0) Run(100ms, {&b_});
  log_.pop_back();  // The append is delayed: no instance has read it.
  const Output out = b_.lease_manager.OnConsentRequest(
      now_, kA, {1}, schema::LeaseConsentRequest{1, 1, 6'000}, b_.registry);
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_EQ(std::get<schema::LeaseConsent>(out.messages[0].message).duration_ms, 0U);
}

// Guards against a reclaim by an instance that registered too late to be asked for consent.
TEST_F(LeaseManagerTest, ALateRegistrationDoesNotReclaimBeforeTheConsentLimit) {
  Run(10s, {&a_, &b_});
  a_.running = b_.running = false;
  Run(60s, {&c_});
  EXPECT_EQ(c_.reclaims, 0U);
  Run(2h, {&c_});
  EXPECT_EQ(c_.reclaims, 2U);
}

// Guards against a planned leave that is not recorded in the log, so that its shares stay held.
TEST_F(LeaseManagerTest, APlannedLeaveEndsInTheLog) {
  Run(5s, {&a_, &b_});
  a_.lease_manager.Leave(now_);
  EXPECT_FALSE(a_.lease_manager.View().ReservedShareUsable(now_));
  Run(1s, {&a_, &b_});
  EXPECT_TRUE(a_.lease_manager.Left());
  EXPECT_EQ(b_.registry.Find(kA)->end, LifetimeEnd::kLeft);
}

// Guards against renewal traffic that grows with the size of the fleet.
TEST(LeaseTimesTest, RenewalsOfTheFleetStayAtALimit) {
  EXPECT_EQ(ScaledTo({}, 11).renew_interval, 2s);
  const LeaseTimes large = ScaledTo({}, 390);
  EXPECT_GE(large.renew_interval, 35s);
  EXPECT_EQ(large.lease.count() / large.renew_interval.count(), 3);
}

// Guards against two issuers of orders at the same time: a new holder must wait for lease and
// margin, and gets a higher fencing number.
TEST(NamedLeaseTest, ANewHolderWaitsAndGetsAHigherFencingNumber) {
  Log log;
  log.Add(Registered(kA, 1));
  log.Add(Registered(kB, 1));
  LeaseView view{{1}, 1, true, base::TimePoint::max(), {}, base::TimePoint::max(), true};
  NamedLease a("orders.dc1", kA, "p");
  NamedLease b("orders.dc1", kB, "q");
  base::TimePoint now = base::TimePoint{} + 100s;
  const auto step = [&](NamedLease& lease) {
    const auto record = lease.Tick(now, log.registry, view, true);
    if (!record) return;
    const base::Offset at{log.next};
    const Effect effect{log.Add(*record), record->holder, {}};
    for (NamedLease* reader : {&a, &b}) reader->OnRecord(now, at, *record, effect, log.registry);
  };
  step(a);
  const auto first = a.FencingIfHeld(now, view);
  ASSERT_TRUE(first.has_value());
  for (int n = 0; n < 69; ++n, now += 100ms) step(b);
  EXPECT_FALSE(b.FencingIfHeld(now, view).has_value());
  now += 200ms;
  step(b);
  EXPECT_FALSE(a.FencingIfHeld(now, view).has_value());
  ASSERT_TRUE(b.FencingIfHeld(now, view).has_value());
  EXPECT_GT(*b.FencingIfHeld(now, view), *first);
}

}  // namespace
}  // namespace persimmonstair::membership
