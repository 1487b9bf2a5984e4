#ifndef PERSIMMONSTAIR_GATEWAY_HTTP_CONNECTION_HPP_
#define PERSIMMONSTAIR_GATEWAY_HTTP_CONNECTION_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/http.hpp"

namespace persimmonstair::gateway {

/// @brief A piece of a body.
struct BodyPiece {
  std::string data;
  /// The body is complete: its stated end was reached, or the peer closed an unframed body.
  bool end = false;
  boost::system::error_code error;
};

struct WriteResult {
  boost::system::error_code error;
  /// Bytes that may have left; zero says that the peer got nothing.
  std::size_t written = 0;
};

/// @brief One outgoing HTTP/1.1 connection; requests follow one another on it.
///
/// Timeouts close the connection. Not thread-safe.
///
///     HttpConnection connection(executor);
///     if (!co_await connection.Connect(endpoint, 200ms)) {
///       co_await connection.Write(SerializeRequest(request), 1s);
///       auto head = co_await connection.ReadHead(1s);
///     }
class HttpConnection {
 public:
  explicit HttpConnection(const boost::asio::any_io_executor& executor);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  boost::asio::awaitable<boost::system::error_code> Connect(const dispatch::Endpoint& endpoint,
                                                            base::Duration timeout);
  boost::asio::awaitable<WriteResult> Write(std::string_view bytes, base::Duration timeout);
  boost::asio::awaitable<tl::expected<HttpHead, boost::system::error_code>> ReadHead(
      base::Duration timeout);
  /// The next bytes of the body whose head was read.
  boost::asio::awaitable<BodyPiece> ReadBody(base::Duration timeout);

  /// True after a complete answer if the peer keeps the connection and sent nothing beyond.
  bool Reusable() const;
  /// True if the peer has neither closed the connection nor sent anything since.
  bool IsIdle() const;
  /// How long the peer keeps the connection open while idle, as it stated; zero if it didn't.
  base::Duration KeepAliveTimeout() const;
  /// True if bytes follow the answer that was read.
  bool HasUnreadBytes() const;

  /// Ends pending operations with an error.
  void Close();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_HTTP_CONNECTION_HPP_
