#ifndef PERSIMMONSTAIR_SRC_NET_CALLER_STREAM_HPP_
#define PERSIMMONSTAIR_SRC_NET_CALLER_STREAM_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <utility>

namespace persimmonstair::net {

/// @brief TCP stream without TLS, with the same interface as TlsStream. `handler` takes an error
/// code and is called before the function returns.
struct PlainStream {
  explicit PlainStream(boost::asio::ip::tcp::socket socket) : stream(std::move(socket)) {}

  template <class Handler>
  void Handshake(Handler handler) {
    handler(boost::system::error_code{});
  }
  template <class Handler>
  void Shutdown(Handler handler) {
    boost::system::error_code ec;
    stream.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    handler(ec);
  }
  boost::asio::ip::tcp::socket& Socket() { return stream; }

  boost::asio::ip::tcp::socket stream;
};

/// @brief TCP stream with TLS. `handler` is called when the operation is complete.
struct TlsStream {
  TlsStream(boost::asio::ip::tcp::socket socket, boost::asio::ssl::context& context)
      : stream(std::move(socket), context) {}

  template <class Handler>
  void Handshake(Handler handler) {
    stream.async_handshake(boost::asio::ssl::stream_base::server, std::move(handler));
  }
  template <class Handler>
  void Shutdown(Handler handler) {
    stream.async_shutdown(std::move(handler));
  }
  boost::asio::ip::tcp::socket& Socket() { return stream.next_layer(); }

  boost::asio::ssl::stream<boost::asio::ip::tcp::socket> stream;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_CALLER_STREAM_HPP_
