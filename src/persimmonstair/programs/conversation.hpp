#ifndef PERSIMMONSTAIR_PROGRAMS_CONVERSATION_HPP_
#define PERSIMMONSTAIR_PROGRAMS_CONVERSATION_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "state_json.hpp"

namespace persimmonstair::programs {

/// @brief A turn ready for an engine.
struct PreparedTurn {
  /// New messages, as the text of a JSON array.
  std::string request;
  /// Chat completion body with history, new messages and max_tokens.
  std::string body;
  std::int64_t max_tokens = 0;
  /// Upper bound on prompt and completion tokens.
  std::int64_t cost_bound = 0;
  bool stream = false;
};

/// @brief Joins the recorded history and a caller's chat completion body.
///
/// A body that contains a message of the role "assistant" is a whole conversation: it must begin
/// with the recorded messages, else the error is kConflict. Any other body holds new messages only.
/// The bound counts one token for each byte of new text, which no byte-level tokenizer exceeds.
base::Result<PreparedTurn> PrepareTurn(const std::vector<RecordedTurn>& history,
                                       std::string_view body, std::int64_t default_max_tokens);

/// @brief Recorded messages as a JSON array.
nlohmann::json HistoryMessages(const std::vector<RecordedTurn>& history);

/// @brief xxHash64 of a request body.
std::uint64_t FingerprintBody(std::string_view body);

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_CONVERSATION_HPP_
