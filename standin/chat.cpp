#include "standin/chat.hpp"

#include <xxhash.h>

#include <cstdio>

namespace persimmonstair::standin {
namespace {

/// Appends the text of a message's content to `out`. False if the content is neither a string nor a
/// list of text parts.
bool AppendContent(const Json& content, std::string& out) {
  if (content.is_null()) return true;
  if (content.is_string()) {
    out += content.get_ref<const std::string&>();
    return true;
  }
  if (!content.is_array()) return false;
  for (const Json& part : content) {
    if (!part.is_object() || !part.contains("text") || !part["text"].is_string()) return false;
    out += part["text"].get_ref<const std::string&>();
  }
  return true;
}

std::string HashText(const std::string& text) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx",
                static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));  // NOLINT
  return out;
}

/// Returns the members that whole completions and streamed chunks share.
Json MakeCompletionBase(const ChatRequest& request, const char* object) {
  Json out;
  out["id"] = CompletionId(request.prompt);
  out["object"] = object;
  out["created"] = 0;
  out["model"] = request.model;
  return out;
}

Json UsageJson(const ChatUsage& usage) {
  Json out;
  out["prompt_tokens"] = usage.prompt_tokens;
  out["completion_tokens"] = usage.completion_tokens;
  out["total_tokens"] = usage.prompt_tokens + usage.completion_tokens;
  out["prompt_tokens_details"]["cached_tokens"] = usage.cached_tokens;
  return out;
}

Json ChunkJson(const ChatRequest& request, Json delta, Json finish_reason) {
  Json choice;
  choice["index"] = 0;
  choice["delta"] = std::move(delta);
  choice["finish_reason"] = std::move(finish_reason);
  Json out = MakeCompletionBase(request, "chat.completion.chunk");
  out["choices"] = Json::array();
  out["choices"].push_back(std::move(choice));
  return out;
}

std::string FormatServerSentEvent(const Json& json) {
  return "data: " + json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n\n";
}

}  // namespace

base::Result<ChatRequest> ParseChat(const std::string& body) {
  const auto fail = [](const char* what) {
    return base::Fail(base::ErrorCode::kInvalidRequest, what);
  };
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return fail("body must be a JSON object");
  ChatRequest out;
  if (!json.contains("model") || !json["model"].is_string()) return fail("model must be a string");
  out.model = json["model"];
  if (!json.contains("messages") || !json["messages"].is_array()) {
    return fail("messages must be a list");
  }
  for (const Json& message : json["messages"]) {
    if (!message.is_object() || !AppendContent(message.value("content", Json()), out.prompt)) {
      return fail("a message's content must be a string or a list of text parts");
    }
  }
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto it = json.find(name);
    if (it == json.end() || it->is_null()) continue;
    if (!it->is_number_integer() || *it < 1) return fail("max_tokens must be a positive integer");
    out.max_tokens = *it;
    break;
  }
  const auto stream = json.find("stream");
  out.stream = stream != json.end() && *stream == true;
  return out;
}

std::string MakeCompletion(const std::string& prompt, std::int64_t tokens) {
  const auto size = static_cast<std::size_t>(tokens) * 4;
  std::string out = "answer " + HashText(prompt) + " ";
  while (out.size() < size) out += "w" + std::to_string(out.size() % 97) + " ";
  out.resize(size);
  return out;
}

std::string CompletionId(const std::string& prompt) { return "chatcmpl-" + HashText(prompt); }

Json CompletionJson(const ChatRequest& request, const std::string& text, const ChatUsage& usage) {
  Json choice;
  choice["index"] = 0;
  choice["message"]["role"] = "assistant";
  choice["message"]["content"] = text;
  choice["finish_reason"] = "stop";
  Json out = MakeCompletionBase(request, "chat.completion");
  out["choices"] = Json::array();
  out["choices"].push_back(std::move(choice));
  out["usage"] = UsageJson(usage);
  return out;
}

std::string DeltaEvent(const ChatRequest& request, const std::string& text) {
  Json delta;
  delta["role"] = "assistant";
  delta["content"] = text;
  return FormatServerSentEvent(ChunkJson(request, std::move(delta), nullptr));
}

std::string FinalEvent(const ChatRequest& request, const ChatUsage& usage) {
  Json json = ChunkJson(request, Json::object(), "stop");
  json["usage"] = UsageJson(usage);
  return FormatServerSentEvent(json);
}

}  // namespace persimmonstair::standin
