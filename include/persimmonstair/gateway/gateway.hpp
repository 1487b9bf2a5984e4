#ifndef PERSIMMONSTAIR_GATEWAY_GATEWAY_HPP_
#define PERSIMMONSTAIR_GATEWAY_GATEWAY_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/gateway/platform_codec.hpp"
#include "persimmonstair/gateway/record_store.hpp"
#include "persimmonstair/gateway/settings.hpp"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace persimmonstair::gateway {

/// @brief An entry instance, which accepts callers' requests, forwards them to targets and returns
/// the responses. Everything runs on the thread of the io_context.
///
///     Gateway gateway(io, settings, codec, store);
///     if (auto started = gateway.Start(); !started) return Report(started.error());
///     io.run();
class Gateway {
 public:
  /// `codec` and `store` must outlive the gateway.
  Gateway(boost::asio::io_context& io, GatewaySettings settings, const PlatformCodec& codec,
          RecordStore& store);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Opens the listening sockets and starts to read the store. Fails if an address can't be bound.
  base::Result<void> Start();

  /// Stops accepting connections, finishes the open requests, releases the quota shares and then
  /// calls `stopped`.
  void Stop(std::function<void()> stopped);

  /// Port on which callers are served, also where the settings let the system choose one.
  std::uint16_t CallerPort() const;
  /// True if the instance takes new connections, as the platform is told.
  bool Ready() const;
  std::size_t KnownTargets() const;
  bool HasConfiguration() const;
  /// Version of the configuration in force; 0 if there is none.
  std::uint64_t ConfigurationVersion() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_GATEWAY_HPP_
