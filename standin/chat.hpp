#ifndef PERSIMMONSTAIR_STANDIN_CHAT_HPP_
#define PERSIMMONSTAIR_STANDIN_CHAT_HPP_

#include <cstdint>
#include <string>

#include "persimmonstair/base/error.hpp"
#include "standin/exchange.hpp"

namespace persimmonstair::standin {

/// @brief A chat completion request as the stand-in understands it.
struct ChatRequest {
  std::string model;
  /// Contents of all messages, one after the other.
  std::string prompt;
  /// 0 if not stated.
  std::int64_t max_tokens = 0;
  bool stream = false;
};

struct ChatUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
};

/// @brief kInvalidRequest names the member that is missing or wrong.
base::Result<ChatRequest> ParseChat(const std::string& body);

/// @brief The answer to a prompt: "answer <hash of the prompt>" and filler words, four bytes for
/// each token. Equal prompts get equal answers, others differ.
std::string MakeCompletion(const std::string& prompt, std::int64_t tokens);

/// @brief "chatcmpl-<hash>", equal for equal prompts.
std::string CompletionId(const std::string& prompt);

Json CompletionJson(const ChatRequest& request, const std::string& text, const ChatUsage& usage);
/// @brief A server-sent event with a part of the answer.
std::string DeltaEvent(const ChatRequest& request, const std::string& text);
/// @brief The last event before [DONE]: finish reason and usage.
std::string FinalEvent(const ChatRequest& request, const ChatUsage& usage);

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_CHAT_HPP_
