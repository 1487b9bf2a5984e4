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

/// @brief A turn as the history keeps it.
struct RecordedTurn {
  std::uint64_t fingerprint = 0;
  /// Messages the turn added, as the text of a JSON array.
  std::string request;
  /// Answer body; a chat completion object if the turn succeeded.
  std::string response;
  std::uint32_t status = 0;
  base::Verdict verdict = base::Verdict::kRan;
  std::int64_t charged_tokens = 0;
  std::int64_t context_tokens = 0;
};

/// @brief Everything a new owner needs of one program: the text of a ProgramSnapshot.
struct ProgramState {
  ProgramEntry entry;
  ProgramTree tree;
  std::vector<RecordedTurn> turns;
  /// Turns that are not in the log yet, oldest first; they follow `turns`. Only in a handover.
  std::vector<schema::TurnRecord> pending;
};

void to_json(nlohmann::json& json, const ProgramEntry& value);
void from_json(const nlohmann::json& json, ProgramEntry& value);
void to_json(nlohmann::json& json, const ProgramTree& value);
void from_json(const nlohmann::json& json, ProgramTree& value);
void to_json(nlohmann::json& json, const ProgramState& value);
void from_json(const nlohmann::json& json, ProgramState& value);

/// @brief The history's form of a turn record.
RecordedTurn FromRecord(const schema::TurnRecord& record);

std::string DumpState(const ProgramState& state);
/// @brief Empty if the text is malformed.
std::optional<ProgramState> ParseState(std::string_view text);

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_STATE_JSON_HPP_
