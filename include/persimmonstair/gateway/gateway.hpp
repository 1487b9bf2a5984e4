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

/// @brief An entry instance: takes callers' requests, sends them to targets and hands back their
/// answers. Everything runs on the thread of the io_context.
///
///     Gateway gateway(io, settings, dialect, store);
///     if (auto started = gateway.Start(); !started) return Report(started.error());
///     io.run();
class Gateway {
 public:
  /// `dialect` and `store` must outlive the gateway.
  Gateway(boost::asio::io_context& io, GatewaySettings settings, const PlatformCodec& codec,
          RecordStore& store);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Listens and follows the store. Fails if an address can't be used.
  base::Result<void> Start();

  /// Takes no new connections, finishes what was read, hands shares back, then calls `stopped`.
  void Stop(std::function<void()> stopped);

  /// The port at which callers are served, where the settings leave the choice to the system.
  std::uint16_t CallerPort() const;
  std::size_t KnownTargets() const;
  bool HasConfiguration() const;
  /// Version in force; 0 if none is.
  std::uint64_t ConfigurationVersion() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_GATEWAY_HPP_
