#include "persimmonstair/gateway/http_connection.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <optional>

#include "persimmonstair/base/http_status.hpp"
#include "socket_options.hpp"

namespace persimmonstair::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using Parser = http::response_parser<http::buffer_body>;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t kMaxHeaderBytes = 64U << 10U;
constexpr std::string_view kTimeoutName = "timeout=";
constexpr std::size_t kPieceBytes = 16U << 10U;
/// Limit of received bytes that the parser can't use yet, for example of an unfinished chunk
/// header.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{2} * kMaxHeaderBytes;

// Returns true if the head is that of a response. An interim one has no content, so one that states
// a length may have been sent to make its content look like the next response.
bool IsResponse(const Parser& parser) {
  const Parser::value_type& message = parser.get();
  const base::StatusKind kind = base::KindOfStatus(message.result_int());
  if (kind == base::StatusKind::kFinal) return true;
  const bool states_content = message.find(http::field::content_length) != message.end() ||
                              message.find(http::field::transfer_encoding) != message.end();
  return kind == base::StatusKind::kInterim && !states_content;
}

HttpHead CopyHead(const Parser::value_type& message) {
  HttpHead head{message.result_int(), std::string(message.reason()), {}};
  for (const auto& field : message) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return head;
}

// Timeout in seconds of a header such as "Keep-Alive: timeout=5, max=100"; zero if it has none.
base::Duration ParseKeepAliveTimeout(std::string_view value) {
  const auto at = value.find(kTimeoutName);
  if (at == std::string_view::npos) return {};
  unsigned seconds = 0;
  const char* const begin = value.data() + at + kTimeoutName.size();
  const auto [end, ec] = std::from_chars(begin, value.data() + value.size(), seconds);
  return ec == std::errc{} ? std::chrono::seconds{seconds} : base::Duration{};
}

}  // namespace

struct HttpConnection::Impl {
  explicit Impl(const asio::any_io_executor& executor) : stream(executor) {}

  beast::tcp_stream stream;
  sockets::SendMonitor::Watch watch{stream.socket(), kUserTimeout};
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::optional<Parser> parser;
  std::array<char, kPieceBytes> piece{};
  base::Duration keep_alive_timeout{0};
  bool relayed = false;
};

HttpConnection::HttpConnection(const asio::any_io_executor& executor)
    : impl_(std::make_unique<Impl>(executor)) {}

HttpConnection::~HttpConnection() = default;

asio::awaitable<error_code> HttpConnection::Connect(const dispatch::Endpoint& endpoint,
                                                    base::Duration timeout) {
  error_code ec;
  const auto address = asio::ip::make_address(endpoint.address, ec);
  if (ec) co_return ec;
  impl_->stream.expires_after(timeout);
  const asio::ip::tcp::endpoint peer(address, endpoint.port);
  const auto [connect_ec] = co_await impl_->stream.async_connect(peer, kTuple);
  if (!connect_ec) SetTcpOptions(impl_->stream.socket(), impl_->watch);
  co_return connect_ec;
}

asio::awaitable<WriteResult> HttpConnection::Write(std::string_view bytes, base::Duration timeout) {
  co_return co_await Write(std::array<std::string_view, 3>{bytes}, timeout);
}

asio::awaitable<WriteResult> HttpConnection::Write(std::array<std::string_view, 3> parts,
                                                   base::Duration timeout) {
  impl_->stream.expires_after(timeout);
  const std::array<asio::const_buffer, 3> buffers{asio::buffer(parts[0]), asio::buffer(parts[1]),
                                                  asio::buffer(parts[2])};
  impl_->watch.OnWrite();
  const auto [ec, n] = co_await asio::async_write(impl_->stream, buffers, kTuple);
  co_return WriteResult{ec, n};
}

asio::awaitable<tl::expected<HttpHead, error_code>> HttpConnection::ReadHead(base::Duration timeout,
                                                                             ExpectedBody body) {
  impl_->parser.emplace();
  impl_->parser->skip(body == ExpectedBody::kNone);
  impl_->parser->header_limit(kMaxHeaderBytes);
  impl_->parser->body_limit(boost::none);
  impl_->stream.expires_after(timeout);
  const auto [ec, n] =
      co_await http::async_read_header(impl_->stream, impl_->buffer, *impl_->parser, kTuple);
  if (ec) co_return tl::make_unexpected(ec);
  if (!IsResponse(*impl_->parser)) {
    Close();
    co_return tl::make_unexpected(http::make_error_code(http::error::bad_status));
  }
  HttpHead head = CopyHead(impl_->parser->get());
  impl_->keep_alive_timeout = ParseKeepAliveTimeout(FindHeader(head.headers, "Keep-Alive"));
  co_return head;
}

asio::awaitable<BodyPiece> HttpConnection::ReadBody(base::Duration timeout) {
  Impl& impl = *impl_;
  BodyPiece piece;
  if (!impl.parser) {
    piece.error = asio::error::not_connected;
    co_return piece;
  }
  impl.stream.expires_after(timeout);
  while (!impl.parser->is_done() && piece.data.empty()) {
    auto& body = impl.parser->get().body();
    body.data = impl.piece.data();
    body.size = impl.piece.size();
    body.more = true;
    auto [ec, n] = co_await http::async_read_some(impl.stream, impl.buffer, *impl.parser, kTuple);
    piece.data.append(impl.piece.data(), impl.piece.size() - body.size);
    if (ec == http::error::need_buffer) ec = {};
    if (ec) {
      piece.error = ec;
      co_return piece;
    }
  }
  piece.end = impl.parser->is_done();
  if (piece.end && impl.relayed && impl.parser->need_eof()) {
    piece.end = false;
    piece.error = asio::error::connection_reset;
  }
  co_return piece;
}

bool HttpConnection::HasReadHead() const { return impl_->parser.has_value(); }

bool HttpConnection::HasUnreadBytes() const { return impl_->buffer.size() > 0; }

void HttpConnection::MarkRelayed() {
  impl_->relayed = true;
  // The head that was read is that of the relaying instance.
  impl_->parser.reset();
}

bool HttpConnection::IsRelayed() const { return impl_->relayed; }

bool HttpConnection::Reusable() const {
  return !impl_->relayed && impl_->stream.socket().is_open() && impl_->parser &&
         impl_->parser->is_done() && impl_->parser->keep_alive() && !HasUnreadBytes();
}

bool HttpConnection::IsIdle() const {
  return impl_->stream.socket().is_open() && PeekPeer(impl_->stream.socket()) == PeerState::kIdle;
}

base::Duration HttpConnection::KeepAliveTimeout() const { return impl_->keep_alive_timeout; }

void HttpConnection::Close() { impl_->stream.close(); }

}  // namespace persimmonstair::gateway
