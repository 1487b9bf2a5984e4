#include "relay_server.hpp"

#include <fmt/format.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <memory>
#include <utility>

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "socket_options.hpp"

namespace persimmonstair::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

struct RelayServer::Tunnel {
  explicit Tunnel(tcp::socket socket) : caller(std::move(socket)), target(caller.get_executor()) {}

  beast::tcp_stream caller;
  beast::tcp_stream target;
  sockets::SendMonitor::Watch caller_watch{caller.socket(), kUserTimeout};
  sockets::SendMonitor::Watch target_watch{target.socket(), kUserTimeout};
  /// Data centre of the target; empty for the store.
  base::DataCentreId data_centre;
  /// True from the first byte of a request to the first byte of its response.
  bool request_under_way = false;
};

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Maximum time to open the connection to the target. The asking instance has other instances to
/// ask, and then other targets.
constexpr std::chrono::milliseconds kTargetConnectTimeout{100};
constexpr std::chrono::seconds kRequestTimeout{1};
/// Time without a byte of the response after which a relayed connection is closed. Longer than any
/// target is silent.
constexpr std::chrono::seconds kResponseTimeout{60};
/// Time without a byte of the asking instance: a request may be followed by a response of any
/// length. Keep-alive probes find a dead one.
constexpr std::chrono::hours kRequestIdleTimeout{24};
constexpr std::chrono::seconds kWriteTimeout{10};
constexpr std::chrono::milliseconds kAcceptPause{20};
constexpr std::uint32_t kMaxRequestBytes = 1024;
constexpr std::size_t kBufferBytes = 16U << 10U;

// Passes bytes on until the source ends or one of the two fails; returns the source's error. Ends
// too if the source sends nothing for `idle_timeout`, or if `admit`, which is called with each
// piece's arrival, returns false.
template <class Admit>
asio::awaitable<error_code> Pump(beast::tcp_stream& from, beast::tcp_stream& to,
                                 sockets::SendMonitor::Watch& to_watch, base::Duration idle_timeout,
                                 Admit admit) {
  std::array<char, kBufferBytes> buf{};
  for (;;) {
    from.expires_after(idle_timeout);
    const auto [read_ec, n] = co_await from.async_read_some(asio::buffer(buf), kTuple);
    if (read_ec) co_return read_ec;
    if (!admit()) co_return asio::error::operation_aborted;
    to.expires_after(kWriteTimeout);
    to_watch.OnWrite();
    const auto [write_ec, written] = co_await asio::async_write(to, asio::buffer(buf, n), kTuple);
    if (write_ec) co_return write_ec;
  }
}

template <class Tunnel>
asio::awaitable<void> PumpResponses(std::shared_ptr<Tunnel> tunnel) {
  const auto on_response = [&tunnel] {
    tunnel->request_under_way = false;
    return true;
  };
  const error_code end = co_await Pump(tunnel->target, tunnel->caller, tunnel->caller_watch,
                                       kResponseTimeout, on_response);
  error_code ignored;  // The other side may have closed its connection already.
  if (end == asio::error::eof) {
    tunnel->caller.socket().shutdown(tcp::socket::shutdown_send, ignored);
  } else {
    tunnel->caller.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    tunnel->caller.close();
  }
}

asio::awaitable<bool> Respond(beast::tcp_stream& stream, unsigned status) {
  const std::string head = fmt::format("HTTP/1.1 {} {}\r\n{}\r\n", status,
                                       status == kRelayOpened ? "Connected" : "Not connected",
                                       status == kRelayOpened ? "" : "Content-Length: 0\r\n");
  const auto [ec, n] = co_await asio::async_write(stream, asio::buffer(head), kTuple);
  co_return !ec;
}

// What another instance asks for.
struct PeerRequest {
  http::verb method = http::verb::unknown;
  // The authority of a CONNECT, or the path of another request.
  std::string target;
};

// Returns an unknown method if no request comes.
asio::awaitable<PeerRequest> ReadRequest(beast::tcp_stream& stream) {
  beast::flat_buffer buffer(kBufferBytes);
  http::request_parser<http::empty_body> parser;
  parser.header_limit(kMaxRequestBytes);
  stream.expires_after(kRequestTimeout);
  const auto [ec, n] = co_await http::async_read_header(stream, buffer, parser, kTuple);
  // The asking instance sends nothing more before the answer.
  PeerRequest request;
  if (ec || buffer.size() > 0) co_return request;
  request.method = parser.get().method();
  request.target = parser.get().target();
  co_return request;
}

asio::awaitable<error_code> ConnectTarget(beast::tcp_stream& stream,
                                          sockets::SendMonitor::Watch& watch,
                                          const dispatch::Endpoint& endpoint) {
  error_code ec;
  const auto address = asio::ip::make_address(endpoint.address, ec);
  if (ec) co_return ec;
  stream.expires_after(kTargetConnectTimeout);
  const auto [connect_ec] =
      co_await stream.async_connect(tcp::endpoint(address, endpoint.port), kTuple);
  if (!connect_ec) SetTcpOptions(stream.socket(), watch);
  co_return connect_ec;
}

}  // namespace

