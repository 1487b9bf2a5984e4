#ifndef PERSIMMONSTAIR_TURNS_TOKEN_LEDGER_HPP_
#define PERSIMMONSTAIR_TURNS_TOKEN_LEDGER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::turns {

/// @brief Tokens of a program's budget.
struct TokenUsage {
  /// Handed out by turns that ended.
  std::uint64_t settled = 0;
  /// The most that turns still under way may hand out.
  std::uint64_t outstanding = 0;

  std::uint64_t Total() const { return settled + outstanding; }
};

/// @brief Reservations of one partition of the store, as a function of its records in order.
///
/// A reservation is granted if it fits into the budget beside all records before it. Every reader
/// of the partition comes to the same result, so a program's turns at several instances can't
/// together exceed its budget.
///
///     TokenLedger ledger;
///     ledger.Apply(reservation_of_another_turn);
///     if (ledger.Fits(mine, budget)) ledger.Apply(mine);
class TokenLedger {
 public:
  /// Applies one record. A turn that is settled stays settled: a reservation that arrives later is
  /// the late copy of a lost append.
  void Apply(const schema::TokenReservation& record);

  TokenUsage Usage(const base::WorkspaceId& workspace, const base::ProgramId& program) const;

  /// True if the reservation fits into `budget` beside the program's other turns.
  bool Fits(const schema::TokenReservation& reservation, std::uint64_t budget) const;

  /// Drops the turns of programs all of whose records expired before `now_ms`.
  void Expire(std::int64_t now_ms);

  std::size_t Programs() const { return programs_.size(); }

 private:
  struct Turn {
    std::uint64_t tokens = 0;
    bool settled = false;
  };
  struct Program {
    std::unordered_map<base::TurnId, Turn> turns;
    TokenUsage usage;
    std::int64_t expires_ms = 0;
  };
  using Key = std::pair<base::WorkspaceId, base::ProgramId>;

  std::map<Key, Program> programs_;
};

}  // namespace persimmonstair::turns

#endif  // PERSIMMONSTAIR_TURNS_TOKEN_LEDGER_HPP_
