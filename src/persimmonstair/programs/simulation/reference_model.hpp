#ifndef PERSIMMONSTAIR_PROGRAMS_SIMULATION_REFERENCE_MODEL_HPP_
#define PERSIMMONSTAIR_PROGRAMS_SIMULATION_REFERENCE_MODEL_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "persimmonstair/programs/program_actions.hpp"

namespace persimmonstair::programs::simulation {

/// @brief What an engine answers: a function of the messages alone, so that a turn that is run
/// again gives the same text.
std::string EngineAnswer(const nlohmann::json& messages);

/// @brief Programs on one instance that never fails: plain containers, one turn after the other.
/// Answers that callers got from the real instances are compared with it.
class ReferenceModel {
 public:
  struct Turn {
    nlohmann::json messages;
    std::string response;
    bool failed = false;
    /// Nodes whose death or absence may still lose the turn; empty with `logged` false: lost.
    std::set<std::size_t> holding_nodes;
    bool logged = false;
  };

  /// An answer that a caller got. Returns the broken rule, or an empty text.
  std::string OnAnswer(const TurnAnswer& answer, const nlohmann::json& messages,
                       std::set<std::size_t> holding_nodes);
  /// A turn that an engine is asked to run.
  std::string OnRun(const RunTurn& run) const;
  /// A turn that became valid in the log.
  std::string OnLogged(const schema::TurnRecord& record);
  /// A node that died, was paused or cannot read the log carries nothing any more.
  void OnNodeUnavailable(std::size_t node);

  /// Forgets turns from the first that may be lost.
  void DropLostTurns(const base::ProgramId& program);

  std::size_t TurnCount(const base::ProgramId& program) const;

 private:
  nlohmann::json History(const base::ProgramId& program, std::size_t turns) const;
  static bool MayBeLost(const Turn& turn) { return !turn.logged && turn.holding_nodes.empty(); }

  std::map<base::ProgramId, std::vector<Turn>> programs_;
  /// Most turns that a program's caller ever had answers to, lost ones among them.
  std::map<base::ProgramId, std::size_t> answered_;
};

}  // namespace persimmonstair::programs::simulation

#endif  // PERSIMMONSTAIR_PROGRAMS_SIMULATION_REFERENCE_MODEL_HPP_
