#ifndef PERSIMMONSTAIR_SRC_GATEWAY_TARGET_HEALTH_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_TARGET_HEALTH_HPP_

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "fleet_registry.hpp"
#include "peer_socket.hpp"
#include "persimmonstair/diagnostics/metrics.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/settings.hpp"
#include "persimmonstair/schema/entry_peer.hpp"

namespace persimmonstair::gateway {

/// @brief Number of datagrams that may be sent now, which grows at a fixed rate up to a bound.
class DatagramAllowance {
 public:
  /// Takes up to `wanted` datagrams and returns how many.
  std::size_t Take(base::TimePoint now, std::size_t wanted);

 private:
  double left_ = 0;
  base::TimePoint at_;
};

/// @brief Tells other instances how requests to targets end, and hears it from them.
///
/// Failures wait for the next tick, so that one datagram tells of all of them, and for longer if
/// the instance has sent as many datagrams as it may. A lost notice only makes ejection slower.
class TargetHealthExchange {
 public:
  TargetHealthExchange(PeerSocket& socket, const FleetRegistry& fleet,
                       dispatch::TargetRegistry& targets, diagnostics::Metrics& metrics,
                       const GatewaySettings& settings);

  /// Runs the outlier detector and sends notices; never returns.
  boost::asio::awaitable<void> Run();

 private:
  void Handle(const schema::EntryPeerMessage& message);
  void SendNotices(base::TimePoint now);
  void LogChanges();

  PeerSocket& socket_;
  const FleetRegistry& fleet_;
  dispatch::TargetRegistry& targets_;
  diagnostics::Metrics& metrics_;
  base::InstanceId instance_;
  base::DataCentreId data_centre_;
  DatagramAllowance allowance_;
  /// Other instances, refreshed now and then.
  std::vector<PeerEndpoint> peers_;
  base::TimePoint peers_at_;
  /// First peer of the next notice, if not all get one.
  std::size_t next_peer_ = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_TARGET_HEALTH_HPP_
