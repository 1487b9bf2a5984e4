#include "conversation.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace persimmonstair::programs {
namespace {

using base::ErrorCode;
using base::Fail;
using nlohmann::json;

/// Completion bound when neither the body nor the model states one.
constexpr std::int64_t kFallbackMaxTokens = 1024;
/// Largest accepted completion bound; keeps sums of tokens far from overflow.
constexpr std::int64_t kMaxCompletionTokens = 1'000'000;
/// Tokens that a chat template may add around a message.
constexpr std::int64_t kMessageOverheadTokens = 16;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Content of other kinds, for example images, costs tokens that its size does not bound.
bool IsText(const json& message) {
  const auto content = message.find("content");
  if (content == message.end() || !content->is_array()) return true;
  return std::all_of(content->begin(), content->end(), [](const json& part) {
    return part.is_object() && part.value("type", json()) == "text";
  });
}

base::Result<void> CheckMessages(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return Fail(ErrorCode::kInvalidRequest, "messages must be a non-empty array");
  }
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
      return Fail(ErrorCode::kInvalidRequest, "each message must be an object with a role");
    }
    if (!IsText(message)) return Fail(ErrorCode::kInvalidRequest, "only text content is supported");
  }
  if (body.contains("n") && body["n"] != 1) {
    return Fail(ErrorCode::kInvalidRequest, "a turn has one completion: n must be 1");
  }
  return {};
}

base::Result<std::int64_t> MaxTokens(const json& body, std::int64_t default_max_tokens) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto it = body.find(name);
    if (it == body.end() || it->is_null()) continue;
    // Unsigned values above the range of i64 fail the comparison after conversion to double.
    if (!it->is_number_integer() || it->get<double>() < 1 ||
        it->get<double>() > kMaxCompletionTokens) {
      return Fail(ErrorCode::kInvalidRequest, std::string(name) + " must be from 1 to 1000000");
    }
    return it->get<std::int64_t>();
  }
  return default_max_tokens > 0 ? std::min(default_max_tokens, kMaxCompletionTokens)
                                : kFallbackMaxTokens;
}

bool IsWholeConversation(const json& messages) {
  return std::any_of(messages.begin(), messages.end(),
                     [](const json& message) { return message["role"] == "assistant"; });
}

base::Result<json> NewMessages(const json& history, const json& messages) {
  if (!IsWholeConversation(messages)) return messages;
  if (messages.size() <= history.size()) {
    return Fail(ErrorCode::kConflict, "the conversation adds nothing to the recorded history");
  }
  if (!std::equal(history.begin(), history.end(), messages.begin())) {
    return Fail(ErrorCode::kConflict, "the conversation differs from the recorded history");
  }
  json added = json::array();
  for (std::size_t n = history.size(); n < messages.size(); ++n) added.push_back(messages[n]);
  if (IsWholeConversation(added)) {
    return Fail(ErrorCode::kConflict, "the conversation has answers that are not recorded");
  }
  return added;
}

std::int64_t LastContextTokens(const std::vector<RecordedTurn>& history) {
  for (auto it = history.rbegin(); it != history.rend(); ++it) {
    if (it->request != "[]") return it->context_tokens;
  }
  return 0;
}

}  // namespace

std::uint64_t FingerprintBody(std::string_view body) { return XXH64(body.data(), body.size(), 0); }

json HistoryMessages(const std::vector<RecordedTurn>& history) {
  json out = json::array();
  for (const RecordedTurn& turn : history) {
    // A turn that failed added no message.
    if (turn.request == "[]") continue;
    for (json& message : json::parse(turn.request)) out.push_back(std::move(message));
    out.push_back(json::parse(turn.response)["choices"][0]["message"]);
  }
  return out;
}

base::Result<PreparedTurn> PrepareTurn(const std::vector<RecordedTurn>& history,
                                       std::string_view text, std::int64_t default_max_tokens) {
  json body = json::parse(text, nullptr, false);
  if (!body.is_object()) return Fail(ErrorCode::kInvalidRequest, "body must be a JSON object");
  if (auto checked = CheckMessages(body); !checked) return tl::make_unexpected(checked.error());
  const auto max_tokens = MaxTokens(body, default_max_tokens);
  if (!max_tokens) return tl::make_unexpected(max_tokens.error());
  json messages = HistoryMessages(history);
  auto added = NewMessages(messages, body["messages"]);
  if (!added) return tl::make_unexpected(added.error());

  PreparedTurn out;
  out.request = Dump(*added);
  out.max_tokens = *max_tokens;
  out.stream = body.value("stream", json(false)) == true;
  for (const json& message : *added) messages.push_back(message);
  const auto count = static_cast<std::int64_t>(messages.size());
  body["messages"] = *added;
  const auto added_bytes = static_cast<std::int64_t>(Dump(body).size());
  body["messages"] = std::move(messages);
  body.erase("max_completion_tokens");
  body["max_tokens"] = *max_tokens;
  out.body = Dump(body);
  const std::int64_t context = LastContextTokens(history);
  const auto all_bytes = static_cast<std::int64_t>(out.body.size());
  const std::int64_t prompt = context > 0 ? std::min(all_bytes, context + added_bytes) : all_bytes;
  out.cost_bound = prompt + count * kMessageOverheadTokens + *max_tokens;
  return out;
}

}  // namespace persimmonstair::programs
