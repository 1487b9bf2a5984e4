#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_HTTP_CLIENT_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_HTTP_CLIENT_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/service_clients/endpoint.hpp"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace persimmonstair::service_clients {

/// @brief Limits of an HttpClient.
struct HttpLimits {
  std::uint64_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = 16U << 20U;
  /// Largest number of connections kept open between requests.
  std::uint32_t max_idle_connections = 8;
  /// A connection that was idle for longer is not reused.
  base::Duration max_idle_age = std::chrono::seconds(5);
};

/// @brief Request of an HttpClient.
struct HttpRequest {
  std::string method = "GET";
  /// Path with query, for example "/v1/instances".
  std::string target{};
  std::map<std::string, std::string> headers{};
  /// For methods other than GET, Content-Length is sent even if the body is empty.
  std::string body{};
};

/// @brief A complete response: its length was stated, or its chunked encoding was terminated.
struct HttpResponse {
  std::uint32_t status = 0;
  /// Header names are in lower case.
  std::map<std::string, std::string> headers{};
  std::string body{};
};

/// @brief HTTP/1.1 client for one endpoint, for platform services and operators' tools.
///
/// Each request has exclusive use of a connection. Errors have the code kTimeout, kTargetFailed (no
/// connection, or closed without a response) or kIncompleteAnswer (response malformed, truncated,
/// oversized or without a stated length). The verdict of an error is kNotRun only if no byte was
/// passed to the socket. Requests are never retried. Not thread-safe: call from the thread of the
/// io_context.
///
///     HttpClient client{io, *ParseEndpoint("127.0.0.1:7001")};
///     client.Send({.target = "/v1/instances"}, 2s, [](base::Result<HttpResponse> response) {...});
class HttpClient {
 public:
  using Callback = std::function<void(base::Result<HttpResponse>)>;

  HttpClient(boost::asio::io_context& io, Endpoint endpoint, HttpLimits limits = {});
  /// Calls Close(). Callbacks of requests in flight still run.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. `deadline` limits the time for connecting, sending and reading the complete
  /// response. The callback runs exactly once, and not before Send() has returned.
  void Send(HttpRequest request, base::Duration deadline, Callback done);

  /// Aborts all requests in flight. Later requests fail with the verdict kNotRun.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// @brief Sends one request on a new connection and blocks until the response or an error.
base::Result<HttpResponse> SendAndWait(const Endpoint& endpoint, HttpRequest request,
                                       base::Duration deadline, HttpLimits limits = {});

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_HTTP_CLIENT_HPP_
