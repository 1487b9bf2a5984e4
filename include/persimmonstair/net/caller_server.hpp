#ifndef PERSIMMONSTAIR_NET_CALLER_SERVER_HPP_
#define PERSIMMONSTAIR_NET_CALLER_SERVER_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/net/io_pool.hpp"
#include "persimmonstair/scheduler/actions.hpp"
#include "persimmonstair/scheduler/events.hpp"
#include "persimmonstair/schema/settings.hpp"

namespace persimmonstair::net {

/// @brief Address, TLS files and limits of the server for callers.
struct CallerServerOptions {
  /// With port 0 the system chooses a free port; CallerServer::Port() returns it.
  schema::CallerSettings caller;
  /// If the certificate file is empty, the server uses plain HTTP.
  schema::TlsSettings tls;
  /// A connection with more than this many unsent bytes of a stream is closed, because its caller
  /// reads too slowly.
  std::size_t max_unsent_bytes = 4U << 20U;
};

/// @brief Callbacks of the server. They run on the threads of the IoPool and must not block.
struct CallerServerHandlers {
  /// Returns the id for the next request; it must be unique in the process.
  std::function<base::RequestId()> next_request;
  /// Hands over a request. Returns false if the request cannot be queued; the server then responds
  /// with the error `overloaded`.
  std::function<bool(scheduler::CallerRequest)> on_request;
  /// Called when the connection of a caller is closed before its request got a reply.
  std::function<void(base::RequestId)> on_disconnect;
};

/// @brief HTTP/1.1 server for callers. Reads requests, passes them to the handlers and sends the
/// replies. The functions may be called from any thread. Only WaitUntilAnswered() and Stop() may
/// block.
class CallerServer {
 public:
  virtual ~CallerServer() = default;

  /// Completes a request. An unknown id is ignored, because the caller may have disconnected.
  virtual void Reply(scheduler::Reply reply) = 0;
  /// Sends a part of a streamed response. The first part is preceded by a header with status 200
  /// and the content type `text/event-stream`.
  virtual void Relay(base::RequestId request, std::string data) = 0;
  /// Makes each further response carry `Connection: close`. New connections are still accepted, so
  /// that a late request gets an error from the scheduler instead of a connection reset.
  virtual void BeginDrain() = 0;
  /// Waits until the response to each request has been sent. Returns false on timeout.
  virtual bool WaitUntilAnswered(std::chrono::milliseconds timeout) = 0;
  /// Closes the listener and all connections.
  virtual void Stop() = 0;

  virtual std::uint16_t Port() const = 0;
  /// Returns the number of open connections, including those that are being rejected.
  virtual std::size_t Connections() const = 0;
};

/// @brief Starts a server on the threads of `pool`. Fails with kInvalidRequest if the address
/// cannot be bound or the certificate or key file cannot be loaded.
base::Result<std::unique_ptr<CallerServer>> StartCallerServer(IoPool& pool,
                                                              CallerServerOptions options,
                                                              CallerServerHandlers handlers);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_CALLER_SERVER_HPP_
