#ifndef PERSIMMONSTAIR_DISPATCH_SERVICE_LOAD_HPP_
#define PERSIMMONSTAIR_DISPATCH_SERVICE_LOAD_HPP_

#include <cstddef>

namespace persimmonstair::dispatch {

/// @brief Load of a service's targets, as far as their recent responses report it.
struct ServiceLoad {
  /// Requests that run or wait at a target, divided by its slots; mean over `reporting` targets.
  double load = 0;
  /// Targets that the load is based on.
  std::size_t reporting = 0;
  /// Targets of the service that requests may be sent to.
  std::size_t available = 0;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_SERVICE_LOAD_HPP_
