#ifndef PERSIMMONSTAIR_TURNS_TOKEN_LEDGER_HPP_
#define PERSIMMONSTAIR_TURNS_TOKEN_LEDGER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::turns {

/// @brief Usage of a program's budget of model output tokens.
struct TokenUsage {
  /// Tokens that ended turns delivered.
  std::uint64_t settled = 0;
  /// Maximum number of tokens that running turns may deliver.
  std::uint64_t outstanding = 0;

  std::uint64_t Total() const { return settled + outstanding; }
};

/// @brief Token reservations of one partition of the store, computed from its records in order.
///
/// A turn reserves its maximum number of tokens when it starts. When it ends, a settled record
/// replaces the reservation by the number of tokens that it delivered.
///
/// A reservation is granted if it fits into the budget together with all earlier records. Every
/// reader of the partition computes the same result, so a program's turns at several instances
/// can't exceed its budget together.
///
///     TokenLedger ledger;
///     ledger.Apply(reservation_of_another_turn);
///     if (ledger.Fits(mine, budget)) ledger.Apply(mine);
class TokenLedger {
 public:
  /// Applies one record. A settled turn stays settled; a reservation of it that follows in the log
  /// is a late copy of a repeated append and is ignored.
  void Apply(const schema::TokenReservation& record);

  TokenUsage Usage(const base::WorkspaceId& workspace, const base::ProgramId& program) const;

  /// Usage by the program's turns other than that of the reservation.
  TokenUsage UsageBeside(const schema::TokenReservation& reservation) const;

  /// True if the reservation fits into `budget` together with the program's other turns.
  bool Fits(const schema::TokenReservation& reservation, std::uint64_t budget) const;

  /// True if the turn of the reservation is settled, so that it returns no more tokens.
  bool IsSettled(const schema::TokenReservation& reservation) const;

  /// Returns the program's reservations that aren't settled.
  std::vector<schema::TokenReservation> Unsettled(const base::WorkspaceId& workspace,
                                                  const base::ProgramId& program) const;

  /// Removes programs all of whose records expired before `now_ms` (Unix milliseconds).
  void Expire(std::int64_t now_ms);

  /// Number of programs with records that have not been removed.
  std::size_t ProgramCount() const { return programs_.size(); }

 private:
  struct Turn {
    std::uint64_t tokens = 0;
    bool settled = false;
    /// In Unix milliseconds.
    std::int64_t expires_ms = 0;
  };
  struct Program {
    std::unordered_map<base::TurnId, Turn> turns;
    TokenUsage usage;
    /// Latest expiry of the program's records, in Unix milliseconds.
    std::int64_t expires_ms = 0;
  };
  using Key = std::pair<base::WorkspaceId, base::ProgramId>;

  std::map<Key, Program> programs_;
};

}  // namespace persimmonstair::turns

#endif  // PERSIMMONSTAIR_TURNS_TOKEN_LEDGER_HPP_
