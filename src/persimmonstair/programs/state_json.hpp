#ifndef PERSIMMONSTAIR_PROGRAMS_STATE_JSON_HPP_
#define PERSIMMONSTAIR_PROGRAMS_STATE_JSON_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/verdict.hpp"
#include "persimmonstair/programs/program_index.hpp"
#include "persimmonstair/schema/records.hpp"

namespace persimmonstair::programs {

/// @brief A finished turn in the history of a program.
struct RecordedTurn {
  std::uint64_t fingerprint = 0;
  /// New messages of the turn, as the text of a JSON array; "[]" if the turn failed.
  std::string request;
  /// Response body; a chat completion object if the turn succeeded.
  std::string response;
  std::uint32_t status = 0;
  base::Verdict verdict = base::Verdict::kRan;
  std::int64_t charged_tokens = 0;
  std::int64_t context_tokens = 0;
};

/// @brief State of one program that a new owner needs. A ProgramSnapshot and a handover contain it
/// as JSON.
struct ProgramState {
  ProgramEntry entry;
  ProgramTree tree;
  std::vector<RecordedTurn> turns;
  /// Turns after `turns` that are not in the log yet, oldest first. Empty except in a handover.
  std::vector<schema::TurnRecord> pending;
};

void to_json(nlohmann::json& json, const ProgramEntry& value);
void from_json(const nlohmann::json& json, ProgramEntry& value);
void to_json(nlohmann::json& json, const ProgramTree& value);
void from_json(const nlohmann::json& json, ProgramTree& value);
void to_json(nlohmann::json& json, const ProgramState& value);
void from_json(const nlohmann::json& json, ProgramState& value);

/// @brief Converts a turn record to an entry of the history.
RecordedTurn FromRecord(const schema::TurnRecord& record);

std::string DumpState(const ProgramState& state);
/// @brief Returns std::nullopt if the text is malformed.
std::optional<ProgramState> ParseState(std::string_view text);

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_STATE_JSON_HPP_
