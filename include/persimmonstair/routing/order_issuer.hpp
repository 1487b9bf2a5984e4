#ifndef PERSIMMONSTAIR_ROUTING_ORDER_ISSUER_HPP_
#define PERSIMMONSTAIR_ROUTING_ORDER_ISSUER_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::routing {

enum class OrderKind { kLoadModel, kLoadAdapter, kLoadVersion, kChangeRole };

/// @brief What an engine is told to do. Repeating an order has no further effect.
struct EngineOrder {
  std::uint64_t id = 0;
  base::TargetId target;
  OrderKind kind = OrderKind::kLoadModel;
  /// Model, adapter or role name.
  std::string name;
  std::string version;
};

/// @brief The order lease was read back from the log as ours.
struct LeaseGranted {
  /// Offset of the record that began this holder's uninterrupted tenure; the fencing number.
  base::Offset fencing_number;
  /// End of this lease on the own clock, counted from before the renewal was sent.
  base::TimePoint expires;
  /// End of the previous holder's lease plus margin on the own clock; in the past if there is none.
  base::TimePoint previous_lease_end;
};

/// @brief Another instance holds the lease, or it was given up.
struct LeaseLost {};

struct OrderRequested {
  EngineOrder order;
  /// Copied from the catalogue entry of the target.
  bool checks_fencing = false;
};

enum class OrderOutcome { kDone, kFailed, kStaleFencingNumber };

/// @brief The engine's response to an IssueOrder; kFailed includes no response.
struct OrderAnswered {
  std::uint64_t id = 0;
  base::Offset fencing_number;
  OrderOutcome outcome = OrderOutcome::kFailed;
};

struct OrderTick {};

using OrderEvent = std::variant<LeaseGranted, LeaseLost, OrderRequested, OrderAnswered, OrderTick>;

/// @brief Send an order now; the send must be abandoned after `timeout`.
struct IssueOrder {
  EngineOrder order;
  base::Offset fencing_number;
  base::Duration timeout{0};
};

/// @brief The order is over.
struct OrderSettled {
  std::uint64_t id = 0;
  base::Result<void> result;
};

using OrderDecision = std::variant<IssueOrder, OrderSettled>;

struct OrderSettings {
  base::Duration send_timeout{2'000'000};
  base::Duration retry_pause{500'000};
  std::uint32_t max_attempts = 5;
  std::size_t max_queued = 1000;
};

/// @brief Issues orders to engines under the order lease.
///
/// One order is outstanding for each engine, in the order of the requests. Every send ends before
/// the lease does. Engines that don't check the fencing number get nothing until the previous
/// holder's lease and margin have passed. An engine that reports a newer fencing number ends the
/// tenure: nothing more is sent until a LeaseGranted with a higher fence.
///
///     OrderIssuer issuer{OrderSettings{}};
///     for (const auto& it : issuer.Handle(now, LeaseGranted{...})) Execute(it);
class OrderIssuer {
 public:
  explicit OrderIssuer(OrderSettings settings) : settings_(settings) {}

  std::vector<OrderDecision> Handle(base::TimePoint now, const OrderEvent& event);

  std::size_t PendingOrders() const;
  bool HoldsLease(base::TimePoint now) const;

 private:
  struct PendingOrder {
    EngineOrder order;
    bool checks_fencing = false;
    bool outstanding = false;
    std::uint32_t attempts = 0;
    base::TimePoint not_before;
  };

  void On(const LeaseGranted& event, std::vector<OrderDecision>& out);
  void On(const LeaseLost& event, std::vector<OrderDecision>& out);
  void On(const OrderRequested& event, std::vector<OrderDecision>& out);
  void On(const OrderAnswered& event, std::vector<OrderDecision>& out);
  void On(const OrderTick& event, std::vector<OrderDecision>& out);
  void Send(std::vector<OrderDecision>& out);
  void StopIssuing();

  OrderSettings settings_;
  base::TimePoint now_;
  bool holds_lease_ = false;
  base::Offset fencing_number_;
  /// Highest fence that an engine reported as stale; a tenure up to it is over.
  base::Offset stale_fencing_number_;
  bool has_stale_number_ = false;
  base::TimePoint expires_;
  base::TimePoint previous_lease_end_;
  std::map<base::TargetId, std::deque<PendingOrder>> queues_;
  std::map<std::uint64_t, base::TargetId> target_by_order_;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_ROUTING_ORDER_ISSUER_HPP_
