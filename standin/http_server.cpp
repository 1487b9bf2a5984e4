#include "standin/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

namespace persimmonstair::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;
constexpr std::uint32_t kMaxHeaderBytes = 64U << 10U;

}  // namespace

HttpServer::HttpServer(asio::io_context& io, Handler handler)
    : io_(io), handler_(std::move(handler)) {}

base::Result<void> HttpServer::Open(const ListenOptions& listen) {
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(listen.address, ec);
  if (ec) {
    return base::Fail(base::ErrorCode::kInvalidRequest, "not an IP address: " + listen.address);
  }
  endpoint_ = {address, listen.port};
  return Reopen();
}

base::Result<void> HttpServer::Reopen() {
  auto acceptor = std::make_shared<tcp::acceptor>(io_);
  boost::system::error_code ec;
  acceptor->open(endpoint_.protocol(), ec);
  if (!ec) acceptor->set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor->bind(endpoint_, ec);
  if (!ec) acceptor->listen(asio::socket_base::max_listen_connections, ec);
  if (!ec) endpoint_ = acceptor->local_endpoint(ec);
  if (ec) {
    return base::Fail(base::ErrorCode::kInvalidRequest,
                      "cannot listen on " + endpoint_.address().to_string() + " port " +
                          std::to_string(endpoint_.port()) + ": " + ec.message());
  }
  acceptor_ = acceptor;
  asio::co_spawn(io_, Accept(acceptor), asio::detached);
  return {};
}

void HttpServer::Close() {
  boost::system::error_code ec;
  if (acceptor_) acceptor_->close(ec);
  acceptor_.reset();
  for (const auto& socket : sockets_) socket->close(ec);
  sockets_.clear();
}

Task HttpServer::Accept(std::shared_ptr<tcp::acceptor> acceptor) {
  while (acceptor->is_open()) {
    auto socket = std::make_shared<Socket>(io_);
    boost::system::error_code ec;
    co_await acceptor->async_accept(*socket, asio::redirect_error(asio::use_awaitable, ec));
    // A connection that was accepted just before Close() must not outlive it.
    if (!acceptor->is_open()) co_return;
    if (ec) {
      // For example, no file descriptor is available. Retrying without a pause would busy-loop.
      asio::steady_timer pause(io_, std::chrono::milliseconds(10));
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      continue;
    }
    socket->set_option(tcp::no_delay(true), ec);
    sockets_.insert(socket);
    asio::co_spawn(io_, Serve(socket), asio::detached);
  }
}

Task HttpServer::Serve(std::shared_ptr<Socket> socket) {
  beast::flat_buffer buf;
  boost::system::error_code ec;
  while (socket->is_open()) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    parser.header_limit(kMaxHeaderBytes);
    co_await http::async_read(*socket, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
    const bool keep_alive = parser.get().keep_alive();
    Exchange exchange(*socket, parser.release());
    co_await handler_(exchange);
    if (!exchange.usable() || !keep_alive) break;
  }
  socket->shutdown(tcp::socket::shutdown_both, ec);
  socket->close(ec);
  sockets_.erase(socket);
}

}  // namespace persimmonstair::standin
