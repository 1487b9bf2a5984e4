#ifndef PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_MANAGER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_MANAGER_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clock.hpp"
#include "persimmonstair/schema/state.hpp"
#include "persimmonstair/turns/stream_take_ups.hpp"
#include "persimmonstair/turns/stream_versions.hpp"
#include "persimmonstair/turns/token_ledger.hpp"
#include "store_access/partitions.hpp"
#include "store_access/record_expiry.hpp"
#include "store_access/retrying_record_store.hpp"

namespace persimmonstair::gateway {

/// @brief Result of a reservation of tokens.
enum class ReservationResult {
  kGranted,
  /// The reservation doesn't fit into the program's budget.
  kBudgetExhausted,
  /// The store did not acknowledge the reservation before the deadline.
  kStoreUnavailable,
};

/// @brief What a turn needs from the store before it is sent to a target.
struct ReservationRequest {
  /// Tokens to reserve. Its ids name the turn even if there is no budget.
  schema::TokenReservation tokens;
  /// Tokens that all turns of the program may deliver; empty to reserve none.
  std::optional<std::uint64_t> budget;
  /// Software version at which the turn's stream begins, to be recorded; empty to record none.
  std::optional<schema::StreamBegin> begin;
  /// Attempt whose stream the turn takes up; empty if it takes up none.
  base::TurnId resumed_attempt;
  /// The take-up of a kept turn's stream, to be recorded; empty to record none.
  std::optional<schema::StreamTakeUp> take_up;
};

/// @brief How a reservation ended, and the usage of the budget that decided it.
struct ReservationOutcome {
  ReservationResult result = ReservationResult::kStoreUnavailable;
  /// Usage beside the reservation; zero if the store did not acknowledge it.
  turns::TokenUsage usage;
  /// True if the reservation is granted, but the turn may return no more tokens than `usage` leaves
  /// of the budget.
  bool reduced = false;
  /// The reservation to settle when the turn ends.
  schema::TokenReservation reservation;
  /// Software version at which the resumed attempt's stream began; empty if unknown.
  base::SoftwareVersion resumed_version;
  /// Place of the recorded take-up among the attempts that take up the stream.
  turns::TakeUpOrder take_up;
};

/// @brief Reserves tokens of programs' budgets in the store before they are returned to callers,
/// and records there at which software version a stream begins, and in which order the attempts of
/// a caller take up the stream of a kept turn.
///
/// The version or the take-up is written with the reservation, so that it costs no append of its
/// own.
///
/// Expired records are deleted by their writer. Those of a writer that is gone are deleted by the
/// instance that appends to the partition.
///
/// Reservations of a partition that arrive within the append interval are written together. All
/// instances read the reservations of a program in the order of the store's log. A reservation
/// is granted only if it fits into the budget together with all earlier ones.
class BudgetManager {
 public:
  /// Time for which a program's reservations are kept after its last one. A stopped program may
  /// resume within the retention time of its turns.
  static constexpr std::int64_t kReservationRetentionMs = 180'000;

  /// Interval at which the deletion of expired records begins.
  static constexpr std::chrono::seconds kDropInterval{5};

  /// Writes to each partition at most once in `append_interval`.
  BudgetManager(const boost::asio::any_io_executor& executor,
                store_access::RetryingRecordStore& store, store_access::Partitioning budgets,
                base::Duration append_interval, base::Duration drop_interval = kDropInterval)
      : executor_(executor),
        store_(store),
        partitions_(std::move(budgets)),
        append_interval_(append_interval),
        drop_interval_(drop_interval) {}

  /// Returns the partition that holds the program's reservations.
  Partition PartitionOf(const base::ProgramId& program) const {
    return partitions_.PartitionOf(program.value);
  }

  /// Reserves the maximum number of tokens that the turn may return and records its version.
  /// `request` is copied before the first suspension.
  boost::asio::awaitable<ReservationOutcome> Reserve(const ReservationRequest& request,
                                                     base::TimePoint deadline);

  /// Records that the turn ended after it returned `tokens`. The record is written later, that of a
  /// turn that returned none with the next append; `written` is called once the store has
  /// acknowledged it.
  void Settle(schema::TokenReservation reservation, std::uint64_t tokens,
              std::function<void()> written = nullptr);

  /// Returns the settlements of those of the reservations that were stored elsewhere, before the
  /// budget's partition holds them; fails if that can't be found out before the deadline.
  using FindSettlements =
      std::function<boost::asio::awaitable<base::Result<std::vector<schema::TokenReservation>>>(
          std::vector<schema::TokenReservation> unsettled, base::TimePoint deadline)>;
  /// Sets the function that is asked before a reservation is denied because of others that may
  /// belong to lost instances, and the one that returns how long a turn lasts at most.
  void SetSettlements(FindSettlements find, std::function<base::Duration()> longest_turn);

  /// Writes all pending settlements; used by a planned stop.
  boost::asio::awaitable<void> Flush(base::TimePoint deadline);

  /// Writes overdue settlements and deletes expired records; never returns.
  boost::asio::awaitable<void> DropExpired();

