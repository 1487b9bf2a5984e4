#ifndef PERSIMMONSTAIR_GATEWAY_HTTP_CONNECTION_HPP_
#define PERSIMMONSTAIR_GATEWAY_HTTP_CONNECTION_HPP_

#include <array>
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

/// @brief A piece of a response body, as read from the connection.
struct BodyPiece {
  std::string data;
  /// The body is complete: its framing ended, or the peer closed the connection after a body
  /// without framing.
  bool end = false;
  boost::system::error_code error;
};

struct WriteResult {
  boost::system::error_code error;
  /// Bytes that may have been sent; zero means that the peer received nothing.
  std::size_t written = 0;
};

/// @brief Whether a body follows a response's head.
enum class ExpectedBody { kByHead, kNone };

/// @brief An outgoing HTTP/1.1 connection that sends one request after the other.
///
/// A timeout closes the connection. Not thread-safe.
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
  /// Marks the connection as one that another instance relays. Its end by a close then doesn't
  /// complete a body without framing, because it may be the relaying instance that has ended.
  void MarkRelayed();
  bool IsRelayed() const;
  boost::asio::awaitable<WriteResult> Write(std::string_view bytes, base::Duration timeout);
  /// Writes parts one after the other from where they are.
  boost::asio::awaitable<WriteResult> Write(std::array<std::string_view, 3> parts,
                                            base::Duration timeout);
  /// Reads the head of a response, which may be an interim one. With kNone, the response to a HEAD
  /// request, no body follows, whatever the head says. Fails and closes the connection if the bytes
  /// are no response, as with a status that HTTP doesn't know.
  boost::asio::awaitable<tl::expected<HttpHead, boost::system::error_code>> ReadHead(
      base::Duration timeout, ExpectedBody body = ExpectedBody::kByHead);
  /// Reads the next bytes of the body that follows the head that was read last.
  boost::asio::awaitable<BodyPiece> ReadBody(base::Duration timeout);

  /// Returns true if a head was read, or was to be read, since the connection was opened.
  bool HasReadHead() const;
  /// Returns true if the response was read completely, the peer keeps the connection open and no
  /// further bytes were read.
  bool Reusable() const;
  /// Returns true if the peer has neither closed the connection nor sent bytes that are unread.
  bool IsIdle() const;
  /// Timeout of the last response's Keep-Alive header; zero if it had none.
  base::Duration KeepAliveTimeout() const;
  /// Returns true if bytes after the response were read.
  bool HasUnreadBytes() const;

  /// Closes the connection; pending operations end with an error.
  void Close();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_HTTP_CONNECTION_HPP_
