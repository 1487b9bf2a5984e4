#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_CALL_COUNTS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_CALL_COUNTS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/diagnostics/metrics.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief Kind of a call to the record store.
enum class StoreCall {
  kAppend,
  kRead,
  kReadNewest,
  /// A read of no records that shows whether the store answers.
  kProbe,
};

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

/// @brief How one call to the record store ended.
struct StoreCallEnd {
  StoreCall call = StoreCall::kAppend;
  StoreCallResult result = StoreCallResult::kOk;
  /// Time from the call to its end, without the time for which it asked the store to wait.
  base::Duration took{0};
  /// Bytes of the keys and values that it read.
  std::size_t bytes = 0;
  /// Name of the stream without its number, as "turns" of "turns-12".
  std::string stream;
};

/// @brief Returns the name of a stream without its number.
std::string StreamKind(const base::StreamName& stream);

/// @brief Counts calls to the record store by kind and result, for the metrics and for a summary in
/// the log.
///
///     counts.Add({StoreCall::kAppend, StoreCallResult::kRefused, took, 0, "turns"});
///     if (const auto summary = counts.TakeSummary()) Log(Level::kWarning, "store_calls",
///     *summary);
class StoreCallCounts {
 public:
  /// Bytes that are read between two summaries up to which there is little to report.
  static constexpr std::size_t kLittleRead = std::size_t{256} << 10U;

  explicit StoreCallCounts(diagnostics::Metrics& metrics) : metrics_(metrics) {}

  void Add(const StoreCallEnd& end);

  /// Returns, for each kind of call since the last summary, the number of calls by result, the
  /// longest time that one took and the bytes that were read, in all and by stream. Returns nothing
  /// if each call succeeded and little was read.
  std::optional<nlohmann::json> TakeSummary();

 private:
  diagnostics::Metrics& metrics_;
  struct Counts {
    std::map<StoreCallResult, std::uint64_t> by_result;
    base::Duration longest{0};
    std::size_t bytes = 0;
    std::map<std::string, std::size_t> bytes_by_stream;
  };
  std::map<StoreCall, Counts> since_summary_;
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_STORE_CALL_COUNTS_HPP_
