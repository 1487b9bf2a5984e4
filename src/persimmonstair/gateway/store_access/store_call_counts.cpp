#include "store_access/store_call_counts.hpp"

#include <algorithm>

namespace persimmonstair::gateway::store_access {
namespace {

const char* Name(StoreCall call) {
  switch (call) {
    case StoreCall::kAppend:
      return "append";
    case StoreCall::kRead:
      return "read";
    case StoreCall::kReadNewest:
      return "read_newest";
    case StoreCall::kProbe:
      return "probe";
  }
  return "unknown";
}

const char* Name(StoreCallResult result) {
  switch (result) {
    case StoreCallResult::kOk:
      return "ok";
    case StoreCallResult::kConflict:
      return "conflict";
    case StoreCallResult::kDropped:
      return "dropped";
    case StoreCallResult::kRefused:
      return "refused";
    case StoreCallResult::kTimeout:
      return "timeout";
    case StoreCallResult::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace

StoreCallResult ToStoreCallResult(base::ErrorCode code) {
  switch (code) {
    case base::ErrorCode::kConflict:
      return StoreCallResult::kConflict;
    case base::ErrorCode::kNotFound:
      return StoreCallResult::kDropped;
    case base::ErrorCode::kOverloaded:
      return StoreCallResult::kRefused;
    case base::ErrorCode::kTimeout:
      return StoreCallResult::kTimeout;
    default:
      return StoreCallResult::kFailed;
  }
}

std::string StreamKind(const base::StreamName& stream) {
  return stream.value.substr(0, stream.value.find('-'));
}

void StoreCallCounts::Add(const StoreCallEnd& end) {
  Counts& counts = since_summary_[end.call];
  ++counts.by_result[end.result];
  counts.longest = std::max(counts.longest, end.took);
  metrics_.CountStoreCall(Name(end.call), Name(end.result));
  if (end.bytes == 0) return;
  counts.bytes += end.bytes;
  counts.bytes_by_stream[end.stream] += end.bytes;
  metrics_.CountStoreBytes(Name(end.call), end.stream, end.bytes);
}

std::optional<nlohmann::json> StoreCallCounts::TakeSummary() {
  const auto since_summary = std::exchange(since_summary_, {});
  bool all_ok = true;
  std::size_t bytes = 0;
  nlohmann::json summary;
  for (const auto& [call, counts] : since_summary) {
    nlohmann::json& line = summary[Name(call)];
    for (const auto& [result, count] : counts.by_result) {
      all_ok = all_ok && result == StoreCallResult::kOk;
      line[Name(result)] = count;
    }
    line["longest_ms"] = base::ToMillis(counts.longest);
    if (counts.bytes > 0) line["bytes"] = counts.bytes;
    if (counts.bytes > 0) line["bytes_by_stream"] = counts.bytes_by_stream;
    bytes += counts.bytes;
  }
  if (all_ok && bytes <= kLittleRead) return std::nullopt;
  return summary;
}

}  // namespace persimmonstair::gateway::store_access
