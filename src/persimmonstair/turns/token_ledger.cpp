#include "persimmonstair/turns/token_ledger.hpp"

#include <algorithm>

namespace persimmonstair::turns {

void TokenLedger::Apply(const schema::TokenReservation& record) {
  Program& program = programs_[{record.workspace, record.program}];
  program.expires_ms = std::max(program.expires_ms, record.expires_ms);
  Turn& turn = program.turns[record.turn];
  if (turn.settled) return;
  program.usage.outstanding -= turn.tokens;
  turn = {record.tokens, record.settled, record.expires_ms};
  (record.settled ? program.usage.settled : program.usage.outstanding) += record.tokens;
}

TokenUsage TokenLedger::Usage(const base::WorkspaceId& workspace,
                              const base::ProgramId& program) const {
  const auto it = programs_.find({workspace, program});
  return it == programs_.end() ? TokenUsage{} : it->second.usage;
}

TokenUsage TokenLedger::UsageBeside(const schema::TokenReservation& reservation) const {
  const auto it = programs_.find({reservation.workspace, reservation.program});
  if (it == programs_.end()) return {};
  TokenUsage usage = it->second.usage;
  const auto own = it->second.turns.find(reservation.turn);
  if (own == it->second.turns.end()) return usage;
  (own->second.settled ? usage.settled : usage.outstanding) -= own->second.tokens;
  return usage;
}

bool TokenLedger::Fits(const schema::TokenReservation& reservation, std::uint64_t budget) const {
  const std::uint64_t others = UsageBeside(reservation).Total();
  return others <= budget && reservation.tokens <= budget - others;
}

bool TokenLedger::IsSettled(const schema::TokenReservation& reservation) const {
  const auto it = programs_.find({reservation.workspace, reservation.program});
  if (it == programs_.end()) return false;
  const auto own = it->second.turns.find(reservation.turn);
  return own != it->second.turns.end() && own->second.settled;
}

std::vector<schema::TokenReservation> TokenLedger::Unsettled(const base::WorkspaceId& workspace,
                                                             const base::ProgramId& program) const {
  std::vector<schema::TokenReservation> unsettled;
  const auto it = programs_.find({workspace, program});
  if (it == programs_.end()) return unsettled;
  for (const auto& [turn, entry] : it->second.turns) {
    if (entry.settled) continue;
    unsettled.push_back({program, workspace, turn, entry.tokens, false, entry.expires_ms});
  }
  return unsettled;
}

void TokenLedger::Expire(std::int64_t now_ms) {
  std::erase_if(programs_, [now_ms](const auto& one) { return one.second.expires_ms < now_ms; });
}

}  // namespace persimmonstair::turns
