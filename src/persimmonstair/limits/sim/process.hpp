#ifndef PERSIMMONSTAIR_LIMITS_SIM_PROCESS_HPP_
#define PERSIMMONSTAIR_LIMITS_SIM_PROCESS_HPP_

#include <set>
#include <string>
#include <vector>

#include "sim/world.hpp"

namespace persimmonstair::limits::sim {

inline base::InstanceId InstanceName(std::size_t n) {
  return base::InstanceId{"i" + std::to_string(n)};
}
inline base::WorkspaceId WorkspaceName(std::size_t n) {
  return base::WorkspaceId{"w" + std::to_string(n)};
}
inline std::size_t NumberOf(const std::string& name) { return std::stoul(name.substr(1)); }

/// @brief One process: the libraries, and what a daemon would keep around them.
struct World::Process {
  Process(std::size_t instance_number, const std::string& name, base::DataCentreId data_centre,
          const Switches& switches, std::uint64_t seed)
      : instance(instance_number),
        id(InstanceName(instance_number)),
        data_centre(data_centre),
        registry(switches.registry),
        liveness(id, data_centre),
        lease_manager({id, data_centre, name}, switches.times, switches.lease_manager),
        limiter(id, name, seed, {}, switches.limiter) {}

  base::TimePoint LocalTime(base::TimePoint world) const { return world + clock_offset; }

  std::size_t instance;
  base::InstanceId id;
  base::DataCentreId data_centre;
  membership::Registry registry;
  membership::Liveness liveness;
  membership::LeaseManager lease_manager;
  Limiter limiter;

  base::Duration clock_offset{0};
  /// How long the log counts as reachable after the last successful read.
  base::Duration reachable_for{0};
  bool alive = true;
  base::TimePoint paused_until;
  base::TimePoint last_read;
  base::TimePoint last_append;
  base::TimePoint wake_at = base::TimePoint::max();
  std::size_t config = 0;
  std::vector<schema::Record> queue;
  std::uint64_t append_number = 0;
  bool append_in_flight = false;
};

}  // namespace persimmonstair::limits::sim

#endif  // PERSIMMONSTAIR_LIMITS_SIM_PROCESS_HPP_
