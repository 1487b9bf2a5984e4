#ifndef PERSIMMONSTAIR_STANDIN_FAULTS_HPP_
#define PERSIMMONSTAIR_STANDIN_FAULTS_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::standin {

/// @brief Number of coming answers that a fault applies to; negative means all.
using Countdown = std::int64_t;

/// @brief True if the fault applies now; counts a positive number down.
inline bool ConsumeFault(Countdown& remaining) {
  if (remaining > 0)
    --remaining;
  else
    return remaining < 0;
  return true;
}

/// @brief Faults of every role.
struct CommonFaults {
  /// "" for none, "close" (no answer), "hang" or "refuse" (503 not_run).
  std::string outage;
  std::uint32_t slow_ms = 0;
  /// User-Agent values whose connections are closed without an answer, as in a partition.
  std::vector<std::string> blocked_agents;
  Countdown truncate_answers = 0;
  Countdown oversize_answers = 0;
  /// The request takes effect; the connection closes without an answer.
  Countdown lose_answers = 0;
};

struct LogFaults : CommonFaults {
  /// The records are stored; the connection closes without an answer.
  Countdown lose_append_answers = 0;
  /// The same for a random part of the appends.
  std::uint32_t lose_append_per_mille = 0;
  Countdown refuse_appends = 0;
  /// Older records are dropped; 0 keeps them.
  std::uint64_t retention_ms = 0;
  /// Records kept for each stream; 0 keeps all.
  std::uint64_t retention_records = 0;
};

struct ListFaults : CommonFaults {
  /// Age of the state that readers get.
  std::uint64_t lag_ms = 0;
};

struct WeightFaults : CommonFaults {};

struct EngineFaults : CommonFaults {
  /// A request whose body contains this text crashes the engine; empty for none.
  std::string crash_marker;
  /// Time after a crash until the engine listens again; 0 breaks only the request's connection.
  std::uint64_t restart_ms = 0;
  /// Crashes now, and listens again after this time.
  std::uint64_t die_ms = 0;
  Countdown refuse = 0;
  Countdown hang_first_byte = 0;
  /// Streams that go silent after `silent_after_chunks` chunks.
  Countdown silent_streams = 0;
  std::uint32_t silent_after_chunks = 1;
  /// Streams whose connection closes after `silent_after_chunks` chunks.
  Countdown cut_streams = 0;
  /// Age of the load report.
  std::uint64_t load_lag_ms = 0;
  bool leaving = false;
};

struct ServiceFaults : CommonFaults {
  std::string crash_marker;
  std::uint64_t restart_ms = 0;
  std::uint64_t die_ms = 0;
  Countdown refuse = 0;
  /// Takes the request, runs nothing and says nothing.
  Countdown hang = 0;
  std::uint32_t delay_ms = 0;
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

/// @brief Sets the members that `text` names. kInvalidRequest for unknown members, wrong types and
/// unknown outages; `faults` is then unchanged.
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
