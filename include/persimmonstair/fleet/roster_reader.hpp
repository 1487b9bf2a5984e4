#ifndef PERSIMMONSTAIR_FLEET_ROSTER_READER_HPP_
#define PERSIMMONSTAIR_FLEET_ROSTER_READER_HPP_

#include <map>
#include <string>
#include <vector>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::fleet {

/// @brief What a record of a collector says about instances.
struct RosterNews {
  /// Instances that are reported as running. Valid until the reader is called again.
  std::vector<const schema::ShareReport*> running;
  /// Instances that the collector no longer hears of.
  std::vector<base::InstanceId> silent;
};

/// @brief Translates the records of collectors into reports of instances.
class RosterReader {
 public:
  RosterNews OnRoster(base::TimePoint now, const schema::FleetRoster& roster);
  /// Returns nothing if the roster that the beat repeats isn't known.
  RosterNews OnBeat(const schema::RosterBeat& beat) const;

  /// Ignores the process from now on: a collector may report it for a short time after its stop.
  void OnStopped(base::TimePoint now, const std::string& process);

 private:
  struct Known {
    schema::FleetRoster roster;
    base::TimePoint read_at;
  };

  std::vector<const schema::ShareReport*> Running(const schema::FleetRoster& roster) const;

  std::map<base::InstanceId, Known> rosters_;
  /// Stopped processes and the time at which they are forgotten.
  std::map<std::string, base::TimePoint> stopped_;
};

}  // namespace persimmonstair::fleet

#endif  // PERSIMMONSTAIR_FLEET_ROSTER_READER_HPP_
