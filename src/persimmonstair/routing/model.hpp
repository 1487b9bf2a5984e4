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

/// @brief Whether a target is leaving, as stated by each of three sources.
struct LeavingState {
  bool catalogue = false;
  bool instance_list = false;
  bool self_reported = false;
  /// Whether a statement by the target itself or about it by a peer has arrived, and the time of
  /// the last one.
  bool reported = false;
  base::TimePoint reported_at;

  bool Any() const { return catalogue || instance_list || self_reported; }
};

/// @brief Health of a target, derived from the connections to it and from probes.
struct Health {
  /// The target gets no requests until a probe succeeds.
  bool suspect = false;
  /// Pooled connections may be dead. Requests use new connections until one of these responds.
  bool fresh_connections_only = false;
  bool probe_running = false;
  /// A probe is to be sent at `probe_at`.
  bool probe_due = false;
  base::TimePoint probe_at;
  /// Pause before the next probe. It doubles with each failed probe, within the limits of the
  /// settings.
  base::Duration probe_pause{0};
};

/// @brief A target with its health and its load, as far as this instance knows them.
struct Target {
  catalogue::Target entry;
  /// Index in the order in which targets first appeared.
  std::uint32_t index = 0;
  /// The target is in the current catalogue version.
  bool listed = false;
  LeavingState leaving;
  Health health;
  /// The target's data centre can't be reached from this one.
  bool unreachable = false;

  /// Number of running attempts of this instance.
  std::uint32_t own_in_flight = 0;
  /// Sum of the counts of running attempts from other instances' heartbeats.
  std::uint32_t peers_in_flight = 0;
  /// Number of requests in the target's last report that don't come from this instance; 0 after the
  /// report has expired at `report_until`.
  std::uint32_t reported_others = 0;
  base::TimePoint report_until;
  /// Recent values of `own_in_flight`, to compare with reports that describe a time in the past.
  boost::circular_buffer<std::pair<base::TimePoint, std::uint32_t>> own_in_flight_history{64};
  /// Number of running attempts whose requests have taken part in a crash before.
  std::uint32_t crash_suspects = 0;
  /// Estimated prefill time in seconds of this instance's attempts that have received no first
  /// byte.
  double prefill_backlog_s = 0;

  std::vector<RequestClass*> classes;
  /// Sort key in RequestClass::available; valid while `is_available`.
  double rank = 0;
  /// The target is in RequestClass::available of its classes.
  bool is_available = false;
};

/// @brief A root program with its sub-programs, which are scheduled as one.
struct ProgramTree {
  /// Attained service: engine seconds received (see FairQueue).
  double attained_s = 0;
  base::TimePoint last_used_at;
  std::uint32_t running = 0;
  std::set<Request*> queued;
};

struct Workspace {
  base::WorkspaceId id;
  std::uint32_t index = 0;
  double weight = 1;
  /// Queued requests in the order of arrival.
  std::set<std::pair<std::uint64_t, Request*>> queued;
  /// Engine time of ended attempts, in microseconds.
  std::uint64_t attained_us = 0;
};

/// @brief State of a request from RequestQueued until its end.
struct Request {
  RequestQueued spec;
  /// Number in the order of arrival.
  std::uint64_t sequence = 0;
  base::TimePoint queued_at;
  base::TimePoint deadline;
  RequestClass* request_class = nullptr;
  Workspace* workspace = nullptr;
  /// Null if the request belongs to no program.
  ProgramTree* program = nullptr;
  /// Key of `program`: the workspace and the id of the root, because different workspaces may use
  /// the same id.
  base::ProgramId program_key;
  /// Whether any attempt so far may have run the request.
  base::Verdict verdict = base::Verdict::kNotRun;
  std::uint32_t attempts = 0;
  /// Number of times that a later request was dispatched first because of its cached prefix.
  std::uint32_t bypassed = 0;
  bool cancelled = false;
  /// Indices of the targets at which an attempt failed.
  std::set<std::uint32_t> failed_at;
  /// Attained service of the program as used in the sort key of the queue entry.
  double queue_key = 0;
  /// Estimated engine seconds that the request adds to the backlog of its flow.
  double backlog_s = 0;

  bool running = false;
  /// The request had taken part in a crash before this attempt.
  bool crash_suspect = false;
  base::AttemptId attempt;
  Target* target = nullptr;
  base::TimePoint dispatched_at;
  /// The attempt uses a new connection instead of a pooled one.
  bool fresh_connection = false;
  bool cancel_sent = false;
  bool first_byte = false;
  /// Estimated engine seconds charged at dispatch; corrected when the attempt ends.
  double charged_s = 0;
  /// Estimated prefill time in seconds, as added to Target::prefill_backlog_s.
  double prefill_s = 0;
};

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_MODEL_HPP_
