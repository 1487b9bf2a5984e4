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

/// @brief Another instance known from the settings.
struct PeerInfo {
  base::InstanceId instance;
  base::DataCentreId data_centre;
};

/// @brief Identity and limits of one instance's scheduler.
struct Options {
  base::InstanceId instance;
  base::DataCentreId data_centre;
  /// Text that differs between any two processes of the fleet; part of record and program ids.
  std::string process;
  /// Number of this process lifetime, the same as the peer transport's.
  base::Incarnation incarnation;
  std::vector<PeerInfo> peers;
  std::uint64_t seed = 0;
  /// Keyed requests are refused after this time without log and without any peer.
  base::Duration alone_stop = std::chrono::seconds{10};
  /// The same without log and without another data centre.
  base::Duration datacentre_stop = std::chrono::hours{1};
  /// Longest planned stop.
  base::Duration stop_timeout = std::chrono::seconds{30};
  /// New requests are still served this long after a planned stop began, while the balancer
  /// notices that the instance is not ready any more.
  base::Duration stop_grace = std::chrono::seconds{2};
  /// Append calls a second of this instance, over all streams; 11 instances stay below 200.
  double appends_per_s = 16;
  /// Retention time of the log.
  base::Duration retention = std::chrono::hours{24};
  /// Time between two load reads of an engine.
  base::Duration load_interval = std::chrono::seconds{1};
};

/// @brief Figures for /status and metrics.
struct Status {
  bool ready = false;
  bool stopping = false;
  bool log_reachable = false;
  std::uint64_t catalogue_version = 0;
  base::Incarnation incarnation;
  std::vector<base::InstanceId> live;
  std::size_t requests = 0;
  std::size_t queued = 0;
  std::size_t running = 0;
  std::size_t programs_known = 0;
  std::size_t program_bytes = 0;
  std::size_t unsettled = 0;
  std::uint64_t records_skipped = 0;
  std::uint64_t appends = 0;
  std::uint64_t records_appended = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t rate_refusals = 0;
};

/// @brief All decisions of one instance. It does no input or output: events come in with the time,
/// actions go out. Not thread-safe; one thread calls it.
///
///     Scheduler scheduler{options};
///     for (Action& action : scheduler.Handle(now, Tick{})) Execute(std::move(action));
class Scheduler {
 public:
  explicit Scheduler(Options options);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  /// `now.monotonic` must not go back between calls.
  std::vector<Action> Handle(const base::Now& now, Event event);

  Status status(const base::Now& now) const;

  /// Streams that the daemon has to follow, each from its oldest retained offset.
  static std::vector<base::StreamName> Streams();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_SCHEDULER_HPP_
