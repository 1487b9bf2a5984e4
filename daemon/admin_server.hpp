#ifndef PERSIMMONSTAIR_DAEMON_ADMIN_SERVER_HPP_
#define PERSIMMONSTAIR_DAEMON_ADMIN_SERVER_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::daemon {

struct AdminResponse {
  unsigned status = 200;
  std::string type = "application/json";
  std::string body;
};

/// Called on the server's thread with method and path.
using AdminHandler = std::function<AdminResponse(const std::string&, const std::string&)>;

/// @brief Small HTTP server on a thread of its own for metrics and operators.
class AdminServer {
 public:
  virtual ~AdminServer() = default;
  virtual std::uint16_t Port() const = 0;
  /// Ends the thread; can be called twice.
  virtual void Stop() = 0;
};

base::Result<std::unique_ptr<AdminServer>> StartAdminServer(const std::string& address,
                                                            std::uint32_t port,
                                                            AdminHandler handler);

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_ADMIN_SERVER_HPP_
