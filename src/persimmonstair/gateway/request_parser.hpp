#ifndef PERSIMMONSTAIR_SRC_GATEWAY_REQUEST_PARSER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_REQUEST_PARSER_HPP_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <string_view>

#include "persimmonstair/gateway/configuration.hpp"
#include "persimmonstair/gateway/http.hpp"

namespace persimmonstair::gateway {

/// @brief Parses one request from bytes that its user reads, and asks before its body grows. It
/// bounds everything that it can't use at once: the head, lines of chunks and trailers.
///
///     while (parser.GetState() != RequestParser::State::kDone) {
///       buffer.consume(parser.Put(buffer));
///       ...  // read more, or make room, or give up
///     }
class RequestParser {
 public:
  enum class State {
    /// The input is used up or incomplete.
    kNeedMore,
    /// The body needs BodyRoom() bytes; GiveRoom() lets it go on.
    kNeedRoom,
    kDone,
    /// Error() says why.
    kFailed,
  };

  /// Bytes that a line of a chunk may have, whatever the size of the head.
  static constexpr std::size_t kMinFramingBytes = 1024;

  explicit RequestParser(const CallerLimits& limits);

  /// Parses the input, which begins with the bytes that the last call left, and returns how many
  /// bytes it used.
  std::size_t Put(std::string_view input);

  State GetState() const { return state_; }
  const boost::system::error_code& Error() const { return error_; }
  bool HasHead() const { return parser_.is_header_done(); }
  /// Size of the head, once it is complete.
  std::size_t HeadBytes() const { return head_bytes_; }
  /// Bytes that the body may take now, and that it needs in place of them to go on.
  std::size_t BodyCapacity() const { return capacity_; }
  std::size_t BodyRoom() const { return wanted_; }
  /// Lets the body take BodyRoom() bytes.
  void GiveRoom();

  bool KeepAlive() const { return parser_.keep_alive(); }
  bool IsHead() const;
  /// The client waits for a statement that it may send the body.
  bool ExpectsContinue() const;
  /// Moves the request out; only once it is complete.
  HttpRequest Take();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Returns the capacity that holds `bytes`. Capacities double up to the largest, so that a body
  /// never has more than it may have.
  std::size_t CapacityFor(std::size_t bytes) const;
  bool NeedsRoom(std::size_t input);
  /// False if the head names a transfer coding with which the end of the body is unknown.
  bool HasKnownFraming() const;

  Parser parser_;
  std::size_t max_header_bytes_;
  std::size_t max_body_bytes_;
  std::size_t head_bytes_ = 0;
  std::size_t capacity_ = 0;
  std::size_t wanted_ = 0;
  State state_ = State::kNeedMore;
  boost::system::error_code error_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_REQUEST_PARSER_HPP_
