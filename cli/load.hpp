#ifndef PERSIMMONSTAIR_CLI_LOAD_HPP_
#define PERSIMMONSTAIR_CLI_LOAD_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cli/context.hpp"

namespace persimmonstair::cli {

/// @brief What the load tool sends. Every run is bounded by `count` and `duration_s`.
struct LoadOptions {
  /// Route of service calls; empty runs programs.
  std::string route;
  /// Path instead of /v1/services/<route>, for calls to a target itself.
  std::string path;
  std::string method = "POST";
  /// Adds a fresh idempotency key to each call.
  bool idempotency_key = false;
  std::string model;
  std::uint32_t turns = 5;
  bool stream = false;
  std::size_t body_bytes = 64;
  /// Calls or programs started per second; 0 starts the next when one ends.
  double rate_per_s = 0;
  std::uint32_t connections = 8;
  std::uint64_t count = 1000;
  double duration_s = 60;
};

/// @brief Latencies of one kind of request, in arrival order of the answers.
class LatencySamples {
 public:
  void Add(std::chrono::microseconds latency) { values_.push_back(latency.count()); }
  std::size_t size() const { return values_.size(); }
  /// Smallest latency that `percent` of all do not exceed, in milliseconds; 0 if there are none.
  double PercentileMs(double percent) const;

 private:
  std::vector<std::int64_t> values_;
};

/// @brief Outcome of a load run.
struct LoadReport {
  /// Requests answered with 2xx.
  std::uint64_t ok = 0;
  /// Requests that certainly did not run.
  std::uint64_t refused = 0;
  /// All others.
  std::uint64_t failed = 0;
  std::map<std::string, std::uint64_t> verdicts;
  std::map<std::string, std::uint64_t> codes;
  /// From the planned start of a request to its whole answer.
  LatencySamples requests;
  /// From the planned start of a program to the end of its last turn; whole programs only.
  LatencySamples programs;
  std::uint64_t programs_failed = 0;
  double elapsed_s = 0;
};

/// @brief Runs the load against context.address. kUsage for an unusable address.
Outcome<LoadReport> RunLoad(const Context& context, const LoadOptions& options,
                            const std::string& key);

Json ToJson(const LoadReport& report);
std::string FormatLoadReport(const LoadReport& report);

/// @brief The `load` command: 0 if all requests were answered with 2xx or refused, else 3.
int Load(const Context& context, const LoadOptions& options);

}  // namespace persimmonstair::cli

#endif  // PERSIMMONSTAIR_CLI_LOAD_HPP_
