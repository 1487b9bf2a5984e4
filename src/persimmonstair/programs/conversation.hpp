#ifndef PERSIMMONSTAIR_PROGRAMS_CONVERSATION_HPP_
#define PERSIMMONSTAIR_PROGRAMS_CONVERSATION_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "state_json.hpp"

namespace persimmonstair::programs {

/// @brief A turn's new messages, its request body for the engine and the upper bound on its cost.
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

/// @brief Combines the recorded history with a caller's chat completion body.
///
/// A body that contains a message with the role "assistant" is a whole conversation. It must begin
/// with the recorded messages; otherwise the error is kConflict. Any other body contains only new
/// messages. Malformed bodies and content other than text are refused with kInvalidRequest.
/// `default_max_tokens` applies if the body contains no limit on completion tokens; if it is 0, a
/// built-in limit of 1024 applies.
/// `cost_bound` counts one token for each byte of new text, because no byte-level tokenizer
/// produces more.
base::Result<PreparedTurn> PrepareTurn(const std::vector<RecordedTurn>& history,
                                       std::string_view body, std::int64_t default_max_tokens);

/// @brief Recorded messages as a JSON array.
nlohmann::json HistoryMessages(const std::vector<RecordedTurn>& history);

/// @brief xxHash64 of a request body, to recognise a turn number that is reused with another body.
std::uint64_t FingerprintBody(std::string_view body);

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_CONVERSATION_HPP_