asio::awaitable<void> RelayServer::Run(tcp::acceptor& acceptor) {
  while (acceptor.is_open()) {
    auto [ec, socket] = co_await acceptor.async_accept(kTuple);
    if (ec) {
      co_await Sleep(kAcceptPause);
      continue;
    }
    asio::co_spawn(acceptor.get_executor(), Serve(std::move(socket)), asio::detached);
  }
}

unsigned RelayServer::Check(const RelayRequest& request) const {
  const bool path_lost = connector_.Path() == dispatch::PathState::kLost;
  if (stopping_ || open_ >= max_open_ || path_lost) return kRelayUnavailable;
  const dispatch::TargetEntry* target = targets_.Find(request.target);
  const bool leaves = targets_.IsLeaving(request.target, request.started_ms);
  const bool takes_requests = target != nullptr && !leaves &&
                              target->started_ms == request.started_ms &&
                              !targets_.IsEvacuated(target->data_centre);
  return takes_requests ? 0 : kRelayUnknownTarget;
}

asio::awaitable<void> RelayServer::Serve(tcp::socket socket) {
  const auto tunnel = std::make_shared<Tunnel>(std::move(socket));
  SetTcpOptions(tunnel->caller.socket(), tunnel->caller_watch);
  const NewestConnections::StreamPtr caller(tunnel, &tunnel->caller);
  asking_.Add(caller);
  const PeerRequest request = co_await ReadRequest(tunnel->caller);
  asking_.Remove(caller);
  if (request.method == http::verb::get && serve_get_) {
    co_await serve_get_(tunnel->caller, request.target);
  } else if (request.method != http::verb::connect) {
    co_return;
  } else if (IsStoreAuthority(request.target)) {
    co_await ServeStore(tunnel);
  } else if (const auto target = ParseRelayAuthority(request.target)) {
    co_await ServeTarget(tunnel, *target);
  }
}

asio::awaitable<void> RelayServer::ServeTarget(std::shared_ptr<Tunnel> tunnel,
                                               RelayRequest request) {
  if (const unsigned refusal = Check(request); refusal != 0) {
    co_await Respond(tunnel->caller, refusal);
    co_return;
  }
  const dispatch::Endpoint endpoint = targets_.Find(request.target)->endpoint;
  tunnel->data_centre = targets_.Find(request.target)->data_centre;
  ++open_;
  const auto ec = co_await ConnectTarget(tunnel->target, tunnel->target_watch, endpoint);
  connector_.OnDirect(request.target, !ec);
  diagnostics::Log(diagnostics::Level::kInfo, "target_connection_relayed",
                   {{"target", request.target.value}, {"connected", !ec}, {"open", open_}});
  co_await Relay(tunnel, !ec);
  --open_;
}

asio::awaitable<void> RelayServer::ServeStore(std::shared_ptr<Tunnel> tunnel) {
  const bool reaches_store = reaches_store_ && reaches_store_();
  if (stopping_ || open_ >= max_open_ || !reaches_store) {
    co_await Respond(tunnel->caller, kRelayUnavailable);
    co_return;
  }
  ++open_;
  const auto ec = co_await ConnectTarget(tunnel->target, tunnel->target_watch, store_endpoint_);
  diagnostics::Log(diagnostics::Level::kInfo, "store_connection_relayed",
                   {{"connected", !ec}, {"open", open_}});
  co_await Relay(tunnel, !ec);
  --open_;
}

asio::awaitable<void> RelayServer::PumpRequests(std::shared_ptr<Tunnel> tunnel) {
  // The asking instance may not know of the evacuation. Bytes of a request whose response has begun
  // can't be told from the next request.
  const auto admits = [this, &tunnel] {
    if (!tunnel->request_under_way && targets_.IsEvacuated(tunnel->data_centre)) return false;
    tunnel->request_under_way = true;
    return true;
  };
  co_await Pump(tunnel->caller, tunnel->target, tunnel->target_watch, kRequestIdleTimeout, admits);
  // The asking instance has left, no longer wants the response or sends another request.
  tunnel->target.close();
}

asio::awaitable<void> RelayServer::Relay(std::shared_ptr<Tunnel> tunnel, bool connected) {
  const bool answered =
      co_await Respond(tunnel->caller, connected ? kRelayOpened : kRelayTargetUnreachable);
  if (!connected || !answered) co_return;
  ++opened_;
  asio::co_spawn(co_await asio::this_coro::executor, PumpRequests(tunnel), asio::detached);
  co_await PumpResponses(tunnel);
}

}  // namespace persimmonstair::gateway
