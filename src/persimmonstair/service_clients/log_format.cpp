#include "log_format.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace persimmonstair::service_clients {
namespace {

using Json = nlohmann::json;

/// Statuses of an append that may carry the verdict "not_run".
constexpr std::uint32_t kRefusalStatuses[] = {400, 409, 413, 429, 503};

tl::unexpected<base::Error> Malformed(const std::string& what) {
  return base::Fail(base::ErrorCode::kIncompleteAnswer, "answer contradicts the protocol: " + what,
                    base::Verdict::kMayHaveRun);
}

/// The JSON object of a 200 answer.
base::Result<Json> ParseObject(const base::Result<HttpResponse>& response) {
  if (!response) return tl::make_unexpected(response.error());
  if (response->status != 200) {
    return base::Fail(base::ErrorCode::kTargetFailed, "status " + std::to_string(response->status),
                      base::Verdict::kMayHaveRun);
  }
  Json json = Json::parse(response->body, nullptr, false);
  if (!json.is_object()) return Malformed("body is not a JSON object");
  return json;
}

std::optional<std::uint64_t> IntegerMember(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_unsigned()) return std::nullopt;
  return it->get<std::uint64_t>();
}

std::optional<std::string> StringMember(const Json& object, const char* name) {
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
    const auto offset = IntegerMember(item, "offset");
    if (!offset) return std::nullopt;
    out.push_back({base::Offset{*offset}, std::move(item["data"].get_ref<std::string&>())});
  }
  return out;
}

bool IsAscending(base::Offset from, const std::vector<scheduler::LogEntry>& entries,
                 base::Offset next) {
  base::Offset least = from;
  for (const scheduler::LogEntry& entry : entries) {
    if (entry.offset < least) return false;
    least = base::Offset{entry.offset.value + 1};
  }
  return next >= least;
}

/// True for an answer with which the log states that it appended nothing.
bool ReportsNotRun(const HttpResponse& response) {
  if (std::find(std::begin(kRefusalStatuses), std::end(kRefusalStatuses), response.status) ==
      std::end(kRefusalStatuses)) {
    return false;
  }
  const Json json = Json::parse(response.body, nullptr, false);
  return json.is_object() && json.contains("error") &&
         StringMember(json["error"], "verdict") == "not_run";
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

scheduler::AppendDone ParseAppendResponse(base::AppendId append,
                                          const base::Result<HttpResponse>& response) {
  using scheduler::AppendOutcome;
  scheduler::AppendDone out{append, AppendOutcome::kUnknown, {}};
  if (!response) {
    if (response.error().verdict == base::Verdict::kNotRun)
      out.outcome = AppendOutcome::kNotAppended;
    return out;
  }
  if (ReportsNotRun(*response)) {
    out.outcome = AppendOutcome::kNotAppended;
    return out;
  }
  const auto json = ParseObject(response);
  const auto first = json ? IntegerMember(*json, "first_offset") : std::nullopt;
  if (first) {
    out.outcome = AppendOutcome::kAppended;
    out.first = base::Offset{*first};
  }
  return out;
}

base::Result<scheduler::LogRead> ParseReadResponse(const ReadRequest& read,
                                                   const base::Result<HttpResponse>& response) {
  auto json = ParseObject(response);
  if (!json) return tl::make_unexpected(json.error());
  auto entries = TakeEntries(*json);
  const auto next = IntegerMember(*json, "next_offset");
  const auto oldest = IntegerMember(*json, "oldest_offset");
  const auto oldest_at = IntegerMember(*json, "oldest_at_ms");
  const auto at_end = json->find("at_end");
  if (!entries || !next || !oldest || !oldest_at || at_end == json->end() ||
      !at_end->is_boolean()) {
    return Malformed("a member is missing or has the wrong type");
  }
  if (!IsAscending(read.from, *entries, base::Offset{*next}))
    return Malformed("offsets do not rise");
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

base::Result<FetchResponse> ParseFetchResponse(const std::vector<base::Offset>& requested,
                                               const base::Result<HttpResponse>& response) {
  auto json = ParseObject(response);
  if (!json) return tl::make_unexpected(json.error());
  auto entries = TakeEntries(*json);
  const auto unread = json->find("unread");
  if (!entries || unread == json->end() || !unread->is_array()) {
    return Malformed("a member is missing or has the wrong type");
  }
  const auto was_requested = [&requested](base::Offset offset) {
    return std::find(requested.begin(), requested.end(), offset) != requested.end();
  };
  FetchResponse out;
  for (const Json& item : *unread) {
    if (!item.is_number_unsigned() || !was_requested({item.get<std::uint64_t>()})) {
      return Malformed("unread names an offset that was not asked for");
    }
    out.unread.push_back({item.get<std::uint64_t>()});
  }
  for (const scheduler::LogEntry& entry : *entries) {
    if (!was_requested(entry.offset)) return Malformed("an entry was not asked for");
  }
  out.entries = std::move(*entries);
  return out;
}

base::Result<scheduler::InstanceListRead> ParseInstanceListResponse(
    const base::Result<HttpResponse>& response) {
  auto json = ParseObject(response);
  if (!json) return tl::make_unexpected(json.error());
  const auto instances = json->find("instances");
  const auto targets = json->find("leaving_targets");
  if (instances == json->end() || !instances->is_array() || targets == json->end() ||
      !targets->is_array()) {
    return Malformed("instances and leaving_targets must be lists");
  }
  scheduler::InstanceListRead out;
  for (const Json& item : *instances) {
    const auto instance = StringMember(item, "instance");
    const auto data_centre = StringMember(item, "data_centre");
    const auto state = StringMember(item, "state");
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
