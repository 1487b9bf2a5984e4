#ifndef PERSIMMONSTAIR_DAEMON_ADMIN_SERVER_HPP_
#define PERSIMMONSTAIR_DAEMON_ADMIN_SERVER_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::daemon {

/// @brief HTTP response to an admin request.
struct AdminResponse {
  /// HTTP status.
  unsigned status = 200;
  /// Value of the Content-Type header.
  std::string type = "application/json";
  std::string body;
};

/// Called on the server's thread with the method and the path (without query) of a request.
using AdminHandler = std::function<AdminResponse(const std::string&, const std::string&)>;

/// @brief HTTP server for metrics, health checks and operators, on a thread of its own.
class AdminServer {
 public:
  virtual ~AdminServer() = default;
  /// Port of the listener; the one that was chosen if the server was started with port 0.
  virtual std::uint16_t Port() const = 0;
  /// Stops the server and joins its thread. Can be called more than once.
  virtual void Stop() = 0;
};

/// @brief Opens the listener and starts the thread. `address` is an IP address; port 0 takes a free
/// port, see AdminServer::Port(). Fails with kInvalidRequest if the listener cannot be opened, for
/// example because the port is in use.
base::Result<std::unique_ptr<AdminServer>> StartAdminServer(const std::string& address,
                                                            std::uint32_t port,
                                                            AdminHandler handler);

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_ADMIN_SERVER_HPP_
