#ifndef PERSIMMONSTAIR_SRC_NET_CALLER_CONNECTION_HPP_
#define PERSIMMONSTAIR_SRC_NET_CALLER_CONNECTION_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caller_server_state.hpp"
#include "caller_stream.hpp"
#include "deadline.hpp"
#include "persimmonstair/net/caller_request.hpp"
#include "response_text.hpp"

namespace persimmonstair::net {

/// @brief One caller's connection. Requests on it are handled one after the other; a read is
/// always pending, so that a caller that disconnects is noticed while its request runs.
template <class Stream>
class CallerConnection : public CallerSession,
                         public std::enable_shared_from_this<CallerConnection<Stream>> {
 public:
  template <class... Args>
  CallerConnection(std::shared_ptr<CallerServerState> state, boost::asio::io_context& context,
                   Args&&... args)
      : state_(std::move(state)),
        context_(context),
        stream_(std::forward<Args>(args)...),
        read_deadline_(context),
        write_deadline_(context) {}
  ~CallerConnection() override;

  /// Serves requests, or only says that there are too many connections.
  void Start(bool reject);
  void PostReply(scheduler::Reply reply) override;
  void PostRelay(base::RequestId request, std::string data) override;
  void PostClose() override;

 private:
  enum class Phase {
    kIdle,           // between requests
    kReading,        // part of a request was read
    kAwaitingReply,  // the scheduler has the request
    kResponding,     // the last part of the answer is being written
    kLingering,      // the answer is written; the rest of the caller's bytes is discarded
    kClosed,
  };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(boost::system::error_code ec, std::size_t size);
  void OnInputEnded();
  void OnReadTimeout();
  void Parse();
  void BeginRequest();
  bool ParseSome();
  void OnMalformed(boost::system::error_code ec);
  void OnRequest();
  void Submit(scheduler::CallerRequest request);
  void RejectAndClose(const base::Error& error, std::uint32_t status);
  void OnReply(const scheduler::Reply& reply);
  void OnRelay(base::RequestId request, const std::string& data);
  void Write(std::string data);
  void Flush();
  void OnWritten(boost::system::error_code ec);
  void FinishResponse();
  void Linger();
  void Close();
  RawRequest TakeRawRequest();

  std::shared_ptr<CallerServerState> state_;
  boost::asio::io_context& context_;
  Stream stream_;
  Deadline read_deadline_;
  Deadline write_deadline_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Phase phase_ = Phase::kIdle;
  bool read_pending_ = false;
  bool input_ended_ = false;
  bool continue_sent_ = false;
  base::RequestId request_;
  ResponseOptions response_options_;
  bool wants_stream_ = false;
  bool stream_begun_ = false;
  bool response_pending_ = false;
  std::vector<std::string> queued_;
  std::vector<std::string> writing_;
  std::size_t unsent_bytes_ = 0;
};

extern template class CallerConnection<PlainStream>;
extern template class CallerConnection<TlsStream>;

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_CALLER_CONNECTION_HPP_
