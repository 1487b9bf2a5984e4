#ifndef PERSIMMONSTAIR_GATEWAY_SETTINGS_HPP_
#define PERSIMMONSTAIR_GATEWAY_SETTINGS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"

namespace persimmonstair::gateway {

/// @brief What an entry instance is told about itself at its start.
struct GatewaySettings {
  base::InstanceId instance;
  base::DataCentreId data_centre;
  /// Where callers connect.
  dispatch::Endpoint listen;
  /// Where the platform asks whether the instance takes new connections.
  dispatch::Endpoint readiness_listen;
  /// Path of that question.
  std::string readiness_path;
  dispatch::Endpoint metrics_listen;
  /// UDP, for other instances.
  dispatch::Endpoint peer_listen;
  /// Parts of each stream of the store.
  std::uint32_t parts_of_stream = 8;
  /// Bytes of kept turns that are cached.
  std::size_t turn_cache_bytes = std::size_t{24} << 20U;
  /// Time from the signal to stop until the process is killed.
  base::Duration stop_time = std::chrono::seconds{8};
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_SETTINGS_HPP_
