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

/// @brief A command for an engine. Orders are idempotent: a repeated one has no further effect.
struct EngineOrder {
  std::uint64_t id = 0;
  base::TargetId target;
  OrderKind kind = OrderKind::kLoadModel;
  /// Model, adapter or role name.
  std::string name;
  std::string version;
};

/// @brief The log confirms that this instance holds the order lease.
struct LeaseGranted {
  /// Offset of the log record since which this instance has held the lease without interruption. It
  /// is sent with each order, so that engines can refuse orders of an earlier holder.
  base::Offset fencing_number;
  /// End of this lease on the local clock, counted from a time before the renewal was sent.
  base::TimePoint expires;
  /// End of the previous holder's lease plus a margin, on the local clock; in the past if there was
  /// no previous holder.
  base::TimePoint previous_lease_end;
};

/// @brief Another instance holds the lease, or this instance gave it up.
struct LeaseLost {};

struct OrderRequested {
  EngineOrder order;
  /// Copied from the catalogue entry of the target.
  bool checks_fencing = false;
};

enum class OrderOutcome { kDone, kFailed, kStaleFencingNumber };

/// @brief The engine's response to an IssueOrder. kFailed also stands for a missing response.
struct OrderAnswered {
  std::uint64_t id = 0;
  base::Offset fencing_number;
  OrderOutcome outcome = OrderOutcome::kFailed;
};

struct OrderTick {};

using OrderEvent = std::variant<LeaseGranted, LeaseLost, OrderRequested, OrderAnswered, OrderTick>;

/// @brief Sends an order. The send must be abandoned after `timeout`.
struct IssueOrder {
  EngineOrder order;
  base::Offset fencing_number;
  base::Duration timeout{0};
};

/// @brief Final result of an order.
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

/// @brief Issues orders to engines while this instance holds the order lease.
///
/// Each engine has at most one outstanding order and gets its orders in the order of the requests.
/// A send starts only if its timeout ends before the lease. Engines that don't check the fencing
/// number get no orders until the previous holder's lease and the margin have ended. When an engine
/// answers that it knows a newer fencing number, all pending orders fail and nothing more is sent
/// until a LeaseGranted with a higher fencing number.
///
///     OrderIssuer issuer{OrderSettings{}};
///     for (const auto& it : issuer.Handle(now, LeaseGranted{...})) Execute(it);
class OrderIssuer {
 public:
  explicit OrderIssuer(OrderSettings settings) : settings_(settings) {}

  std::vector<OrderDecision> Handle(base::TimePoint now, const OrderEvent& event);

  /// Number of orders that have no final result yet.
  std::size_t PendingOrders() const;
  bool HoldsLease(base::TimePoint now) const;

 private:
  struct PendingOrder {
    EngineOrder order;
    bool checks_fencing = false;
    bool outstanding = false;
    std::uint32_t attempts = 0;
    /// Earliest time of the next attempt.
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
  /// Highest fencing number that an engine refused as stale. LeaseGranted events up to this number
  /// are ignored.
  base::Offset stale_fencing_number_;
  bool has_stale_number_ = false;
  base::TimePoint expires_;
  base::TimePoint previous_lease_end_;
  std::map<base::TargetId, std::deque<PendingOrder>> queues_;
  std::map<std::uint64_t, base::TargetId> target_by_order_;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_ROUTING_ORDER_ISSUER_HPP_
