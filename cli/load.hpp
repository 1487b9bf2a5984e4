#ifndef PERSIMMONSTAIR_CLI_LOAD_HPP_
#define PERSIMMONSTAIR_CLI_LOAD_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cli/context.hpp"

namespace persimmonstair::cli {

/// @brief Options of the `load` command. No call or program starts after `count` starts or after
/// `duration_s` seconds.
struct LoadOptions {
  /// Route of service calls. Programs are run if `route` and `path` are both empty.
  std::string route;
  /// Path to call instead of /v1/services/<route>, for calls directly to a target.
  std::string path;
  std::string method = "POST";
  /// Adds a new idempotency key to each call.
  bool idempotency_key = false;
  /// Model of the programs.
  std::string model;
  /// Turns per program.
  std::uint32_t turns = 5;
  bool stream = false;
  /// Bytes in the body of a service call, or added to the message of a turn.
  std::size_t body_bytes = 64;
  /// Calls or programs started per second; 0 starts the next when one ends.
  double rate_per_s = 0;
  /// Maximum number of calls or programs in progress.
  std::uint32_t connections = 8;
  /// Total number of calls or programs.
  std::uint64_t count = 1000;
  double duration_s = 60;
};

/// @brief Latencies of one kind of request, in the order in which the responses arrived.
class LatencySamples {
 public:
  void Add(std::chrono::microseconds latency) { values_.push_back(latency.count()); }
  std::size_t size() const { return values_.size(); }
  /// Smallest sample that at least `percent` percent of the samples do not exceed, in milliseconds;
  /// 0 without samples.
  double PercentileMs(double percent) const;

 private:
  std::vector<std::int64_t> values_;
};

/// @brief Counts and latencies of a load run.
struct LoadReport {
  /// Requests with a 2xx response.
  std::uint64_t ok = 0;
  /// Requests with an error response whose verdict is "not_run".
  std::uint64_t refused = 0;
  /// All other requests: no response, or an error response with another verdict.
  std::uint64_t failed = 0;
  /// Number of requests by verdict.
  std::map<std::string, std::uint64_t> verdicts;
  /// Number of requests by error code.
  std::map<std::string, std::uint64_t> codes;
  /// From the planned start of a request to its complete response; successful requests only.
  LatencySamples requests;
  /// From the planned start of a program to the end of its last turn; completed programs only.
  LatencySamples programs;
  std::uint64_t programs_failed = 0;
  double elapsed_s = 0;
};

/// @brief Sends the load to context.address; kUsage if that address is malformed.
Outcome<LoadReport> RunLoad(const Context& context, const LoadOptions& options,
                            const std::string& key);

Json ToJson(const LoadReport& report);
std::string FormatLoadReport(const LoadReport& report);

/// @brief Runs the `load` command. Returns kOk (0) if every request succeeded or was refused,
/// else kUnknown (3).
int Load(const Context& context, const LoadOptions& options);

}  // namespace persimmonstair::cli

#endif  // PERSIMMONSTAIR_CLI_LOAD_HPP_
