#include "log_format.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace persimmonstair::service_clients {
namespace {

using Json = nlohmann::json;

/// Statuses of an append that may carry the verdict "not_run".
constexpr std::uint32_t kRefusals[] = {400, 409, 413, 429, 503};

tl::unexpected<base::Error> Malformed(const std::string& what) {
  return base::Fail(base::ErrorCode::kIncompleteAnswer, "answer contradicts the protocol: " + what,
                    base::Verdict::kMayHaveRun);
}

/// The JSON object of a 200 answer.
base::Result<Json> ObjectOf(const base::Result<HttpResponse>& answer) {
  if (!answer) return tl::make_unexpected(answer.error());
  if (answer->status != 200) {
    return base::Fail(base::ErrorCode::kTargetFailed, "status " + std::to_string(answer->status),
                      base::Verdict::kMayHaveRun);
  }
  Json json = Json::parse(answer->body, nullptr, false);
  if (!json.is_object()) return Malformed("body is not a JSON object");
  return json;
}

std::optional<std::uint64_t> Number(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_unsigned()) return std::nullopt;
  return it->get<std::uint64_t>();
}

std::optional<std::string> Text(const Json& object, const char* name) {
  if (!object.is_object()) return std::nullopt;
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string()) return std::nullopt;
  return it->get<std::string>();
}

/// Takes the entries out of `json`; empty if any is malformed.
std::optional<std::vector<scheduler::LogEntry>> TakeEntries(Json& json) {
  const auto list = json.find("entries");
  if (list == json.end() || !list->is_array()) return std::nullopt;
  std::vector<scheduler::LogEntry> out;
  out.reserve(list->size());
  for (Json& item : *list) {
    if (!item.is_object() || !item.contains("data") || !item["data"].is_string()) {
      return std::nullopt;
    }
    const auto offset = Number(item, "offset");
    if (!offset) return std::nullopt;
    out.push_back({base::Offset{*offset}, std::move(item["data"].get_ref<std::string&>())});
  }
  return out;
}

bool RisesFrom(base::Offset from, const std::vector<scheduler::LogEntry>& entries,
               base::Offset next) {
  base::Offset least = from;
  for (const scheduler::LogEntry& entry : entries) {
    if (entry.offset < least) return false;
    least = base::Offset{entry.offset.value + 1};
  }
  return next >= least;
}

/// True for an answer with which the log states that it appended nothing.
bool SaysNotRun(const HttpResponse& answer) {
  if (std::find(std::begin(kRefusals), std::end(kRefusals), answer.status) == std::end(kRefusals)) {
    return false;
  }
  const Json json = Json::parse(answer.body, nullptr, false);
  return json.is_object() && json.contains("error") && Text(json["error"], "verdict") == "not_run";
}

}  // namespace

std::optional<std::string> FormatAppend(const scheduler::Append& append) {
  if (append.records.size() != append.ids.size() || append.records.empty()) return std::nullopt;
  Json records = Json::array();
  for (std::size_t n = 0; n < append.records.size(); ++n) {
    if (append.records[n].size() > kMaxRecordBytes) return std::nullopt;
    Json record;
    record["id"] = append.ids[n].value;
    record["data"] = append.records[n];
    records.push_back(std::move(record));
  }
  Json body;
  body["records"] = std::move(records);
  try {
    return body.dump();
  } catch (const Json::type_error&) {
    return std::nullopt;
  }
}

scheduler::AppendDone ReadAppendAnswer(base::AppendId append,
                                       const base::Result<HttpResponse>& answer) {
  using scheduler::AppendOutcome;
  scheduler::AppendDone out{append, AppendOutcome::kUnknown, {}};
  if (!answer) {
    if (answer.error().verdict == base::Verdict::kNotRun) out.outcome = AppendOutcome::kNotAppended;
    return out;
  }
  if (SaysNotRun(*answer)) {
    out.outcome = AppendOutcome::kNotAppended;
    return out;
  }
  const auto json = ObjectOf(answer);
  const auto first = json ? Number(*json, "first_offset") : std::nullopt;
  if (first) {
    out.outcome = AppendOutcome::kAppended;
    out.first = base::Offset{*first};
  }
  return out;
}