 private:
  /// A reservation that is not yet written.
  struct QueuedReservation {
    explicit QueuedReservation(const boost::asio::any_io_executor& executor) : done(executor) {}
    ReservationRequest request;
    base::TimePoint deadline;
    ReservationOutcome outcome;
    /// Offset of the record of its take-up.
    base::Offset take_up_offset;
    /// Reservations because of which it doesn't fit, of instances that may be gone.
    std::vector<schema::TokenReservation> maybe_lost;
    /// True once nobody waits for the outcome.
    bool abandoned = false;
    OneShotEvent done;
  };
  using QueuedReservationPtr = std::shared_ptr<QueuedReservation>;
  /// A settled reservation that is not yet written.
  struct QueuedSettlement {
    schema::TokenReservation reservation;
    std::function<void()> written;
  };
  /// State of one partition.
  struct State {
    turns::TokenLedger ledger;
    turns::StreamVersions versions;
    turns::StreamTakeUps take_ups;
    /// Records before this offset are in the ledger.
    base::Offset next;
    bool loaded = false;
    bool running = false;
    std::deque<QueuedReservationPtr> queued;
    /// Reservations whose settlements were looked for elsewhere, by key, and when.
    std::map<std::string, base::TimePoint> searched_at;
    /// Reservations that are decided again, in the order of the partition.
    std::deque<QueuedReservationPtr> reconsidered;
    /// Settled reservations to write, with the next reservation or after kSettleDelay.
    std::vector<QueuedSettlement> settled;
    base::TimePoint settled_since;
    /// Time from which the next append may be sent.
    base::TimePoint next_append_at;
    store_access::RecordExpiry expiry;
    /// Time at which the state held all records of the partition.
    base::TimePoint current_at;
    /// Time of the last append that was not made for deletions alone.
    base::TimePoint appended_at;
    /// True if there are expired records to delete.
    bool dropping = false;
  };

  /// Takes as many of the queued reservations, or of the settlements, as fit into one append.
  static std::vector<QueuedReservationPtr> TakeBatch(State& state);
  static std::vector<QueuedSettlement> TakeSettled(State& state);
  /// Appends queued reservations and settlements until there are none.
  boost::asio::awaitable<void> Run(Partition partition);
  boost::asio::awaitable<bool> Load(const Partition& partition, State& state,
                                    base::TimePoint deadline);
  /// Reads and applies records up to `end`, including those of other instances.
  boost::asio::awaitable<bool> CatchUp(const Partition& partition, State& state, base::Offset end,
                                       base::TimePoint deadline);
  /// Reads and applies all records up to the end of the partition.
  boost::asio::awaitable<bool> ReadToEnd(const Partition& partition, State& state,
                                         base::TimePoint deadline);
  boost::asio::awaitable<void> AppendQueued(const Partition& partition, State& state,
                                            std::vector<QueuedReservationPtr>& batch);
  /// Appends the settlements of a partition that is not loaded. They need none of its records.
  boost::asio::awaitable<void> AppendSettled(const Partition& partition, State& state);
  /// Has settlements that could not be written tried again later.
  static void PutBack(State& state, std::vector<QueuedSettlement> settled);
  /// Decides a reservation that is in the store, as are all records before it.
  void Decide(State& state, QueuedReservation& queued);
  /// Returns the fewest tokens with which a turn may begin that may return `most`: more than half.
  /// Most turns return far less than they reserve, and one that needs more is broken off.
  static std::uint64_t LeastTokens(std::uint64_t most);
  /// Returns the program's other reservations that aren't settled, and whose instances may be gone:
  /// those that other instances wrote, and those that this one wrote for turns that must have
  /// ended.
  std::vector<schema::TokenReservation> MaybeLost(const State& state,
                                                  const schema::TokenReservation& tokens) const;
  /// True if some of them must have ended, so that their instances are gone.
  bool HasLost(const State& state, const schema::TokenReservation& tokens) const;
  /// True if the reservation is older than any turn lasts.
  bool MustHaveEnded(const schema::TokenReservation& reservation) const;
  /// Time after which a reservation of an instance that is there is settled.
  base::Duration LongestTurn() const;
  /// Has those of the batch decided again that aren't decided.
  void StartReconsidering(const Partition& partition, State& state,
                          const std::vector<QueuedReservationPtr>& batch);
  /// Decides a reservation again that doesn't fit beside lost ones, after the settlements that
  /// were stored elsewhere.
  boost::asio::awaitable<void> Reconsider(Partition partition, QueuedReservationPtr queued);
  /// Settles those of the reservations whose settlements were stored elsewhere. False if the store
  /// can't be read.
  boost::asio::awaitable<bool> SettleLost(Partition partition,
                                          std::vector<schema::TokenReservation> maybe_lost,
                                          base::TimePoint deadline);
  /// Grants a reservation that fits now, or that has to do with what lost turns leave.
  void DecideAgain(const State& state, QueuedReservation& queued) const;
  /// Tokens of the same program's reservations that follow this one and aren't decided yet.
  static std::uint64_t UndecidedAfter(const State& state, const QueuedReservation& queued);
  void Apply(State& state, const StoredRecord& stored);
  /// Encodes a record that is about to be written and notes its expiry.
  template <class Record>
  static KeyedRecord Track(State& state, const Record& record);
  /// Returns the keys of expired records to delete with the next append. Reads the newest records
  /// first if another instance may have written later ones of the same programs.
  boost::asio::awaitable<std::vector<std::string>> DueDrops(const Partition& partition,
                                                            State& state, base::TimePoint deadline);
  /// Time before which records must have expired to be deleted by this instance.
  store_access::RecordExpiry::DueTimes DueBefore(const State& state) const;
  /// Settles a reservation with the next append of the partition, or after kSettleDelay.
  void QueueSettlement(schema::TokenReservation reservation, std::uint64_t tokens,
                       std::function<void()> written = nullptr);
  /// Starts the deletion of expired records.
  void DropExpired(const Partition& partition, State& state);
  void Start(const Partition& partition, State& state);

  boost::asio::any_io_executor executor_;
  store_access::RetryingRecordStore& store_;
  store_access::Partitioning partitions_;
  base::Duration append_interval_;
  base::Duration drop_interval_;
  FindSettlements find_settlements_;
  std::function<base::Duration()> longest_turn_;
  std::map<Partition, State> states_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_MANAGER_HPP_
