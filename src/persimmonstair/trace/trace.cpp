#include "persimmonstair/trace/trace.hpp"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <utility>

#include "persimmonstair/trace/replay.hpp"
#include "trace_json.hpp"

namespace nlohmann {

namespace schema = persimmonstair::schema;

void adl_serializer<schema::PeerMessage>::to_json(json& out, const schema::PeerMessage& value) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : schema::EncodePeer(value)) {
    text += digits[byte >> 4U];
    text += digits[byte & 15U];
  }
  out = text;
}

void adl_serializer<schema::PeerMessage>::from_json(const json& in, schema::PeerMessage& value) {
  const auto text = in.get<std::string>();
  std::string bytes;
  for (std::size_t n = 0; n + 1 < text.size(); n += 2) {
    unsigned byte = 0;
    const auto end = std::from_chars(&text[n], &text[n] + 2, byte, 16).ptr;
    if (end != &text[n] + 2) {
      throw json::other_error::create(501, "message is not hexadecimal", &in);
    }
    bytes += static_cast<char>(byte);
  }
  auto message = schema::DecodePeer(bytes);
  if (!message) throw json::other_error::create(501, message.error().message, &in);
  value = std::move(*message);
}

}  // namespace nlohmann

namespace persimmonstair::trace {
namespace {

using Json = nlohmann::json;
using scheduler::Action;
using scheduler::Event;

/// Type names in the order of the variants' alternatives.
constexpr std::array<std::string_view, std::variant_size_v<Event>> kEventNames = {
    "CallerRequest",    "CallerGone",   "TargetFirstByte", "TargetDone", "TargetFailed",
    "TargetReport",     "LogRead",      "LogReadFailed",   "AppendDone", "RecordsFetched",
    "InstanceListRead", "PeerReceived", "PeerSendFailed",  "Tick",       "StopRequested"};
constexpr std::array<std::string_view, std::variant_size_v<Action>> kActionNames = {
    "Reply",   "Dispatch",     "CancelAttempt", "CloseIdleConnections",
    "Append",  "FetchRecords", "SendPeer",      "BroadcastPeer",
    "Stopped", "Superseded"};

/// Reads the alternative named `name`, with index I or a later one. Returns false if there is none.
template <std::size_t I = 0>
bool ReadEvent(std::string_view name, const Json& value, Event& out) {
  if constexpr (I < std::variant_size_v<Event>) {
    if (name != kEventNames[I]) return ReadEvent<I + 1>(name, value, out);
    out = value.get<std::variant_alternative_t<I, Event>>();
    return true;
  }
  return false;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

tl::unexpected<base::Error> Invalid(std::string message) {
  return base::Fail(base::ErrorCode::kInvalidRequest, std::move(message));
}

}  // namespace

std::string_view NameOf(const Event& event) { return kEventNames[event.index()]; }
std::string_view NameOf(const Action& action) { return kActionNames[action.index()]; }

std::string FormatOptions(const scheduler::Options& options) {
  Json json;
  json["options"] = options;
  return Dump(json);
}

base::Result<scheduler::Options> ParseOptions(std::string_view line) {
  try {
    return Json::parse(line).at("options").get<scheduler::Options>();
  } catch (const Json::exception& error) {
    return Invalid(std::string("options: ") + error.what());
  }
}

std::string FormatStep(const Step& step) {
  Json json;
  json["at_us"] = step.now.monotonic.time_since_epoch().count();
  json["wall_us"] = step.now.wall.time_since_epoch().count();
  json["event"] = NameOf(step.event);
  json["value"] = std::visit([](const auto& event) { return Json(event); }, step.event);
  return Dump(json);
}

base::Result<Step> ParseStep(std::string_view line) {
  try {
    const Json json = Json::parse(line);
    Step out;
    out.now.monotonic = base::TimePoint{base::Duration{json.at("at_us").get<std::int64_t>()}};
    out.now.wall = base::WallTime{base::Duration{json.at("wall_us").get<std::int64_t>()}};
    const auto name = json.at("event").get<std::string>();
    if (!ReadEvent(name, json.at("value"), out.event)) return Invalid("unknown event " + name);
    return out;
  } catch (const Json::exception& error) {
    return Invalid(error.what());
  }
}

std::string FormatAction(const Action& action) {
  Json json;
  json["action"] = NameOf(action);
  json["value"] = std::visit([](const auto& value) { return Json(value); }, action);
  return Dump(json);
}

std::uint64_t AddToDigest(std::uint64_t digest, const Action& action) {
  const std::string text = FormatAction(action);
  return XXH64(text.data(), text.size(), digest);
}

}  // namespace persimmonstair::trace
