#include "standin/exchange.hpp"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <utility>

namespace persimmonstair::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Interval at which Hang() checks whether the peer has closed the connection.
constexpr std::chrono::milliseconds kPeerCheckInterval{20};
/// Bytes added to a response so that it exceeds its reader's limit (32 MiB).
constexpr std::size_t kOversizeBytes = 32U << 20U;

std::string PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    unsigned value = 0;
    if (text[n] == '%' && n + 2 < text.size() &&
        std::from_chars(&text[n + 1], &text[n + 1] + 2, value, 16).ptr == &text[n + 1] + 2) {
      out += static_cast<char>(value);
      n += 2;
    } else {
      out += text[n];
    }
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(std::string_view text) {
  std::map<std::string, std::string> out;
  while (!text.empty()) {
    const auto end = std::min(text.find('&'), text.size());
    const std::string_view item = text.substr(0, end);
    const auto equals = std::min(item.find('='), item.size());
    out[PercentDecode(item.substr(0, equals))] =
        equals < item.size() ? PercentDecode(item.substr(equals + 1)) : "";
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return out;
}

}  // namespace

Exchange::Exchange(asio::ip::tcp::socket& socket, HttpRequest request)
    : socket_(socket), request_(std::move(request)) {
  const std::string_view target(request_.target().data(), request_.target().size());
  const auto question = std::min(target.find('?'), target.size());
  path_ = PercentDecode(target.substr(0, question));
  if (question < target.size()) query_ = ParseQuery(target.substr(question + 1));
}

std::string Exchange::Header(std::string_view name) const {
  const auto it = request_.find(boost::string_view(name.data(), name.size()));
  return it == request_.end() ? "" : std::string(it->value());
}

std::string Exchange::Query(const std::string& name) const {
  const auto it = query_.find(name);
  return it == query_.end() ? "" : it->second;
}

std::int64_t Exchange::QueryNumber(const std::string& name, std::int64_t fallback) const {
  const std::string text = Query(name);
  std::int64_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string Exchange::PathBetween(std::string_view prefix, std::string_view suffix) const {
  const std::string_view path = path_;
  if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) ||
      !path.ends_with(suffix)) {
    return "";
  }
  const auto middle = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  return middle.find('/') == std::string_view::npos ? std::string(middle) : "";
}

std::string Exchange::EchoHeaders() const {
  const std::string correlation = Header("persimmonstair-correlation");
  return correlation.empty() ? "" : "persimmonstair-correlation: " + correlation + "\r\n";
}

Task Exchange::Respond(unsigned status, std::string body,
                       std::map<std::string, std::string> headers, std::string content_type) {
  responded_ = true;
  if (response_fault_ == ResponseFault::kLose) {
    Abort();
    co_return;
  }
  if (response_fault_ == ResponseFault::kOversize) body.append(kOversizeBytes, ' ');
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " +
                    std::string(http::obsolete_reason(static_cast<http::status>(status))) +
                    "\r\nContent-Type: " + content_type +
                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + EchoHeaders();
  for (const auto& [name, value] : headers) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request_.keep_alive()) out += "Connection: close\r\n";
  out += "\r\n" + body;
  // Cut off half of the body, or the last byte of the header if there is no body.
  if (response_fault_ == ResponseFault::kTruncate) {
    out.resize(out.size() - std::max<std::size_t>(1, body.size() / 2));
  }
  co_await Write(std::move(out));
  if (response_fault_ == ResponseFault::kTruncate) Abort();
}

Task Exchange::RespondJson(unsigned status, const Json& body) {
  std::string text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  co_await Respond(status, std::move(text));
}

Task Exchange::RespondError(unsigned status, std::string code, std::string message,
                            std::string verdict) {
  Json error;
  error["error"]["code"] = std::move(code);
  error["error"]["message"] = std::move(message);
  error["error"]["verdict"] = std::move(verdict);
  error["error"]["retry_after_ms"] = 0;
  co_await RespondJson(status, error);
}

Task Exchange::BeginStream(std::string content_type) {
  responded_ = true;
  co_await Write("HTTP/1.1 200 OK\r\nContent-Type: " + content_type +
                 "\r\nTransfer-Encoding: chunked\r\n" + EchoHeaders() + "\r\n");
}

Task Exchange::WriteChunk(std::string data) {
  char size[24];
  const auto end = std::to_chars(size, size + sizeof size, data.size(), 16).ptr;
  std::string out(size, end);
  out += "\r\n" + data + "\r\n";
  co_await Write(std::move(out));
}

Task Exchange::EndStream() { co_await Write("0\r\n\r\n"); }

Task Exchange::Write(std::string http_message) {
  if (!usable_) co_return;
  boost::system::error_code ec;
  co_await asio::async_write(socket_, asio::buffer(http_message),
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec) usable_ = false;
}

Task Exchange::Wait(std::chrono::microseconds delay) {
  if (delay.count() <= 0) co_return;
  asio::steady_timer timer(co_await asio::this_coro::executor, delay);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

Task Exchange::Hang() {
  while (!PeerGone()) {
    co_await Wait(kPeerCheckInterval);
  }
  Abort();
}

bool Exchange::PeerGone() {
  if (!usable_ || !socket_.is_open()) return true;
  char byte = 0;
  const auto n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) return false;
  usable_ = false;
  return true;
}

void Exchange::Abort() {
  usable_ = false;
  boost::system::error_code ec;
  socket_.close(ec);
}

}  // namespace persimmonstair::standin