base::Result<scheduler::LogRead> ReadLogAnswer(const ReadRequest& read,
                                               const base::Result<HttpResponse>& answer) {
  auto json = ObjectOf(answer);
  if (!json) return tl::make_unexpected(json.error());
  auto entries = TakeEntries(*json);
  const auto next = Number(*json, "next_offset");
  const auto oldest = Number(*json, "oldest_offset");
  const auto oldest_at = Number(*json, "oldest_at_ms");
  const auto at_end = json->find("at_end");
  if (!entries || !next || !oldest || !oldest_at || at_end == json->end() ||
      !at_end->is_boolean()) {
    return Malformed("a member is missing or has the wrong type");
  }
  if (!RisesFrom(read.from, *entries, base::Offset{*next})) return Malformed("offsets do not rise");
  scheduler::LogRead out;
  out.stream = read.stream;
  out.from = read.from;
  out.entries = std::move(*entries);
  out.next = base::Offset{*next};
  out.oldest = base::Offset{*oldest};
  out.oldest_at = base::WallTime{std::chrono::milliseconds(*oldest_at)};
  out.at_end = at_end->get<bool>();
  return out;
}

std::string FormatFetch(const std::vector<base::Offset>& offsets) {
  Json body;
  body["offsets"] = offsets;
  return body.dump();
}

base::Result<FetchAnswer> ReadFetchAnswer(const std::vector<base::Offset>& asked,
                                          const base::Result<HttpResponse>& answer) {
  auto json = ObjectOf(answer);
  if (!json) return tl::make_unexpected(json.error());
  auto entries = TakeEntries(*json);
  const auto unread = json->find("unread");
  if (!entries || unread == json->end() || !unread->is_array()) {
    return Malformed("a member is missing or has the wrong type");
  }
  const auto was_asked = [&asked](base::Offset offset) {
    return std::find(asked.begin(), asked.end(), offset) != asked.end();
  };
  FetchAnswer out;
  for (const Json& item : *unread) {
    if (!item.is_number_unsigned() || !was_asked({item.get<std::uint64_t>()})) {
      return Malformed("unread names an offset that was not asked for");
    }
    out.unread.push_back({item.get<std::uint64_t>()});
  }
  for (const scheduler::LogEntry& entry : *entries) {
    if (!was_asked(entry.offset)) return Malformed("an entry was not asked for");
  }
  out.entries = std::move(*entries);
  return out;
}

base::Result<scheduler::InstanceListRead> ReadListAnswer(const base::Result<HttpResponse>& answer) {
  auto json = ObjectOf(answer);
  if (!json) return tl::make_unexpected(json.error());
  const auto instances = json->find("instances");
  const auto targets = json->find("leaving_targets");
  if (instances == json->end() || !instances->is_array() || targets == json->end() ||
      !targets->is_array()) {
    return Malformed("instances and leaving_targets must be lists");
  }
  scheduler::InstanceListRead out;
  for (const Json& item : *instances) {
    const auto instance = Text(item, "instance");
    const auto data_centre = Text(item, "data_centre");
    const auto state = Text(item, "state");
    if (!instance || !data_centre || !state || (*state != "live" && *state != "leaving")) {
      return Malformed("an instance lacks instance, data_centre or state");
    }
    out.instances.push_back({{*instance}, {*data_centre}, *state == "leaving"});
  }
  for (const Json& item : *targets) {
    if (!item.is_string()) return Malformed("a leaving target is not a string");
    out.leaving_targets.push_back({item.get<std::string>()});
  }
  return out;
}

}  // namespace persimmonstair::service_clients
