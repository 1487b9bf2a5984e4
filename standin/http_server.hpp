#ifndef PERSIMMONSTAIR_STANDIN_HTTP_SERVER_HPP_
#define PERSIMMONSTAIR_STANDIN_HTTP_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <unordered_set>

#include "persimmonstair/base/error.hpp"
#include "standin/exchange.hpp"
#include "standin/standin.hpp"

namespace persimmonstair::standin {

/// @brief HTTP/1.1 server with keep-alive connections on a single-threaded io_context. Must be
/// destroyed after the io_context has stopped running.
class HttpServer {
 public:
  using Handler = std::function<Task(Exchange&)>;

  HttpServer(boost::asio::io_context& io, Handler handler);

  /// Starts listening. Returns kInvalidRequest if the address is invalid or cannot be bound.
  base::Result<void> Open(const ListenOptions& listen);
  /// Closes all connections and stops listening.
  void Close();
  /// Listens again on the port that Open() bound.
  base::Result<void> Reopen();
  std::uint16_t port() const { return endpoint_.port(); }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  Task Accept(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
  Task Serve(std::shared_ptr<Socket> socket);

  boost::asio::io_context& io_;
  Handler handler_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::unordered_set<std::shared_ptr<Socket>> sockets_;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_HTTP_SERVER_HPP_
