#include "target_request.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "message_text.hpp"
#include "response_text.hpp"

namespace persimmonstair::net {
namespace {

namespace http = boost::beast::http;
using base::ErrorCode;
using base::Fail;

boost::beast::string_view ToBeastView(std::string_view text) { return {text.data(), text.size()}; }

bool IsValidPath(std::string_view path) {
  return !path.empty() && path.front() == '/' &&
         std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool IsValidMethod(std::string_view method) {
  return !method.empty() &&
         std::all_of(method.begin(), method.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

// Targets receive authorization only from the credentials file, so that a caller's key is never
// forwarded.
bool IsAllowedHeader(const std::string& name, const std::string& value) {
  return IsForwardableHeader(name, value) && !boost::beast::iequals(name, "authorization") &&
         !boost::beast::iequals(name, "proxy-authorization");
}

}  // namespace

std::string CorrelationId(const TargetClientOptions& options, base::AttemptId attempt) {
  return options.correlation_prefix + "-" + std::to_string(attempt.value);
}

base::Result<std::string> SerializeRequest(const scheduler::Dispatch& dispatch,
                                           const TargetClientOptions& options) {
  if (!IsValidPath(dispatch.path) || !IsValidMethod(dispatch.method)) {
    return Fail(ErrorCode::kInvalidRequest, "dispatch has a malformed method or path");
  }
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(dispatch.method);
  request.target(dispatch.path);
  request.set(http::field::host, dispatch.address + ":" + std::to_string(dispatch.port));
  for (const auto& [name, value] : dispatch.headers) {
    if (IsAllowedHeader(name, value)) request.set(name, value);
  }
  if (!dispatch.credential.empty()) {
    const auto it = options.credentials.find(dispatch.credential);
    if (it == options.credentials.end()) {
      return Fail(ErrorCode::kInvalidRequest,
                  "dispatch names the unknown credential '" + dispatch.credential + "'");
    }
    request.set(http::field::authorization, "Bearer " + it->second);
  }
  request.set(ToBeastView(kCorrelationHeader), CorrelationId(options, dispatch.attempt));
  if (!dispatch.body.empty() && request.find(http::field::content_type) == request.end()) {
    request.set(http::field::content_type, "application/json");
  }
  if (!dispatch.body.empty() || dispatch.method == "POST" || dispatch.method == "PUT") {
    request.content_length(dispatch.body.size());
  }
  return SerializeMessage(request, true) + dispatch.body;
}

base::Result<boost::asio::ip::tcp::endpoint> TargetEndpoint(const std::string& address,
                                                            std::uint32_t port) {
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(address, ec);
  if (ec || port == 0 || port > 65'535) {
    return Fail(ErrorCode::kInvalidRequest,
                "target address must be an IP address with a port from 1 to 65535");
  }
  return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

}  // namespace persimmonstair::net
