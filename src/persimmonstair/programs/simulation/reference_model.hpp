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

/// @brief Returns the simulated engine's response, which depends only on the messages: a turn that
/// is run again gets the same response.
std::string EngineAnswer(const nlohmann::json& messages);

/// @brief Programs on one instance that never fails and runs one turn after the other. Answers that
/// callers get from the simulated instances are compared with it. OnAnswer(), OnRun() and
/// OnLogged() return a description of the violation, or an empty text.
class ReferenceModel {
 public:
  struct Turn {
    nlohmann::json messages;
    std::string response;
    bool failed = false;
    /// Available nodes with the result. If there are none, a turn that is not logged may be lost.
    std::set<std::size_t> holding_nodes;
    bool logged = false;
  };

  /// Checks an answer that a caller got.
  std::string OnAnswer(const TurnAnswer& answer, const nlohmann::json& messages,
                       std::set<std::size_t> holding_nodes);
  /// Checks a turn that an engine is asked to run.
  std::string OnRun(const RunTurn& run) const;
  /// Checks a valid turn record that was appended to the log.
  std::string OnLogged(const schema::TurnRecord& record);
  /// Removes a node that stopped, is paused or cannot read the log from `holding_nodes`.
  void OnNodeUnavailable(std::size_t node);

  /// Removes the first turn that may be lost and all turns after it.
  void DropLostTurns(const base::ProgramId& program);

  /// Number of turns whose answer a caller got, without lost turns that were removed.
  std::size_t TurnCount(const base::ProgramId& program) const;

 private:
  nlohmann::json History(const base::ProgramId& program, std::size_t turns) const;
  static bool MayBeLost(const Turn& turn) { return !turn.logged && turn.holding_nodes.empty(); }

  std::map<base::ProgramId, std::vector<Turn>> programs_;
  /// Highest turn number with an answer to the program's caller, including lost turns.
  std::map<base::ProgramId, std::size_t> answered_;
};

}  // namespace persimmonstair::programs::simulation

#endif  // PERSIMMONSTAIR_PROGRAMS_SIMULATION_REFERENCE_MODEL_HPP_
