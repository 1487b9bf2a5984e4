#include "caller_connection.hpp"

#include <fmt/format.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "clock.hpp"
#include "exchange.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "socket_options.hpp"

namespace persimmonstair::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Parser = http::request_parser<http::string_body>;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Maximum time to write a part of a response to a caller.
constexpr std::chrono::seconds kWriteTimeout{10};
/// An idle connection is kept open this much longer than the idle timeout that callers know, so
/// that no request arrives while the connection is being closed.
constexpr std::chrono::seconds kIdleCloseDelay{1};

constexpr std::chrono::milliseconds kDiscardTimeout{500};
constexpr std::size_t kDiscardBufferBytes = 8192;

std::string_view ReasonPhrase(unsigned status) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  return {reason.data(), reason.size()};
}

HttpRequest CopyRequest(Parser::value_type& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

std::string ErrorBody(const base::Error& error) {
  return fmt::format(R"({{"error":{{"code":"{}","verdict":"{}"}}}})", base::ToString(error.code),
                     base::ToString(error.verdict));
}

}  // namespace

CallerConnection::CallerConnection(GatewayContext& context, asio::ip::tcp::socket socket)
    : context_(context), socket_(std::move(socket)), timer_(socket_.get_executor()) {
  SetTcpOptions(socket_);
}

void CallerConnection::StartTimer(base::Duration time) {
  timed_out_ = false;
  timer_.expires_after(time);
  timer_.async_wait([self = shared_from_this(), generation = ++timer_generation_](error_code ec) {
    // A handler that was queued before the timer was stopped must not cancel a later operation.
    if (ec || generation != self->timer_generation_) return;
    self->timed_out_ = true;
    error_code ignored;  // The socket may be closed already.
    self->socket_.cancel(ignored);
  });
}

void CallerConnection::StopTimer() {
  ++timer_generation_;
  timer_.cancel();
}

asio::awaitable<void> CallerConnection::Run() {
  const auto self = shared_from_this();
  while (keep_alive_ && !disconnected_) {
    if (!co_await WaitForRequest()) break;
    idle_ = false;
    ++context_.open_requests;
    const bool served = co_await ServeRequest();
    --context_.open_requests;
    idle_ = true;
    if (!served || context_.stopping) break;
  }
  error_code ignored;  // The peer may have closed the connection already.
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  socket_.close(ignored);
}

asio::awaitable<bool> CallerConnection::ServeRequest() {
  auto request = co_await ReadRequest();
  if (!request) co_return false;
  WatchCaller();
  {
    Exchange exchange(context_, *this, std::move(*request), arrived_at_);
    co_await exchange.Run();
  }
  on_disconnect_ = nullptr;
  StopWatching();
  co_return true;
}

asio::awaitable<bool> CallerConnection::WaitForRequest() {
  if (buffer_.size() > 0) co_return true;
  const auto& configuration = context_.configuration.Current();
  const CallerLimits limits = configuration ? configuration->Limits() : CallerLimits{};
  StartTimer(limits.idle_timeout + kIdleCloseDelay);
  const auto [ec] = co_await socket_.async_wait(asio::ip::tcp::socket::wait_read, kTuple);
  StopTimer();
  co_return !ec && PeekPeer(socket_) == PeerState::kDataAvailable;
}

asio::awaitable<std::optional<HttpRequest>> CallerConnection::ReadRequest() {
  const auto& configuration = context_.configuration.Current();
  const CallerLimits limits = configuration ? configuration->Limits() : CallerLimits{};
  Parser parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  StartTimer(limits.header_timeout);
  auto [ec, n] = co_await http::async_read_header(socket_, buffer_, parser, kTuple);
  StopTimer();
  arrived_at_ = Now();
  if (!ec && EqualsIgnoreCase(parser.get()[http::field::expect], "100-continue")) {
    if (!co_await Write("HTTP/1.1 100 Continue\r\n\r\n")) co_return std::nullopt;
  }
  if (!ec && !parser.is_done()) {
    StartTimer(limits.idle_timeout);
    const auto [body_ec, body_n] = co_await http::async_read(socket_, buffer_, parser, kTuple);
    StopTimer();
    ec = body_ec;
  }
  keep_alive_ = !ec && parser.keep_alive();
  head_request_ = parser.is_header_done() && parser.get().method() == http::verb::head;
  if (!ec) co_return CopyRequest(parser.get());
  ReadFailure failure{0, ec.message()};
  if (timed_out_) failure.status = 408;
  if (ec == http::error::header_limit) failure.status = 431;
  if (ec == http::error::body_limit) failure.status = 413;
  const bool malformed = ec.category() == http::make_error_code(http::error::bad_method).category();
  if (failure.status == 0 && malformed && ec != http::error::end_of_stream &&
      ec != http::error::partial_message) {
    failure.status = 400;
  }
  co_await RejectRequest(failure);
  co_return std::nullopt;
}

