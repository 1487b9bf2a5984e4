#include "persimmonstair/service_clients/http_client.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <deque>
#include <optional>
#include <unordered_set>
#include <utility>

#include "persimmonstair/base/http_status.hpp"

namespace persimmonstair::service_clients {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using StreamPtr = std::shared_ptr<beast::tcp_stream>;
using Message = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

/// True if an idle connection cannot be reused, because the server closed it or sent data that
/// belongs to no request.
bool IsStale(beast::tcp_stream& stream) {
  char byte = 0;
  const auto n = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

Message ToMessage(HttpRequest request, const Endpoint& endpoint) {
  Message out;
  out.method_string(request.method);
  out.target(request.target);
  out.set(http::field::host, ToUrl(endpoint).substr(std::string_view("http://").size()));
  for (const auto& [name, value] : request.headers) out.set(name, value);
  out.body() = std::move(request.body);
  if (request.method != "GET" || !out.body().empty()) out.prepare_payload();
  return out;
}

HttpResponse ToResponse(Parser& parser) {
  auto message = parser.release();
  HttpResponse out;
  out.status = message.result_int();
  for (const auto& field : message) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    out.headers[name] = std::string(field.value());
  }
  out.body = std::move(message.body());
  return out;
}

base::Error ToError(boost::system::error_code ec, bool sent, bool response_started) {
  const auto verdict = sent ? base::Verdict::kMayHaveRun : base::Verdict::kNotRun;
  if (ec == beast::error::timeout) {
    return {base::ErrorCode::kTimeout,
            "no complete response within the timeout of the request",
            verdict,
            {}};
  }
  if (ec == http::error::body_limit || ec == http::error::header_limit ||
      ec == http::error::buffer_overflow) {
    return {base::ErrorCode::kIncompleteAnswer,
            "response header or body exceeds its size limit",
            verdict,
            {}};
  }
  if (response_started) {
    return {
        base::ErrorCode::kIncompleteAnswer, "incomplete response: " + ec.message(), verdict, {}};
  }
  const std::string what = sent ? "no response: " : "cannot connect: ";
  return {base::ErrorCode::kTargetFailed, what + ec.message(), verdict, {}};
}

/// True if the end of the body is known from the status, Content-Length or the chunked encoding.
/// Otherwise the body ends when the server closes the connection, and a truncated one looks
/// complete. `head` is true for the response to a HEAD request, which has no body.
bool HasStatedLength(const Parser& parser, bool head) {
  const auto status = parser.get().result_int();
  return head || status == 204 || status == 304 || parser.chunked() ||
         parser.content_length().has_value();
}

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, Endpoint endpoint, HttpLimits limits)
      : io_(io), endpoint_(std::move(endpoint)), limits_(limits) {}

  void Send(HttpRequest request, base::Duration deadline, Callback done) {
    asio::co_spawn(io_, Run(shared_from_this(), std::move(request), deadline, std::move(done)),
                   asio::detached);
  }

  void Close() {
    closed_ = true;
    idle_connections_.clear();
    for (const StreamPtr& stream : active_) stream->close();
  }

 private:
  struct IdleConnection {
    StreamPtr stream;
    Clock::time_point idle_since;
  };
  /// Progress and error of a request.
  struct Progress {
    /// Bytes of the request may have left the process.
    bool sent = false;
    /// At least one byte of the response was read.
    bool response_started = false;
    /// First error; the request then ends.
    boost::system::error_code ec;
  };

  static asio::awaitable<void> Run(std::shared_ptr<Impl> self, HttpRequest request,
                                   base::Duration deadline, Callback done) {
    base::Result<HttpResponse> result = co_await self->Exchange(std::move(request), deadline);
    asio::post(self->io_, [done = std::move(done), result = std::move(result)]() mutable {
      done(std::move(result));
    });
  }

  asio::awaitable<base::Result<HttpResponse>> Exchange(HttpRequest request,
                                                       base::Duration deadline) {
    if (closed_) co_return base::Fail(base::ErrorCode::kTargetFailed, "the HTTP client is closed");
    StreamPtr stream = AcquireIdle();
    const bool reuses_connection = stream != nullptr;
    if (!reuses_connection) stream = std::make_shared<beast::tcp_stream>(io_);
    stream->expires_after(deadline);
    active_.insert(stream);
    const bool head = request.method == "HEAD";
    Message message = ToMessage(std::move(request), endpoint_);
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser.body_limit(limits_.max_body_bytes);
    parser.skip(head);
    Progress progress;
    if (!reuses_connection) {
      co_await Connect(*stream, progress);
    }
    if (!progress.ec) {
      co_await Transfer(stream, message, parser, progress);
    }
    active_.erase(stream);
    if (progress.ec) {
      base::Error error = ToError(progress.ec, progress.sent, progress.response_started);
      co_return tl::make_unexpected(std::move(error));
    }
    if (!HasStatedLength(parser, head)) {
      co_return base::Fail(base::ErrorCode::kIncompleteAnswer,
                           "response has neither Content-Length nor chunked encoding",
                           base::Verdict::kMayHaveRun);
    }
    co_return ToResponse(parser);
  }

  asio::awaitable<void> Connect(beast::tcp_stream& stream, Progress& progress) {
    const auto address = asio::ip::make_address(endpoint_.address, progress.ec);
    if (progress.ec) co_return;
    const asio::ip::tcp::endpoint to(address, endpoint_.port);
    co_await stream.async_connect(to, asio::redirect_error(asio::use_awaitable, progress.ec));
    if (progress.ec) co_return;
    boost::system::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  }

  asio::awaitable<void> Transfer(StreamPtr stream, const Message& message, Parser& parser,
                                 Progress& progress) {
    // Set before the first byte is passed to the socket, because the server may run the request
    // from then on.
    progress.sent = true;
    co_await http::async_write(*stream, message,
                               asio::redirect_error(asio::use_awaitable, progress.ec));
    if (progress.ec) co_return;
    beast::flat_buffer buf;
    co_await http::async_read(*stream, buf, parser,
                              asio::redirect_error(asio::use_awaitable, progress.ec));
    progress.response_started = parser.got_some();
    const unsigned status = parser.get().result_int();
    if (!progress.ec && base::KindOfStatus(status) != base::StatusKind::kFinal) {
      progress.ec = http::make_error_code(http::error::bad_status);
    }
    // After an error, unexpected further data or "Connection: close", the connection is not reused.
    if (progress.ec || buf.size() > 0 || !parser.get().keep_alive()) co_return;
    ReleaseIdle(std::move(stream));
  }

  StreamPtr AcquireIdle() {
    while (!idle_connections_.empty()) {
      IdleConnection item = std::move(idle_connections_.back());
      idle_connections_.pop_back();
      const bool within_idle_age = Clock::now() - item.idle_since <= limits_.max_idle_age;
      if (within_idle_age && !IsStale(*item.stream)) return item.stream;
    }
    return nullptr;
  }

  void ReleaseIdle(StreamPtr stream) {
    if (closed_ || limits_.max_idle_connections == 0) return;
    stream->expires_never();
    idle_connections_.push_back({std::move(stream), Clock::now()});
    if (idle_connections_.size() > limits_.max_idle_connections) idle_connections_.pop_front();
  }

  asio::io_context& io_;
  Endpoint endpoint_;
  HttpLimits limits_;
  bool closed_ = false;
  std::deque<IdleConnection> idle_connections_;
  std::unordered_set<StreamPtr> active_;
};

HttpClient::HttpClient(asio::io_context& io, Endpoint endpoint, HttpLimits limits)
    : impl_(std::make_shared<Impl>(io, std::move(endpoint), limits)) {}

HttpClient::~HttpClient() { Close(); }

void HttpClient::Send(HttpRequest request, base::Duration deadline, Callback done) {
  impl_->Send(std::move(request), deadline, std::move(done));
}

void HttpClient::Close() { impl_->Close(); }

base::Result<HttpResponse> SendAndWait(const Endpoint& endpoint, HttpRequest request,
                                       base::Duration deadline, HttpLimits limits) {
  asio::io_context io{1};
  // The client sends only one request, so its connection is not kept.
  limits.max_idle_connections = 0;
  HttpClient client(io, endpoint, limits);
  base::Result<HttpResponse> out = base::Fail(
      base::ErrorCode::kInternal, "internal error: the HTTP client did not call its callback");
  client.Send(std::move(request), deadline,
              [&out](base::Result<HttpResponse> result) { out = std::move(result); });
  io.run();
  return out;
}

}  // namespace persimmonstair::service_clients
