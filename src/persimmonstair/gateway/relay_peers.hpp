#ifndef PERSIMMONSTAIR_SRC_GATEWAY_RELAY_PEERS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_RELAY_PEERS_HPP_

#include <map>
#include <random>
#include <vector>

#include "fleet_registry.hpp"
#include "persimmonstair/base/time.hpp"

namespace persimmonstair::gateway {

/// @brief Orders the instances that may relay a connection to a target.
///
/// Those that relayed one lately come first, then instances of this data centre and of others by
/// turns, because the instances of one data centre often lose the same links. Among equals the
/// order is random, so that the load is spread.
class RelayPeers {
 public:
  /// Returns the instances to ask, best first, at most `kMaxTries`. Those that failed lately
  /// are left out, unless there are no others.
  std::vector<dispatch::Endpoint> Order(base::TimePoint now,
                                        std::vector<RelayCandidate> candidates);

  /// Records that the instance relayed a connection.
  void OnRelayed(base::TimePoint now, const dispatch::Endpoint& peer);
  /// Records that the instance can't relay any connection at present.
  void OnFailed(base::TimePoint now, const dispatch::Endpoint& peer);

  /// Instances that are asked for one connection.
  static constexpr std::size_t kMaxTries = 4;

 private:
  struct Health {
    base::TimePoint good_until;
    base::TimePoint avoided_until;
  };

  std::map<dispatch::Endpoint, Health> health_;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_RELAY_PEERS_HPP_
