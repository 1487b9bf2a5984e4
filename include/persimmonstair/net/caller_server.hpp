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

/// @brief Address and bounds of the listener for callers.
struct CallerServerOptions {
  /// Port 0 takes a free port, see CallerServer::Port().
  schema::CallerSettings caller;
  /// Plain HTTP when the certificate file is empty.
  schema::TlsSettings tls;
  /// Unsent bytes of one connection at which its caller counts as too slow and is disconnected.
  std::size_t max_unsent_bytes = 4U << 20U;
};

/// @brief What the server tells its owner. All functions are called on input/output threads and
/// must not block.
struct CallerServerHandlers {
  /// Identifier for the next request; unique in the process.
  std::function<base::RequestId()> next_request;
  /// Takes a request. False means that there is no room: the server answers `overloaded`.
  std::function<bool(scheduler::CallerRequest)> on_request;
  /// The caller of an unanswered request disconnected.
  std::function<void(base::RequestId)> on_disconnect;
};

/// @brief HTTP/1.1 server for callers. The functions may be called from any thread and never block,
/// except WaitUntilAnswered() and Stop().
class CallerServer {
 public:
  virtual ~CallerServer() = default;

  /// Ends a request; unknown ids (the caller is gone) are ignored.
  virtual void Reply(scheduler::Reply reply) = 0;
  /// Sends part of a stream. The first part sends status 200 and `text/event-stream`.
  virtual void Relay(base::RequestId request, std::string data) = 0;
  /// From now on each answer carries `Connection: close`. New connections are still accepted, so
  /// that a request that arrives late is refused by the scheduler and not by a reset connection.
  virtual void BeginDrain() = 0;
  /// Waits until each request has been answered and its answer sent; false after the timeout.
  virtual bool WaitUntilAnswered(std::chrono::milliseconds timeout) = 0;
  /// Closes the listener and all connections.
  virtual void Stop() = 0;

  virtual std::uint16_t Port() const = 0;
  virtual std::size_t Connections() const = 0;
};

/// @brief Opens the listener. Fails with kInvalidRequest for an unusable address or certificate.
base::Result<std::unique_ptr<CallerServer>> StartCallerServer(IoPool& pool,
                                                              CallerServerOptions options,
                                                              CallerServerHandlers handlers);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_CALLER_SERVER_HPP_
