#ifndef PERSIMMONSTAIR_SCHEDULER_SCHEDULER_HPP_
#define PERSIMMONSTAIR_SCHEDULER_SCHEDULER_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/scheduler/actions.hpp"
#include "persimmonstair/scheduler/events.hpp"

namespace persimmonstair::scheduler {

/// @brief Another instance, known from the settings.
struct PeerInfo {
  base::InstanceId instance;
  base::DataCentreId data_centre;
};

/// @brief Identity and limits of one instance's scheduler.
struct Options {
  base::InstanceId instance;
  base::DataCentreId data_centre;
  /// Text that no other process of the fleet uses, not even a later one of the same instance; part
  /// of record and program ids.
  std::string process;
  /// Incarnation of this process; equal to the one that the peer transport sends.
  base::Incarnation incarnation;
  std::vector<PeerInfo> peers;
  std::uint64_t seed = 0;
  /// Requests with a key are refused once neither the log nor any peer was reachable for this time,
  /// because a withdrawal of the key could not be received.
  base::Duration alone_stop = std::chrono::seconds{10};
  /// Requests with a key are refused once neither the log nor any other data centre was reachable
  /// for this time.
  base::Duration datacentre_stop = std::chrono::hours{1};
  /// Maximum duration of a planned stop; then the process stops with unfinished work.
  base::Duration stop_timeout = std::chrono::seconds{30};
  /// New requests are still accepted for this long after a planned stop began, until the load
  /// balancer sees that the instance is no longer ready.
  base::Duration stop_grace = std::chrono::seconds{2};
  /// Maximum append calls per second of this instance over all streams. With this default, 11
  /// instances together make fewer than 200.
  double appends_per_s = 16;
  /// Retention time of the log.
  base::Duration retention = std::chrono::hours{24};
  /// Time between two load requests to the same target.
  base::Duration load_interval = std::chrono::seconds{1};
};

/// @brief State and counters of the scheduler for /status and metrics.
struct Status {
  /// All streams have been read and no planned stop is in progress.
  bool ready = false;
  bool stopping = false;
  bool log_reachable = false;
  std::uint64_t catalogue_version = 0;
  base::Incarnation incarnation;
  /// Instances considered live, including this one unless it is stopping.
  std::vector<base::InstanceId> live;
  /// Requests in progress, including those forwarded to another instance.
  std::size_t requests = 0;
  /// Requests in the router's queue.
  std::size_t queued = 0;
  /// Requests running at a target.
  std::size_t running = 0;
  /// Programs in the index, whichever instance owns them.
  std::size_t programs_known = 0;
  /// Estimated memory of the owned programs.
  std::size_t program_bytes = 0;
  /// Owned programs, memory releases, turn copies and effects that are not settled.
  std::size_t unsettled = 0;
  /// Log records that could not be decoded.
  std::uint64_t records_skipped = 0;
  /// Append calls made.
  std::uint64_t appends = 0;
  /// Records sent in append calls.
  std::uint64_t records_appended = 0;
  /// Requests forwarded to another instance.
  std::uint64_t forwarded = 0;
  /// Requests refused by the rate limit.
  std::uint64_t rate_refusals = 0;
};

/// @brief Makes all decisions of one instance. It performs no input or output: the caller passes
/// events with the current time and executes the returned actions. Not thread-safe.
///
///     Scheduler scheduler{options};
///     for (Action& action : scheduler.Handle(now, Tick{})) Execute(std::move(action));
class Scheduler {
 public:
  explicit Scheduler(Options options);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  /// Processes an event and returns the actions to execute, in order. `now.monotonic` must not
  /// decrease between calls.
  std::vector<Action> Handle(const base::Now& now, Event event);

  Status status(const base::Now& now) const;

  /// Log streams whose records the caller has to pass as LogRead events, each from its oldest
  /// retained offset.
  static std::vector<base::StreamName> Streams();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_SCHEDULER_HPP_
