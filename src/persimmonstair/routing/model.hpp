#ifndef PERSIMMONSTAIR_SRC_ROUTING_MODEL_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_MODEL_HPP_

#include <boost/circular_buffer.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/base/verdict.hpp"
#include "persimmonstair/catalogue/entries.hpp"
#include "persimmonstair/routing/events.hpp"

namespace persimmonstair::routing {

struct RequestClass;
struct Request;

/// @brief Signs that a target is leaving, one for each source.
struct LeavingState {
  bool catalogue = false;
  bool instance_list = false;
  bool self_reported = false;
  /// Whether and when the target last stated its state.
  bool reported = false;
  base::TimePoint reported_at;

  bool Any() const { return catalogue || instance_list || self_reported; }
};

/// @brief What is known about the connections to a target.
struct Health {
  /// Gets no requests until a probe succeeds.
  bool suspect = false;
  /// Pooled connections may be silent; set until a fresh one has answered.
  bool fresh_only = false;
  bool probe_running = false;
  /// A probe is due at `probe_at`.
  bool probe_due = false;
  base::TimePoint probe_at;
  base::Duration probe_pause{0};
};

/// @brief A target with the load that this instance knows of.
struct Target {
  catalogue::Target entry;
  /// Position in the order of first appearance.
  std::uint32_t index = 0;
  /// In the catalogue version now in force.
  bool listed = false;
  LeavingState leaving;
  Health health;
  /// Its data centre is cut off.
  bool unreachable = false;

  std::uint32_t own_in_flight = 0;
  /// Sum of the other instances' counts.
  std::uint32_t peers_in_flight = 0;
  /// Requests in the last report that are not this instance's own.
  std::uint32_t reported_others = 0;
  base::TimePoint report_until;
  /// Recent values of `own`, to compare with a report of the past.
  boost::circular_buffer<std::pair<base::TimePoint, std::uint32_t>> own_in_flight_history{64};
  /// Running attempts of requests that have crashed a target before.
  std::uint32_t crash_suspects = 0;
  /// Estimated prefill time of own attempts that have had no first byte.
  double prefill_backlog_s = 0;

  std::vector<RequestClass*> classes;
  /// Sort key in RequestClass::available while `ranked`.
  double rank = 0;
  bool is_available = false;
};

/// @brief A program tree's attained service.
struct Program {
  /// Engine seconds.
  double attained = 0;
  base::TimePoint used_at;
  std::uint32_t running = 0;
  std::set<Request*> queued;
};

struct Workspace {
  base::WorkspaceId id;
  std::uint32_t index = 0;
  double weight = 1;
  /// Queued requests by order of arrival.
  std::set<std::pair<std::uint64_t, Request*>> queued;
  /// Engine time of finished attempts.
  std::uint64_t attained_us = 0;
};

/// @brief A request between RequestQueued and its end.
struct Request {
  RequestQueued spec;
  std::uint64_t sequence = 0;
  base::TimePoint queued_at;
  base::TimePoint deadline;
  RequestClass* request_class = nullptr;
  Workspace* workspace = nullptr;
  Program* program = nullptr;
  base::ProgramId program_key;
  base::Verdict verdict = base::Verdict::kNotRun;
  std::uint32_t attempts = 0;
  /// Times that a later request went first because of its cached prefix.
  std::uint32_t bypassed = 0;
  bool cancelled = false;
  /// Targets at which an attempt failed.
  std::set<std::uint32_t> failed_at;
  /// Engine seconds charged for waiting in the queue's order; what the queue entry is keyed by.
  double queue_key = 0;
  double backlog_s = 0;

  bool running = false;
  /// Had crashed a target before this attempt.
  bool crash_suspect = false;
  base::AttemptId attempt;
  Target* target = nullptr;
  base::TimePoint dispatched_at;
  bool fresh = false;
  bool cancel_sent = false;
  bool first_byte = false;
  double charged_s = 0;
  double prefill_s = 0;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_MODEL_HPP_
