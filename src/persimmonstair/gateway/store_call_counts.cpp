#include "store_call_counts.hpp"

#include <algorithm>

namespace persimmonstair::gateway {
namespace {

const char* Name(StoreCall call) {
  switch (call) {
    case StoreCall::kAppend:
      return "append";
    case StoreCall::kRead:
      return "read";
    case StoreCall::kReadNewest:
      return "read_newest";
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

void StoreCallCounts::Add(StoreCall call, StoreCallResult result) {
  ++since_summary_[{call, result}];
  metrics_.CountStoreCall(Name(call), Name(result));
}

std::optional<nlohmann::json> StoreCallCounts::TakeSummary() {
  const auto counts = std::exchange(since_summary_, {});
  const bool all_ok = std::all_of(counts.begin(), counts.end(), [](const auto& one) {
    return one.first.second == StoreCallResult::kOk;
  });
  if (all_ok) return std::nullopt;
  nlohmann::json summary;
  for (const auto& [key, count] : counts) summary[Name(key.first)][Name(key.second)] = count;
  return summary;
}

}  // namespace persimmonstair::gateway
