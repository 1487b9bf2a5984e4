#include "persimmonstair/net/stream_assembler.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::net {
namespace {

using base::ErrorCode;
using base::Fail;
using nlohmann::json;

// A completion has few parallel tool calls. The bound limits the memory that a faulty engine can
// use up.
constexpr std::size_t kMaxToolCalls = 256;

// Value of a non-negative integer member; zero if it is missing, negative or of another type.
std::int64_t IntegerMember(const json& object, const char* name) {
  if (!object.is_object()) return 0;
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_integer()) return 0;
  return std::max<std::int64_t>(0, it->get<std::int64_t>());
}

// Value of a string member; empty if it is missing or of another type.
std::string StringMember(const json& object, const char* name) {
  if (!object.is_object()) return {};
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

// Appends the string member `name` of `from` to the one of `object`.
void AppendStringMember(json& object, const char* name, const json& from) {
  const std::string text = StringMember(from, name);
  if (!text.empty()) object[name] = StringMember(object, name) + text;
}

// Position after the blank line that ends the first event, or npos. The search starts at `from`.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  for (std::size_t n = text.find('\n', from); n != std::string_view::npos;
       n = text.find('\n', n + 1)) {
    if (n + 1 < text.size() && text[n + 1] == '\n') return n + 2;
    if (n + 2 < text.size() && text[n + 1] == '\r' && text[n + 2] == '\n') return n + 3;
  }
  return std::string_view::npos;
}

// The values of the `data` fields of an event, joined by line feeds.
std::string EventData(std::string_view event) {
  std::string out;
  bool any = false;
  while (!event.empty()) {
    const auto end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.substr(0, 5) != "data:") continue;
    line.remove_prefix(5);
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    if (any) out += '\n';
    out += line;
    any = true;
  }
  return out;
}

}  // namespace

Usage ReadUsage(const json& completion) {
  if (!completion.is_object()) return {};
  const auto it = completion.find("usage");
  if (it == completion.end() || !it->is_object()) return {};
  Usage usage;
  usage.prompt_tokens = IntegerMember(*it, "prompt_tokens");
  usage.completion_tokens = IntegerMember(*it, "completion_tokens");
  if (const auto details = it->find("prompt_tokens_details"); details != it->end()) {
    usage.cached_tokens = IntegerMember(*details, "cached_tokens");
  }
  return usage;
}

base::Result<std::string> StreamAssembler::Add(std::string_view bytes) {
  total_bytes_ += bytes.size();
  if (total_bytes_ > max_bytes_) return Fail(ErrorCode::kIncompleteAnswer, "event stream too long");
  if (ended_) {
    trailing_ = trailing_ || bytes.find_first_not_of(" \r\n") != std::string_view::npos;
    return std::string{};
  }
  // An event end has at most three bytes, so the search can start two bytes before the new ones.
  std::size_t from = pending_.size() < 2 ? 0 : pending_.size() - 2;
  pending_.append(bytes);
  std::size_t consumed = 0;
  for (auto end = FindEventEnd(pending_, from); end != std::string::npos && !ended_;
       end = FindEventEnd(pending_, consumed)) {
    const std::string_view event{pending_.data() + consumed, end - consumed};
    if (auto added = AddEvent(event); !added) return tl::make_unexpected(added.error());
    if (ended_) break;
    consumed = end;
  }
  std::string out = pending_.substr(0, consumed);
  if (ended_) {
    const auto rest = FindEventEnd(pending_, consumed);
    trailing_ = pending_.find_first_not_of(" \r\n", rest) != std::string::npos;
    pending_.clear();
  } else {
    pending_.erase(0, consumed);
  }
  return out;
}

base::Result<void> StreamAssembler::AddEvent(std::string_view event) {
  const std::string data = EventData(event);
  if (data.empty()) return {};
  if (data == "[DONE]") {
    ended_ = true;
    return {};
  }
  return AddChunk(data);
}

base::Result<void> StreamAssembler::AddChunk(std::string_view data) {
  const json chunk = json::parse(data, nullptr, false);
  if (!chunk.is_object() || chunk.contains("error")) {
    return Fail(ErrorCode::kIncompleteAnswer,
                "event stream contains an event that is not a completion chunk");
  }
  if (id_.empty()) id_ = StringMember(chunk, "id");
  if (model_.empty()) model_ = StringMember(chunk, "model");
  if (created_ == 0) created_ = IntegerMember(chunk, "created");
  if (const auto it = chunk.find("usage"); it != chunk.end() && it->is_object()) {
    usage_json_ = *it;
    usage_ = ReadUsage(chunk);
  }
  const auto choices = chunk.find("choices");
  if (choices == chunk.end()) return {};
  if (!choices->is_array()) {
    return Fail(ErrorCode::kIncompleteAnswer,
                "event stream contains a chunk whose choices are not a list");
  }
  for (const auto& choice : *choices) {
    if (IntegerMember(choice, "index") == 0) AddChoice(choice);
  }
  return {};
}

void StreamAssembler::AddChoice(const json& choice) {
  if (!choice.is_object()) return;
  if (const std::string reason = StringMember(choice, "finish_reason"); !reason.empty()) {
    finish_reason_ = reason;
  }
  const auto delta = choice.find("delta");
  if (delta == choice.end() || !delta->is_object()) return;
  content_ += StringMember(*delta, "content");
  if (const auto calls = delta->find("tool_calls"); calls != delta->end()) AddToolCalls(*calls);
}

// Merges fragments of tool calls. Fragments of one call have the same index; its name and arguments
// may be split over several fragments.
void StreamAssembler::AddToolCalls(const json& calls) {
  if (!calls.is_array()) return;
  for (const auto& part : calls) {
    if (!part.is_object()) continue;
    const std::int64_t index = IntegerMember(part, "index");
    if (tool_calls_.size() >= kMaxToolCalls && !tool_calls_.contains(index)) continue;
    json& call = tool_calls_[index];
    if (call.is_null()) call = {{"type", "function"}, {"function", json::object()}};
    if (const std::string id = StringMember(part, "id"); !id.empty()) call["id"] = id;
    if (const auto function = part.find("function"); function != part.end()) {
      AppendStringMember(call["function"], "name", *function);
      AppendStringMember(call["function"], "arguments", *function);
    }
  }
}

std::string StreamAssembler::Completion() const {
  json message = {{"role", "assistant"}, {"content", content_}};
  if (!tool_calls_.empty()) {
    json calls = json::array();
    for (const auto& [index, call] : tool_calls_) calls.push_back(call);
    message["tool_calls"] = std::move(calls);
  }
  json choice = {{"index", 0}, {"message", std::move(message)}, {"finish_reason", nullptr}};
  if (!finish_reason_.empty()) choice["finish_reason"] = finish_reason_;
  json out = {{"id", id_},
              {"object", "chat.completion"},
              {"created", created_},
              {"model", model_},
              {"choices", json::array({std::move(choice)})}};
  if (!usage_json_.is_null()) out["usage"] = usage_json_;
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace persimmonstair::net
