#ifndef PERSIMMONSTAIR_STANDIN_CHAT_HPP_
#define PERSIMMONSTAIR_STANDIN_CHAT_HPP_

#include <cstdint>
#include <string>

#include "persimmonstair/base/error.hpp"
#include "standin/exchange.hpp"

namespace persimmonstair::standin {

/// @brief The members of a chat completion request that the stand-in uses.
struct ChatRequest {
  std::string model;
  /// Concatenated contents of all messages.
  std::string prompt;
  /// 0 if the request has no limit.
  std::int64_t max_tokens = 0;
  bool stream = false;
};

/// @brief Token counts of a chat completion. Prompt tokens include cached tokens.
struct ChatUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
};

/// @brief Parses the JSON body of a chat completion request. The message of a kInvalidRequest error
/// names the member that is missing or wrong.
base::Result<ChatRequest> ParseChat(const std::string& body);

/// @brief Returns the completion text of a prompt: "answer <hash of the prompt>" and filler words,
/// four bytes for each token. Equal prompts get equal completions; different prompts get different
/// ones.
std::string MakeCompletion(const std::string& prompt, std::int64_t tokens);

/// @brief Returns "chatcmpl-<hash of the prompt>", which is equal for equal prompts.
std::string CompletionId(const std::string& prompt);

/// @brief Returns the body of a response that is not streamed.
Json CompletionJson(const ChatRequest& request, const std::string& text, const ChatUsage& usage);
/// @brief Returns a server-sent event with a part of the completion text.
std::string DeltaEvent(const ChatRequest& request, const std::string& text);
/// @brief Returns the last server-sent event before [DONE], with the finish reason and the usage.
std::string FinalEvent(const ChatRequest& request, const ChatUsage& usage);

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_CHAT_HPP_
