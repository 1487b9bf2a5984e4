#include "state_json.hpp"

namespace persimmonstair::programs {
namespace {

void to_json(nlohmann::json& json, const RecordedTurn& value) {
  json = nlohmann::json{{"fingerprint", value.fingerprint},
                        {"request", value.request},
                        {"response", value.response},
                        {"status", value.status},
                        {"verdict", std::string(base::ToString(value.verdict))},
                        {"charged_tokens", value.charged_tokens},
                        {"context_tokens", value.context_tokens}};
}

void from_json(const nlohmann::json& json, RecordedTurn& value) {
  json.at("fingerprint").get_to(value.fingerprint);
  json.at("request").get_to(value.request);
  json.at("response").get_to(value.response);
  json.at("status").get_to(value.status);
  value.verdict = base::ParseVerdict(json.at("verdict").get<std::string>())
                      .value_or(base::Verdict::kMayHaveRun);
  json.at("charged_tokens").get_to(value.charged_tokens);
  json.at("context_tokens").get_to(value.context_tokens);
}

}  // namespace

void to_json(nlohmann::json& json, const ProgramEntry& value) {
  json = nlohmann::json{{"workspace", value.workspace},
                        {"root", value.root},
                        {"model", value.model},
                        {"target", value.target},
                        {"chain", value.chain},
                        {"snapshot", value.snapshot},
                        {"last_turn", value.last_turn},
                        {"takeovers", value.takeovers},
                        {"charged_tokens", value.charged_tokens}};
}

void from_json(const nlohmann::json& json, ProgramEntry& value) {
  json.at("workspace").get_to(value.workspace);
  json.at("root").get_to(value.root);
  json.at("model").get_to(value.model);
  json.at("target").get_to(value.target);
  json.at("chain").get_to(value.chain);
  json.at("snapshot").get_to(value.snapshot);
  json.at("last_turn").get_to(value.last_turn);
  json.at("takeovers").get_to(value.takeovers);
  json.at("charged_tokens").get_to(value.charged_tokens);
}

void to_json(nlohmann::json& json, const ProgramTree& value) {
  json = nlohmann::json{{"owner", value.owner},
                        {"incarnation", value.incarnation},
                        {"epoch", value.epoch},
                        {"previous", value.previous},
                        {"budget_tokens", value.budget_tokens},
                        {"closed_tokens", value.closed_tokens},
                        {"known", value.known},
                        {"members", value.members}};
}

void from_json(const nlohmann::json& json, ProgramTree& value) {
  json.at("owner").get_to(value.owner);
  json.at("incarnation").get_to(value.incarnation);
  json.at("epoch").get_to(value.epoch);
  json.at("previous").get_to(value.previous);
  json.at("budget_tokens").get_to(value.budget_tokens);
  json.at("closed_tokens").get_to(value.closed_tokens);
  json.at("known").get_to(value.known);
  json.at("members").get_to(value.members);
}

void to_json(nlohmann::json& json, const ProgramState& value) {
  json = nlohmann::json{{"entry", value.entry}, {"family", value.tree}, {"pending", value.pending}};
  json["turns"] = nlohmann::json::array();
  for (const RecordedTurn& turn : value.turns) {
    nlohmann::json one;
    to_json(one, turn);
    json["turns"].push_back(std::move(one));
  }
}

void from_json(const nlohmann::json& json, ProgramState& value) {
  json.at("entry").get_to(value.entry);
  json.at("family").get_to(value.tree);
  // The members are those programs whose records were read, not those the writer knew.
  value.tree.members.clear();
  value.tree.known = true;
  for (const auto& one : json.at("turns")) from_json(one, value.turns.emplace_back());
  json.at("pending").get_to(value.pending);
}

RecordedTurn FromRecord(const schema::TurnRecord& record) {
  return {record.fingerprint,
          record.request,
          record.response,
          record.status,
          base::ParseVerdict(record.verdict).value_or(base::Verdict::kMayHaveRun),
          record.charged_tokens,
          record.context_tokens};
}

std::string DumpState(const ProgramState& state) {
  return nlohmann::json(state).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ProgramState> ParseState(std::string_view text) {
  try {
    return nlohmann::json::parse(text).get<ProgramState>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace persimmonstair::programs
