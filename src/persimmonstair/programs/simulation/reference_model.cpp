#include "reference_model.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace persimmonstair::programs::simulation {

using base::ProgramId;
using nlohmann::json;

std::string EngineAnswer(const json& messages) {
  const std::string text = messages.dump();
  const std::string content = "answer " + std::to_string(XXH64(text.data(), text.size(), 0));
  const json message{{"role", "assistant"}, {"content", content}};
  return json{{"choices", {{{"index", 0}, {"message", message}}}}}.dump();
}

json ReferenceModel::History(const ProgramId& program, std::size_t turns) const {
  json out = json::array();
  const auto it = programs_.find(program);
  for (std::size_t n = 0; it != programs_.end() && n < turns; ++n) {
    const Turn& turn = it->second[n];
    if (turn.failed) continue;
    for (const json& message : turn.messages) out.push_back(message);
    out.push_back(json::parse(turn.response)["choices"][0]["message"]);
  }
  return out;
}

std::string ReferenceModel::OnAnswer(const TurnAnswer& answer, const json& messages,
                                     std::set<std::size_t> holding_nodes) {
  auto& turns = programs_[answer.program];
  const std::string where = answer.program.value + " turn " + std::to_string(answer.turn);
  const bool failed = answer.verdict != base::Verdict::kRan;
  if (answer.turn == 0 || answer.turn > turns.size() + 1) return "answer out of order: " + where;
  const std::size_t at = answer.turn - 1;
  if (at < turns.size()) {
    const Turn& known = turns[at];
    if (known.response == answer.body && known.failed == failed) {
      turns[at].logged = known.logged || answer.durability == "log";
      return "";
    }
    if (!MayBeLost(known)) return "an acknowledged result changed: " + where;
    turns.resize(at);
  }
  json all = History(answer.program, at);
  for (const json& message : messages) all.push_back(message);
  if (!failed && answer.body != EngineAnswer(all)) {
    return "the answer does not follow from the program's history: " + where;
  }
  std::size_t& answered = answered_[answer.program];
  answered = std::max(answered, at + 1);
  turns.push_back(
      Turn{messages, answer.body, failed, std::move(holding_nodes), answer.durability == "log"});
  return "";
}

std::string ReferenceModel::OnRun(const RunTurn& run) const {
  const std::string where = run.program.value + " turn " + std::to_string(run.turn);
  const json messages = json::parse(run.body)["messages"];
  for (const json& message : messages) {
    const std::string text = message["content"];
    const bool foreign = message["role"] == "user" && !text.starts_with(run.program.value + ":");
    if (foreign) return "text of another program: " + where;
  }
  const std::size_t done = TurnCount(run.program);
  // A caller that had the answer to a lost turn may go on as soon as the turn is done again, before
  // that second result is acknowledged.
  const auto answered = answered_.find(run.program);
  if (run.turn > done + 1 && answered != answered_.end() && run.turn <= answered->second + 1) {
    return "";
  }
  if (run.turn > done + 1) return "a turn runs before the one ahead of it is done: " + where;
  if (run.turn <= done) {
    const Turn& known = programs_.at(run.program)[run.turn - 1];
    return MayBeLost(known) ? "" : "an acknowledged turn runs again: " + where;
  }
  const json history = History(run.program, done);
  const bool prefix = messages.size() > history.size() &&
                      std::equal(history.begin(), history.end(), messages.begin());
  return prefix ? "" : "the history is incomplete: " + where;
}

std::string ReferenceModel::OnLogged(const schema::TurnRecord& record) {
  const auto it = programs_.find(record.program);
  if (it == programs_.end() || record.turn > it->second.size()) return "";
  Turn& known = it->second[record.turn - 1];
  const bool same = known.response == record.response;
  if (!same && !MayBeLost(known)) {
    return "an acknowledged turn was replaced: " + record.program.value + " turn " +
           std::to_string(record.turn);
  }
  if (same) known.logged = true;
  if (!same) it->second.resize(record.turn - 1);
  return "";
}

void ReferenceModel::OnNodeUnavailable(std::size_t node) {
  for (auto& [program, turns] : programs_) {
    for (Turn& turn : turns) turn.holding_nodes.erase(node);
  }
}

void ReferenceModel::DropLostTurns(const ProgramId& program) {
  auto& turns = programs_[program];
  for (std::size_t n = 0; n < turns.size(); ++n) {
    if (MayBeLost(turns[n])) return turns.resize(n);
  }
}

std::size_t ReferenceModel::TurnCount(const ProgramId& program) const {
  const auto it = programs_.find(program);
  return it == programs_.end() ? 0 : it->second.size();
}

}  // namespace persimmonstair::programs::simulation
