#ifndef PERSIMMONSTAIR_GATEWAY_SETTINGS_HPP_
#define PERSIMMONSTAIR_GATEWAY_SETTINGS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/record_store.hpp"

namespace persimmonstair::gateway {

/// @brief Settings of an instance of the gateway. They don't change while it runs.
struct GatewaySettings {
  base::InstanceId instance;
  base::DataCentreId data_centre;
  /// Address for callers.
  dispatch::Endpoint listen;
  /// Address for the platform's readiness checks.
  dispatch::Endpoint readiness_listen;
  /// Path of the readiness checks.
  std::string readiness_path;
  /// Address for the collection of metrics.
  dispatch::Endpoint metrics_listen;
  /// UDP address for other instances.
  dispatch::Endpoint peer_listen;
  /// Address of the record store, to which this instance relays connections for others.
  dispatch::Endpoint store;
  /// Number of partitions in each stream of the store.
  std::uint32_t parts_of_stream = 8;
  /// Write calls a second that the store accepts from all instances together.
  double store_writes_per_s = 800;
  /// Sizes of records and calls that the store accepts.
  StoreLimits store_limits;
  /// Time after which a target that has said that it leaves must get no further requests.
  base::Duration target_leave_time = std::chrono::seconds{2};
  /// Size limit of the cache of stored turns, in bytes.
  std::size_t turn_cache_bytes = std::size_t{24} << 20U;
  /// Memory of the machine in bytes; 0 for the limit of the address space, if there is one.
  std::size_t memory_bytes = 0;
  /// Descriptors of the machine; 0 for the limit of the process, if there is one.
  std::size_t max_fds = 0;
  /// Time that the platform leaves between the stop signal and killing the process.
  base::Duration stop_grace_period = std::chrono::seconds{8};
  /// Maximum time for a reservation of tokens, which usually takes one append to the store.
  base::Duration reservation_timeout = std::chrono::seconds{1};
  /// Time after which another instance that did not answer a message is sent it again.
  base::Duration peer_answer_timeout = std::chrono::milliseconds{30};
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_SETTINGS_HPP_
