#ifndef PERSIMMONSTAIR_STANDIN_FAULTS_HPP_
#define PERSIMMONSTAIR_STANDIN_FAULTS_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::standin {

/// @brief Number of future requests that a fault applies to. Negative means all.
using Countdown = std::int64_t;

/// @brief Returns whether the fault applies to this request, and decrements a positive count.
inline bool ConsumeFault(Countdown& remaining) {
  if (remaining > 0)
    --remaining;
  else
    return remaining < 0;
  return true;
}

/// @brief Faults that every role supports.
struct CommonFaults {
  /// "" for none, "close" (closes the connection without a response), "hang" (never responds) or
  /// "refuse" (503 with verdict not_run).
  std::string outage;
  /// Delay before each request is handled.
  std::uint32_t slow_ms = 0;
  /// User-Agent values whose connections are closed without a response, as in a network partition.
  std::vector<std::string> blocked_agents;
  /// Half of the response body is sent, then the connection closes.
  Countdown truncate_answers = 0;
  /// The response body is padded beyond the reader's limit.
  Countdown oversize_answers = 0;
  /// The request takes effect, but the connection closes without a response.
  Countdown lose_answers = 0;
};

struct LogFaults : CommonFaults {
  /// The records are stored, but the connection closes without a response.
  Countdown lose_append_answers = 0;
  /// Part of the appends, chosen at random, to which the same happens, in parts per thousand.
  std::uint32_t lose_append_per_mille = 0;
  /// Appends refused with 503 and verdict not_run.
  Countdown refuse_appends = 0;
  /// Age above which records are dropped; 0 keeps all.
  std::uint64_t retention_ms = 0;
  /// Records kept for each stream; 0 keeps all.
  std::uint64_t retention_records = 0;
};

struct ListFaults : CommonFaults {
  /// Age of the list that readers get.
  std::uint64_t lag_ms = 0;
};

struct WeightFaults : CommonFaults {};

struct EngineFaults : CommonFaults {
  /// A request whose body contains this text crashes the engine. Empty disables the fault.
  std::string crash_marker;
  /// Time after such a crash until the engine listens again. 0 only closes the request's connection
  /// and keeps the engine running.
  std::uint64_t restart_ms = 0;
  /// Crashes the engine when it is set; the engine listens again after this time. 0 does nothing.
  std::uint64_t die_ms = 0;
  /// Requests refused with 503 and verdict not_run.
  Countdown refuse = 0;
  /// Requests that get no response at all.
  Countdown hang_first_byte = 0;
  /// Streams that stop after `silent_after_chunks` chunks with the connection left open.
  Countdown silent_streams = 0;
  std::uint32_t silent_after_chunks = 1;
  /// Streams whose connection is closed after `silent_after_chunks` chunks.
  Countdown cut_streams = 0;
  /// Age of the load report.
  std::uint64_t load_lag_ms = 0;
  /// The load report says that the engine is leaving, and new requests are refused with 503.
  bool leaving = false;
};

struct ServiceFaults : CommonFaults {
  /// As for an engine.
  std::string crash_marker;
  std::uint64_t restart_ms = 0;
  std::uint64_t die_ms = 0;
  /// Requests refused with 503 and verdict not_run.
  Countdown refuse = 0;
  /// Requests that are read but neither run nor answered.
  Countdown hang = 0;
  /// Added to the configured delay between execution and response.
  std::uint32_t delay_ms = 0;
  /// The load report says that the service is leaving, and new requests are refused with 503.
  bool leaving = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogFaults, outage, slow_ms, blocked_agents, truncate_answers,
                                   oversize_answers, lose_answers, lose_append_answers,
                                   lose_append_per_mille, refuse_appends, retention_ms,
                                   retention_records)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ListFaults, outage, slow_ms, blocked_agents, truncate_answers,
                                   oversize_answers, lose_answers, lag_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WeightFaults, outage, slow_ms, blocked_agents, truncate_answers,
                                   oversize_answers, lose_answers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EngineFaults, outage, slow_ms, blocked_agents, truncate_answers,
                                   oversize_answers, lose_answers, crash_marker, restart_ms, die_ms,
                                   refuse, hang_first_byte, silent_streams, silent_after_chunks,
                                   cut_streams, load_lag_ms, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceFaults, outage, slow_ms, blocked_agents, truncate_answers,
                                   oversize_answers, lose_answers, crash_marker, restart_ms, die_ms,
                                   refuse, hang, delay_ms, leaving)

/// @brief Sets the members of `faults` that the JSON object `text` contains. Returns
/// kInvalidRequest and leaves `faults` unchanged for an unknown member, a wrong type or an unknown
/// outage.
template <class Faults>
base::Result<void> MergeFaults(Faults& faults, const std::string& text) {
  const nlohmann::json change = nlohmann::json::parse(text, nullptr, false);
  if (!change.is_object()) {
    return base::Fail(base::ErrorCode::kInvalidRequest, "faults must be a JSON object");
  }
  nlohmann::json merged = faults;
  for (const auto& [name, value] : change.items()) {
    const auto it = merged.find(name);
    if (it == merged.end()) {
      return base::Fail(base::ErrorCode::kInvalidRequest, "unknown fault '" + name + "'");
    }
    const bool same_type = it->is_number() ? value.is_number_integer() : it->type() == value.type();
    if (!same_type) {
      return base::Fail(base::ErrorCode::kInvalidRequest, "wrong type for fault '" + name + "'");
    }
    *it = value;
  }
  const std::string outage = merged["outage"];
  if (!outage.empty() && outage != "close" && outage != "hang" && outage != "refuse") {
    return base::Fail(base::ErrorCode::kInvalidRequest,
                      "outage must be empty, close, hang or refuse");
  }
  faults = merged.get<Faults>();
  return {};
}

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_FAULTS_HPP_
