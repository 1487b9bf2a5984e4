#include "admin_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <thread>

namespace persimmonstair::daemon {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// Limit for reading a request, including the wait for it on an idle connection, and for writing a
// response.
constexpr std::chrono::seconds kTimeout{10};
constexpr std::uint32_t kMaxHeaderBytes = 8U << 10U;
constexpr std::uint64_t kMaxBodyBytes = 64U << 10U;
// Enough for health checks and metrics scrapers. Connections beyond the limit are closed at once.
constexpr std::size_t kMaxConnections = 64;

// Serves the requests of one connection in turn.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, const AdminHandler& handler,
             std::shared_ptr<int> counter_reference)
      : stream_(std::move(socket)),
        handler_(handler),
        counter_reference_(std::move(counter_reference)) {}

  void Read() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxBodyBytes);
    stream_.expires_after(kTimeout);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](beast::error_code ec, std::size_t /*n*/) {
                       if (!ec) self->SendResponse();
                     });
  }

 private:
  void SendResponse() {
    const auto& request = parser_->get();
    const std::string path(request.target().substr(0, request.target().find('?')));
    AdminResponse answer = handler_(std::string(request.method_string()), path);
    response_ = {};
    response_.version(request.version());
    response_.result(answer.status);
    response_.set(http::field::content_type, answer.type);
    response_.keep_alive(request.keep_alive());
    response_.body() = std::move(answer.body);
    response_.prepare_payload();
    stream_.expires_after(kTimeout);
    http::async_write(stream_, response_,
                      [self = shared_from_this()](beast::error_code ec, std::size_t /*n*/) {
                        if (!ec && self->response_.keep_alive()) self->Read();
                      });
  }

  beast::tcp_stream stream_;
  const AdminHandler& handler_;
  // Counted by Server::counter_ until the connection is destroyed.
  std::shared_ptr<int> counter_reference_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
};

class Server : public AdminServer {
 public:
  explicit Server(AdminHandler handler) : handler_(std::move(handler)), acceptor_(context_) {}
  ~Server() override { End(); }

  base::Result<void> Open(const std::string& address, std::uint32_t port);
  std::uint16_t Port() const override { return port_; }
  void Stop() override { End(); }

 private:
  void End() {
    context_.stop();
    if (thread_.joinable()) thread_.join();
  }
  void Accept();

  AdminHandler handler_;
  asio::io_context context_{1};
  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  // Its use count is the number of open connections plus 1.
  std::shared_ptr<int> counter_ = std::make_shared<int>();
  std::thread thread_;
};

base::Result<void> Server::Open(const std::string& address, std::uint32_t port) {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(address, ec);
  const tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(port));
  if (!ec) acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return base::Fail(
        base::ErrorCode::kInvalidRequest,
        "admin listener " + address + ":" + std::to_string(port) + ": " + ec.message());
  }
  port_ = acceptor_.local_endpoint(ec).port();
  Accept();
  thread_ = std::thread([this] { context_.run(); });
  return {};
}

void Server::Accept() {
  acceptor_.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
    // The use count includes the server's own reference.
    const bool room = static_cast<std::size_t>(counter_.use_count()) <= kMaxConnections;
    if (!ec && room) std::make_shared<Connection>(std::move(socket), handler_, counter_)->Read();
    if (ec != asio::error::operation_aborted) Accept();
  });
}

}  // namespace

base::Result<std::unique_ptr<AdminServer>> StartAdminServer(const std::string& address,
                                                            std::uint32_t port,
                                                            AdminHandler handler) {
  auto server = std::make_unique<Server>(std::move(handler));
  if (auto open = server->Open(address, port); !open) return tl::make_unexpected(open.error());
  return server;
}

}  // namespace persimmonstair::daemon
