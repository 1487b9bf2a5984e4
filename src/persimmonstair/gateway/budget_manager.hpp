#ifndef PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_MANAGER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_MANAGER_HPP_

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "clock.hpp"
#include "partitions.hpp"
#include "persimmonstair/schema/state.hpp"
#include "persimmonstair/turns/token_ledger.hpp"
#include "retrying_record_store.hpp"

namespace persimmonstair::gateway {

enum class ReservationResult {
  kGranted,
  /// The budget is spent.
  kBudgetExhausted,
  /// The store did not take the reservation in time.
  kStoreUnavailable,
};

/// @brief Reserves tokens of programs' budgets in the store before they are handed out.
///
/// All instances see the reservations of a program in the order of the store's log, and each grants
/// only what fits beside those before it.
class BudgetManager {
 public:
  /// Time for which a program's reservations are kept after its last one; a program that was
  /// stopped may come back within the retention of its turns.
  static constexpr std::int64_t kReservationRetentionMs = 180'000;

  BudgetManager(const boost::asio::any_io_executor& executor, RetryingRecordStore& store,
                Partitioning budgets)
      : executor_(executor), store_(store), partitions_(std::move(budgets)) {}

  /// Reserves `reservation.tokens`, the most that the turn may hand out.
  boost::asio::awaitable<ReservationResult> Reserve(schema::TokenReservation reservation,
                                                    std::uint64_t budget, base::TimePoint deadline);

  /// The turn ended and handed out `tokens`.
  void Settle(schema::TokenReservation reservation, std::uint64_t tokens);

  /// Writes what is settled but not yet written; for a planned stop.
  boost::asio::awaitable<void> Flush(base::TimePoint deadline);

  /// Drops expired records; never returns.
  boost::asio::awaitable<void> DropExpired();

 private:
  struct QueuedReservation {
    explicit QueuedReservation(const boost::asio::any_io_executor& executor) : done(executor) {}
    schema::TokenReservation reservation;
    std::uint64_t budget = 0;
    base::TimePoint deadline;
    ReservationResult reservation_result = ReservationResult::kStoreUnavailable;
    OneShotEvent done;
  };
  using QueuedReservationPtr = std::shared_ptr<QueuedReservation>;
  struct State {
    turns::TokenLedger ledger;
    /// Records before this offset are in the ledger.
    base::Offset next;
    bool loaded = false;
    bool running = false;
    std::deque<QueuedReservationPtr> queued;
    /// Ended turns, to be written with the next reservation or after a while.
    std::vector<schema::TokenReservation> settled;
    base::TimePoint settled_since;
  };

  /// Appends what waits, until nothing does.
  boost::asio::awaitable<void> Run(Partition partition);
  boost::asio::awaitable<bool> Load(const Partition& partition, State& state,
                                    base::TimePoint deadline);
  /// Applies the records of others up to `end`.
  boost::asio::awaitable<bool> CatchUp(const Partition& partition, State& state, base::Offset end,
                                       base::TimePoint deadline);
  boost::asio::awaitable<void> AppendQueued(const Partition& partition, State& state,
                                            std::vector<QueuedReservationPtr>& batch);
  void Apply(State& state, const KeyedRecord& record);
  /// Drops records that this instance wrote and that expired before `now_ms`.
  boost::asio::awaitable<void> DropOwnExpired(std::int64_t now_ms);
  void Start(const Partition& partition, State& state);

  boost::asio::any_io_executor executor_;
  RetryingRecordStore& store_;
  Partitioning partitions_;
  std::map<Partition, State> states_;
  std::deque<std::pair<std::int64_t, std::pair<Partition, std::string>>> own_records_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_MANAGER_HPP_
