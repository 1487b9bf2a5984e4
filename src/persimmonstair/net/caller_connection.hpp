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

/// @brief Server side of one caller's connection: parses requests, submits them one at a time and
/// writes the responses. It keeps reading while a request runs, so that a disconnect is noticed.
/// `Stream` is PlainStream or TlsStream. Except for the Post functions, everything runs on the
/// thread of `context`.
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

  /// Serves requests. With `reject`, only sends the error for too many connections and closes.
  void Start(bool reject);
  void PostReply(scheduler::Reply reply) override;
  void PostRelay(base::RequestId request, std::string data) override;
  void PostClose() override;

 private:
  enum class Phase {
    kIdle,           // no request has begun
    kReading,        // a request was received in part
    kAwaitingReply,  // the request is with the scheduler; parts of its stream may have been sent
    kResponding,     // the end of the response is being written
    kLingering,      // the response is written; further input is discarded before closing
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
  // Limits the handshake, the idle time, the receipt of a request and the lingering before closing.
  Deadline read_deadline_;
  // Limits each write.
  Deadline write_deadline_;
  // Received bytes that are not parsed yet.
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Phase phase_ = Phase::kIdle;
  bool read_pending_ = false;
  bool input_ended_ = false;
  // `100 Continue` was sent for the current request.
  bool continue_sent_ = false;
  // Current request; zero if there is none.
  base::RequestId request_;
  ResponseOptions response_options_;
  bool wants_stream_ = false;
  // The header of a streamed response was sent.
  bool stream_begun_ = false;
  // The current request counts among the pending responses of `state_`.
  bool response_pending_ = false;
  // Parts to be written once the current write is finished.
  std::vector<std::string> queued_;
  // Parts of the current write; empty if none is in progress.
  std::vector<std::string> writing_;
  // Total size of `queued_` and `writing_`.
  std::size_t unsent_bytes_ = 0;
};

extern template class CallerConnection<PlainStream>;
extern template class CallerConnection<TlsStream>;

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_CALLER_CONNECTION_HPP_
