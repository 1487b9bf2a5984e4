#ifndef PERSIMMONSTAIR_DISPATCH_EVACUATIONS_HPP_
#define PERSIMMONSTAIR_DISPATCH_EVACUATIONS_HPP_

#include <set>
#include <utility>
#include <vector>

#include "persimmonstair/base/ids.hpp"

namespace persimmonstair::dispatch {

/// @brief The beginning or end of an evacuation.
struct EvacuationChange {
  base::DataCentreId data_centre;
  bool begun = false;

  bool operator==(const EvacuationChange&) const = default;
};

/// @brief The data centres that the operator evacuates: no request is sent to their targets.
class Evacuations {
 public:
  /// Begins or ends an evacuation. Returns true if that is a change.
  bool Set(const base::DataCentreId& data_centre, bool evacuated) {
    return evacuated ? data_centres_.insert(data_centre).second
                     : data_centres_.erase(data_centre) > 0;
  }

  /// Replaces the data centres by those of a full read. Returns the changes.
  std::vector<EvacuationChange> Replace(std::set<base::DataCentreId> data_centres) {
    std::vector<EvacuationChange> changes;
    for (const auto& one : data_centres_) {
      if (!data_centres.contains(one)) changes.push_back({one, false});
    }
    for (const auto& one : data_centres) {
      if (!data_centres_.contains(one)) changes.push_back({one, true});
    }
    data_centres_ = std::move(data_centres);
    return changes;
  }

  const std::set<base::DataCentreId>& DataCentres() const { return data_centres_; }

 private:
  std::set<base::DataCentreId> data_centres_;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_EVACUATIONS_HPP_
