#include "response_text.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>

#include "message_text.hpp"

namespace persimmonstair::net {
namespace {

namespace http = boost::beast::http;

// Headers that frame the message or apply to one connection only.
constexpr std::array<std::string_view, 8> kNonForwardableHeaders = {
    "content-length", "transfer-encoding", "connection", "keep-alive",
    "upgrade",        "trailer",           "te",         "host"};

boost::beast::string_view View(std::string_view text) { return {text.data(), text.size()}; }

bool MayHaveBody(std::uint32_t status) { return status >= 200 && status != 204 && status != 304; }

}  // namespace

bool IsForwardableHeader(std::string_view name, std::string_view value) {
  const auto is_name_char = [](char c) {
    return c > ' ' && c < 0x7f &&
           std::string_view("\"(),/:;<=>?@[\\]{}").find(c) == std::string_view::npos;
  };
  const auto is_value_char = [](char c) {
    return c == '\t' || static_cast<unsigned char>(c) >= ' ';
  };
  if (name.empty() || !std::all_of(name.begin(), name.end(), is_name_char)) return false;
  if (!std::all_of(value.begin(), value.end(), is_value_char)) return false;
  return std::none_of(
      kNonForwardableHeaders.begin(), kNonForwardableHeaders.end(),
      [&](std::string_view other) { return boost::beast::iequals(View(other), View(name)); });
}

std::string SerializeResponse(const scheduler::Reply& reply, const ResponseOptions& options) {
  const bool valid_status = reply.status >= 200 && reply.status <= 599;
  http::response<http::string_body> message;
  message.version(options.version);
  message.result(valid_status ? reply.status : 500U);
  for (const auto& [name, value] : reply.headers) {
    if (IsForwardableHeader(name, value)) message.set(View(name), View(value));
  }
  if (!reply.body.empty() && message.find(http::field::content_type) == message.end()) {
    message.set(http::field::content_type, "application/json");
  }
  message.keep_alive(options.keep_alive);
  if (MayHaveBody(reply.status)) message.content_length(reply.body.size());
  if (options.is_head_request || !MayHaveBody(reply.status)) return SerializeMessage(message, true);
  message.body() = reply.body;
  return SerializeMessage(message, false);
}

std::string SerializeStreamHeader(const ResponseOptions& options) {
  http::response<http::empty_body> response{http::status::ok, options.version};
  response.set(http::field::content_type, "text/event-stream");
  response.set(http::field::cache_control, "no-cache");
  // HTTP/1.0 has no chunked encoding, so closing the connection marks the end of the body.
  response.keep_alive(options.keep_alive && options.version >= 11);
  if (options.version >= 11) response.chunked(true);
  return SerializeMessage(response, true);
}

std::string SerializeStreamChunk(std::string_view data, const ResponseOptions& options) {
  if (options.version < 11) return std::string(data);
  if (data.empty()) return {};
  return boost::beast::buffers_to_string(
      http::make_chunk(boost::asio::const_buffer(data.data(), data.size())));
}

std::string SerializeStreamEnd(const std::map<std::string, std::string>& headers,
                               const ResponseOptions& options) {
  if (options.version < 11) return {};
  http::fields trailers;
  for (const auto& [name, value] : headers) {
    if (name.rfind("persimmonstair-", 0) == 0 && IsForwardableHeader(name, value)) {
      trailers.set(View(name), View(value));
    }
  }
  return boost::beast::buffers_to_string(http::make_chunk_last(trailers));
}

}  // namespace persimmonstair::net
