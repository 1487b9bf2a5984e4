#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_CALL_COUNTS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_CALL_COUNTS_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/diagnostics/metrics.hpp"

namespace persimmonstair::gateway {

/// @brief Kind of a call to the record store.
enum class StoreCall { kAppend, kRead, kReadNewest };

/// @brief How the store answered a call.
enum class StoreCallResult {
  kOk,
  /// The condition of an append was not met.
  kConflict,
  /// The records to read were dropped.
  kDropped,
  /// The store refused the call without effect, for example above its call rate.
  kRefused,
  kTimeout,
  kFailed,
};

/// @brief Returns the result of a call that ended with this error.
StoreCallResult ToStoreCallResult(base::ErrorCode code);

/// @brief Counts calls to the record store by kind and result, for the metrics and for a summary in
/// the log.
///
///     counts.Add(StoreCall::kAppend, StoreCallResult::kRefused);
///     if (const auto summary = counts.TakeSummary()) Log(Level::kWarning, "store_calls",
///     *summary);
class StoreCallCounts {
 public:
  explicit StoreCallCounts(diagnostics::Metrics& metrics) : metrics_(metrics) {}

  void Add(StoreCall call, StoreCallResult result);

  /// Returns the number of calls by kind and result since the last summary, or nothing if each of
  /// them succeeded.
  std::optional<nlohmann::json> TakeSummary();

 private:
  diagnostics::Metrics& metrics_;
  std::map<std::pair<StoreCall, StoreCallResult>, std::uint64_t> since_summary_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_CALL_COUNTS_HPP_
