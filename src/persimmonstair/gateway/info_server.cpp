#include "info_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <utility>

#include "clock.hpp"
#include "newest_connections.hpp"

namespace persimmonstair::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds kIdleTimeout{15};
/// Enough for the platform's checks and several collectors of metrics.
constexpr std::size_t kMaxConnections = 32;
/// Limit of a request, with what follows it.
constexpr std::size_t kMaxRequestBytes = std::size_t{16} << 10U;
constexpr std::chrono::milliseconds kAcceptPause{20};
/// Size of the receive buffers of accepted connections. Bytes that wait there count to the memory
/// of the machine, and the system would give a connection up to 6 MB.
constexpr int kReceiveBufferBytes = 128 << 10;

using Handler = std::function<InfoResponse(std::string_view path)>;

// Serves requests until the connection ends.
asio::awaitable<void> ServeRequests(beast::tcp_stream& stream, RequestMemory& memory,
                                    const Handler& handler) {
  beast::flat_buffer buffer(kMaxRequestBytes);
  for (;;) {
    http::request<http::empty_body> request;
    stream.expires_after(kIdleTimeout);
    const auto [read_ec, read] = co_await http::async_read(stream, buffer, request, kTuple);
    if (read_ec) co_return;
    InfoResponse info = handler({request.target().data(), request.target().size()});
    RequestBytes held(memory);
    if (!held.Add(info.body.size())) info = {503, ""};
    http::response<http::string_body> response(static_cast<http::status>(info.status), 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(info.body);
    response.prepare_payload();
    const auto [write_ec, written] = co_await http::async_write(stream, response, kTuple);
    if (write_ec || !request.keep_alive()) co_return;
  }
}

asio::awaitable<void> ServeConnection(NewestConnections::StreamPtr stream,
                                      std::shared_ptr<NewestConnections> connections,
                                      RequestMemory& memory, Handler handler) {
  co_await ServeRequests(*stream, memory, handler);
  connections->Remove(stream);
}

}  // namespace

base::Result<tcp::acceptor> Listen(const asio::any_io_executor& executor,
                                   const dispatch::Endpoint& endpoint) {
  error_code ec;
  const auto address = asio::ip::make_address(endpoint.address, ec);
  tcp::acceptor acceptor(executor);
  const tcp::endpoint local(address, endpoint.port);
  if (!ec) acceptor.open(local.protocol(), ec);
  if (!ec) acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
  if (!ec) acceptor.bind(local, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (!ec) return acceptor;
  return base::Fail(base::ErrorCode::kInvalidRequest, "can't listen on " + endpoint.address + ":" +
                                                          std::to_string(endpoint.port) + ": " +
                                                          ec.message());
}

asio::awaitable<void> ServeInfo(tcp::acceptor& acceptor, RequestMemory& memory, Handler handler) {
  const auto connections = std::make_shared<NewestConnections>(kMaxConnections);
  while (acceptor.is_open()) {
    auto [ec, socket] = co_await acceptor.async_accept(kTuple);
    if (ec) {
      // Without a pause, a lack of descriptors would keep the processor busy.
      co_await Sleep(kAcceptPause);
      continue;
    }
    const auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    connections->Add(stream);
    asio::co_spawn(acceptor.get_executor(), ServeConnection(stream, connections, memory, handler),
                   asio::detached);
  }
}

}  // namespace persimmonstair::gateway
