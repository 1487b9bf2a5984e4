#ifndef PERSIMMONSTAIR_SRC_NET_TARGET_RESPONSE_PARSER_HPP_
#define PERSIMMONSTAIR_SRC_NET_TARGET_RESPONSE_PARSER_HPP_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "persimmonstair/net/stream_assembler.hpp"
#include "persimmonstair/net/target_client.hpp"

namespace persimmonstair::net {

/// @brief Reads one answer from the bytes of a connection. Opens no socket.
class TargetResponseParser {
 public:
  enum class State {
    kNeedMore,   // more bytes are needed
    kDone,       // the answer is complete
    kTruncated,  // the connection ended before the answer did
    kMalformed,  // not a valid answer to this request
  };

  TargetResponseParser(const TargetClientOptions& options, std::string correlation_id,
                       bool is_head_request);

  /// Consumes bytes of the buffer; what follows the answer is left in it.
  State Add(boost::beast::flat_buffer& buffer);
  /// The connection ended.
  State OnConnectionEnd();

  /// Server-sent events that became complete since the last call; always empty for other answers.
  std::string TakeEvents() { return std::exchange(events_, {}); }
  /// The connection can carry another request.
  bool Reusable() const { return reusable_; }
  /// All fields but `attempt`; to be called once, when done.
  scheduler::TargetDone TakeDone();

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Reset();
  State OnHeader();
  State OnBody();
  State Finish();

  const TargetClientOptions& options_;
  std::string correlation_id_;
  bool is_head_request_;
  std::optional<Parser> parser_;
  bool header_seen_ = false;
  std::optional<StreamAssembler> assembler_;
  std::string events_;
  bool reusable_ = false;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_TARGET_RESPONSE_PARSER_HPP_
