#include "persimmonstair/gateway/http.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace persimmonstair::gateway {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length"};

constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name) {
  for (const auto& header : headers) {
    if (EqualsIgnoreCase(header.name, name)) return header.value;
  }
  return {};
}

bool IsHopByHop(std::string_view name, std::string_view connection) {
  const auto matches = [name](std::string_view one) { return EqualsIgnoreCase(name, one); };
  if (std::any_of(kHopByHop.begin(), kHopByHop.end(), matches)) return true;
  if (connection.empty()) return false;
  boost::beast::http::token_list tokens({connection.data(), connection.size()});
  return tokens.exists({name.data(), name.size()});
}

std::string SerializeRequest(const HttpRequest& request) {
  return SerializeRequestHead(request, request.body.size()) + request.body;
}

std::string SerializeRequestHead(const HttpRequest& request, std::size_t body_bytes) {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& header : request.headers) out += header.name + ": " + header.value + "\r\n";
  const bool bodyless = request.method == "GET" || request.method == "HEAD";
  if (body_bytes > 0 || !bodyless) out += fmt::format("Content-Length: {}\r\n", body_bytes);
  out += "\r\n";
  return out;
}

bool StatusHasBody(unsigned status) {
  return status >= kFirstFinalStatus && status != kNoContent && status != kNotModified;
}

std::string SerializeHead(const HttpHead& head) {
  std::string out = fmt::format("HTTP/1.1 {} {}\r\n", head.status, head.reason);
  for (const auto& header : head.headers) out += header.name + ": " + header.value + "\r\n";
  out += "\r\n";
  return out;
}

std::string SerializeChunkLine(std::size_t bytes) { return fmt::format("{:x}\r\n", bytes); }

std::string SerializeChunk(std::string_view data) {
  return fmt::format("{}{}{}", SerializeChunkLine(data.size()), data, kChunkEnd);
}

}  // namespace persimmonstair::gateway
