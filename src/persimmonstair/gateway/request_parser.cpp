#include "request_parser.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <iterator>
#include <string>
#include <utility>

#include "persimmonstair/base/http_framing.hpp"

namespace persimmonstair::gateway {

namespace http = boost::beast::http;

RequestParser::RequestParser(const CallerLimits& limits)
    : max_header_bytes_(limits.max_header_bytes), max_body_bytes_(limits.max_body_bytes) {
  parser_.header_limit(limits.max_header_bytes);
  parser_.body_limit(limits.max_body_bytes);
}

std::size_t RequestParser::Put(std::string_view input) {
  std::size_t used = 0;
  state_ = State::kNeedMore;
  while (!parser_.is_done() && used < input.size()) {
    const std::string_view rest = input.substr(used);
    if (NeedsRoom(rest.size())) return used;
    const bool had_head = HasHead();
    boost::system::error_code ec;
    const std::size_t n = parser_.put(boost::asio::buffer(rest.data(), rest.size()), ec);
    used += n;
    if (!had_head) head_bytes_ += n;
    if (!had_head && HasHead() && !HasKnownFraming()) ec = http::error::bad_transfer_encoding;
    const bool incomplete = ec == http::error::need_more || (!ec && n == 0);
    if (ec && !incomplete) {
      error_ = ec;
      state_ = State::kFailed;
      return used;
    }
    if (!incomplete) continue;
    const std::size_t allowed =
        std::max(max_header_bytes_ - std::min(head_bytes_, max_header_bytes_), kMinFramingBytes);
    if (HasHead() && input.size() - used > allowed) {
      error_ = http::error::header_limit;
      state_ = State::kFailed;
    }
    return used;
  }
  if (parser_.is_done()) state_ = State::kDone;
  return used;
}

std::size_t RequestParser::CapacityFor(std::size_t bytes) const {
  // The last input may hold more bytes than the body, which are its framing.
  std::size_t capacity = max_body_bytes_ + 2 * max_header_bytes_ + kMinFramingBytes;
  while (capacity / 2 >= bytes) capacity /= 2;
  return capacity;
}

bool RequestParser::NeedsRoom(std::size_t input) {
  if (!HasHead()) return false;
  const auto declared = parser_.content_length();
  const std::size_t needed =
      declared ? static_cast<std::size_t>(*declared) : parser_.get().body().size() + input;
  if (needed <= capacity_) return false;
  wanted_ = declared ? needed : std::max(CapacityFor(needed), needed);
  state_ = State::kNeedRoom;
  return true;
}

bool RequestParser::HasKnownFraming() const {
  const auto [begin, end] = parser_.get().equal_range(http::field::transfer_encoding);
  if (begin == end) return true;
  const auto value = begin->value();
  return std::next(begin) == end && base::IsChunkedOnly({value.data(), value.size()});
}

void RequestParser::GiveRoom() {
  capacity_ = wanted_;
  parser_.get().body().reserve(capacity_);
}

bool RequestParser::IsHead() const {
  return HasHead() && parser_.get().method() == http::verb::head;
}

bool RequestParser::ExpectsContinue() const {
  const auto value = parser_.get()[http::field::expect];
  return HasHead() && EqualsIgnoreCase({value.data(), value.size()}, "100-continue");
}

HttpRequest RequestParser::Take() {
  auto& message = parser_.get();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace persimmonstair::gateway