asio::awaitable<void> CallerConnection::RejectRequest(const ReadFailure& failure) {
  diagnostics::Log(diagnostics::Level::kInfo, "request_unreadable",
                   {{"status", failure.status}, {"error", failure.message}});
  if (failure.status == 0) co_return;
  context_.metrics.CountAnswer("", "unreadable", failure.status, Now() - arrived_at_);
  HttpHead head{failure.status, {}, {}};
  co_await Respond(std::move(head), {});
  co_await DiscardInput();
}

// Reads and discards input before closing: closing a socket with unread bytes resets the
// connection, and the caller could lose the response.
asio::awaitable<void> CallerConnection::DiscardInput() {
  error_code ec;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  std::array<char, kDiscardBufferBytes> scratch{};
  StartTimer(kDiscardTimeout);
  while (!ec && !timed_out_) {
    const auto [read_ec, n] = co_await socket_.async_read_some(asio::buffer(scratch), kTuple);
    ec = read_ec;
  }
  StopTimer();
}

asio::awaitable<bool> CallerConnection::Write(std::string bytes) {
  if (disconnected_) co_return false;
  StartTimer(kWriteTimeout);
  const auto [ec, n] = co_await asio::async_write(socket_, asio::buffer(bytes), kTuple);
  StopTimer();
  if (ec) MarkDisconnected();
  co_return !ec;
}

HttpHead CallerConnection::WithConnectionHeaders(HttpHead head) const {
  if (!keep_alive_ || context_.stopping) head.headers.push_back({"Connection", "close"});
  return head;
}

bool CallerConnection::HasBody(unsigned status) const {
  return !head_request_ && StatusHasBody(status);
}

asio::awaitable<bool> CallerConnection::Respond(HttpHead head, std::string body) {
  if (head.reason.empty()) head.reason = ReasonPhrase(head.status);
  if (!HasBody(head.status)) {
    co_return co_await Write(SerializeHead(WithConnectionHeaders(std::move(head))));
  }
  head.headers.push_back({"Content-Length", std::to_string(body.size())});
  co_return co_await Write(SerializeHead(WithConnectionHeaders(std::move(head))) + body);
}

asio::awaitable<bool> CallerConnection::RespondError(const base::Error& error) {
  HttpHead head{static_cast<unsigned>(base::HttpStatus(error.code)), {}, {}};
  head.headers.push_back({"Content-Type", "application/json"});
  if (error.retry_after > base::Duration{0}) {
    head.headers.push_back(
        {"Retry-After", fmt::format("{:.3f}", base::ToSeconds(error.retry_after))});
  }
  co_return co_await Respond(std::move(head), ErrorBody(error));
}

asio::awaitable<bool> CallerConnection::StartStream(HttpHead head) {
  bodiless_stream_ = !HasBody(head.status);
  if (!bodiless_stream_) head.headers.push_back({"Transfer-Encoding", "chunked"});
  co_return co_await Write(SerializeHead(WithConnectionHeaders(std::move(head))));
}

asio::awaitable<bool> CallerConnection::SendChunk(std::string_view data) {
  if (data.empty() || bodiless_stream_) co_return !disconnected_;
  co_return co_await Write(SerializeChunk(data));
}

asio::awaitable<bool> CallerConnection::EndStream() {
  if (bodiless_stream_) co_return !disconnected_;
  co_return co_await Write("0\r\n\r\n");
}

void CallerConnection::Abort() {
  keep_alive_ = false;
  MarkDisconnected();
  error_code ignored;  // The peer may have closed the connection already.
  socket_.close(ignored);
}

void CallerConnection::MarkDisconnected() {
  if (disconnected_) return;
  disconnected_ = true;
  if (const auto callback = std::exchange(on_disconnect_, nullptr)) callback();
}

void CallerConnection::WatchCaller() {
  watching_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     asio::bind_cancellation_slot(stop_watching_.slot(),
                                                  [self = shared_from_this()](error_code ec) {
                                                    if (ec || !self->watching_) return;
                                                    const PeerState state = PeekPeer(self->socket_);
                                                    if (state == PeerState::kClosed) {
                                                      self->MarkDisconnected();
                                                    }
                                                    // Bytes of the next request stay unread, so a
                                                    // close that follows them isn't detected.
                                                    if (state == PeerState::kIdle) {
                                                      self->WatchCaller();
                                                    }
                                                  }));
}

void CallerConnection::StopWatching() {
  watching_ = false;
  stop_watching_.emit(asio::cancellation_type::terminal);
}

void CallerConnection::EndRequest() {
  if (on_end_request_) on_end_request_();
}

void CallerConnection::CloseIfIdle() {
  if (!idle_) return;
  keep_alive_ = false;
  error_code ignored;  // The peer may have closed the connection already.
  socket_.cancel(ignored);
}

}  // namespace persimmonstair::gateway
