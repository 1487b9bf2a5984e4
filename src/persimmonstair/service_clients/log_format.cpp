#include "log_format.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace persimmonstair::service_clients {
namespace {

using Json = nlohmann::json;

/// Statuses with which the log may report the verdict "not_run" for an append.
constexpr std::uint32_t kRefusalStatuses[] = {400, 409, 413, 429, 503};

tl::unexpected<base::Error> Malformed(const std::string& what) {
  return base::Fail(base::ErrorCode::kIncompleteAnswer, "response violates the protocol: " + what,
                    base::Verdict::kMayHaveRun);
}

/// The JSON object in the body of a response with status 200.
base::Result<Json> ParseObject(const base::Result<HttpResponse>& response) {
  if (!response) return tl::make_unexpected(response.error());
  if (response->status != 200) {
    return base::Fail(base::ErrorCode::kTargetFailed,
                      "unexpected HTTP status " + std::to_string(response->status),
                      base::Verdict::kMayHaveRun);
  }
  Json json = Json::parse(response->body, nullptr, false);
  if (!json.is_object()) return Malformed("body is not a JSON object");
  return json;
}

/// Value of an unsigned integer member; empty if it is missing or of another type.
std::optional<std::uint64_t> IntegerMember(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_unsigned()) return std::nullopt;
  return it->get<std::uint64_t>();
}

/// Value of a string member; empty if it is missing or of another type.
std::optional<std::string> StringMember(const Json& object, const char* name) {
  if (!object.is_object()) return std::nullopt;
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string()) return std::nullopt;
  return it->get<std::string>();
}

/// Moves the entries out of `json`; empty if an entry is malformed.
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

/// True if the offsets of the entries increase, starting at `from` or later and ending before
/// `next`.
bool IsAscending(base::Offset from, const std::vector<scheduler::LogEntry>& entries,
                 base::Offset next) {
  base::Offset minimum = from;
  for (const scheduler::LogEntry& entry : entries) {
    if (entry.offset < minimum) return false;
    minimum = base::Offset{entry.offset.value + 1};
  }
  return next >= minimum;
}

/// True if the log reports that it appended nothing.
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
                                          const base::Result<HttpResponse>& result) {
  using scheduler::AppendOutcome;
  scheduler::AppendDone out{append, AppendOutcome::kUnknown, {}};
  if (!result) {
    if (result.error().verdict == base::Verdict::kNotRun) out.outcome = AppendOutcome::kNotAppended;
    return out;
  }
  if (ReportsNotRun(*result)) {
    out.outcome = AppendOutcome::kNotAppended;
    return out;
  }
  const auto json = ParseObject(result);
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
  if (!IsAscending(read.from, *entries, base::Offset{*next})) return Malformed("unordered offsets");
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
      return Malformed("unread lists an offset that was not requested");
    }
    out.unread.push_back({item.get<std::uint64_t>()});
  }
  for (const scheduler::LogEntry& entry : *entries) {
    if (!was_requested(entry.offset)) return Malformed("an entry was not requested");
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
      return Malformed("an entry of instances has no valid instance, data_centre or state");
    }
    out.instances.push_back({{*instance}, {*data_centre}, *state == "leaving"});
  }
  for (const Json& item : *targets) {
    if (!item.is_string()) return Malformed("an entry of leaving_targets is not a string");
    out.leaving_targets.push_back({item.get<std::string>()});
  }
  return out;
}

}  // namespace persimmonstair::service_clients
