#ifndef PERSIMMONSTAIR_DISPATCH_INSTANCE_SPREAD_HPP_
#define PERSIMMONSTAIR_DISPATCH_INSTANCE_SPREAD_HPP_

#include <cstdint>
#include <limits>

namespace persimmonstair::dispatch {

/// @brief Preference of an instance among targets of a service that are equally good.
///
/// The targets form a ring, in an order that differs between instances. The instance prefers one of
/// them for kRequestsForTarget requests and then the one that it has used least. So it reuses its
/// connections, and different instances use different targets at a time.
class InstanceSpread {
 public:
  /// Requests for which a target is preferred. More need fewer new connections, but leave the load
  /// of the targets uneven for longer.
  static constexpr std::uint32_t kRequestsForTarget = 16;

  /// Returns 0 for the preferred target, and 0.7 to 1 for others, less for those that follow
  /// soon on the ring. `place` is the target's place on the ring.
  double Distance(std::uint64_t place) const {
    if (place == preferred_) return 0;
    return 0.7 + 0.3 * static_cast<double>(place - preferred_) / kRing;
  }

  /// Returns true if the preference should move on.
  bool CountRequest() { return requests_++ % kRequestsForTarget == 0; }

  void MoveTo(std::uint64_t place) {
    preferred_ = place;
    requests_ = 1;
  }

 private:
  static constexpr auto kRing = static_cast<double>(std::numeric_limits<std::uint64_t>::max());

  std::uint64_t preferred_ = 0;
  std::uint32_t requests_ = 0;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_INSTANCE_SPREAD_HPP_
