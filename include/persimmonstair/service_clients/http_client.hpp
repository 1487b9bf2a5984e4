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

/// @brief Bounds of an HttpClient.
struct HttpLimits {
  std::uint64_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = 16U << 20U;
  /// Connections kept open between requests.
  std::uint32_t max_idle_connections = 8;
  /// A connection idle for longer is not used again.
  base::Duration max_idle_age = std::chrono::seconds(5);
};

struct HttpRequest {
  std::string method = "GET";
  /// Path with query, for example "/v1/instances".
  std::string target{};
  std::map<std::string, std::string> headers{};
  /// Sent with its length, also when empty, for methods other than GET.
  std::string body{};
};

/// @brief A whole answer: its length or chunked end was stated and reached.
struct HttpResponse {
  std::uint32_t status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> headers{};
  std::string body{};
};

/// @brief HTTP/1.1 client for one endpoint, for platform services and operators' tools.
///
/// Each request has exclusive use of a connection. A failure has code kTimeout, kTargetFailed (no
/// connection, or closed without an answer) or kIncompleteAnswer (malformed, truncated, oversized
/// or without a stated length). Its verdict is kNotRun only if no byte was handed to the socket.
/// Nothing is sent twice. Not thread-safe: call from the io_context's thread.
///
///     HttpClient client{io, *ParseEndpoint("127.0.0.1:7001")};
///     client.Send({.target = "/v1/instances"}, 2s, [](base::Result<HttpResponse> answer) {...});
class HttpClient {
 public:
  using Callback = std::function<void(base::Result<HttpResponse>)>;

  HttpClient(boost::asio::io_context& io, Endpoint endpoint, HttpLimits limits = {});
  /// Close()s; callbacks of requests in flight still run.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// `deadline` covers connection, request and whole answer. The callback runs exactly once, never
  /// inside Send().
  void Send(HttpRequest request, base::Duration deadline, Callback done);

  /// Breaks all requests in flight and refuses new ones with kNotRun.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// @brief Sends one request on a connection of its own and waits for the answer.
base::Result<HttpResponse> SendAndWait(const Endpoint& endpoint, HttpRequest request,
                                       base::Duration deadline, HttpLimits limits = {});

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_HTTP_CLIENT_HPP_
