#include "caller_connection.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <iterator>

#include "persimmonstair/base/http_framing.hpp"

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::ErrorCode;

// Limit on the bytes of pipelined requests that are read while a request runs. The rest stays in
// the kernel's receive buffer.
constexpr std::size_t kMaxReadAheadBytes = 64U << 10U;
// Maximum size of one read.
constexpr std::size_t kReadBufferBytes = 16U << 10U;
// Closing a socket with unread input sends a reset, which can discard a response that the caller
// has not read yet. Input is therefore read and discarded for at most this time before closing.
constexpr std::chrono::seconds kLingerTimeout{2};

// Retry delay for a full request queue or too many connections. The queue is emptied within
// milliseconds, so the delay only spreads the retries over time.
constexpr std::chrono::milliseconds kRetryAfterOverload{200};

std::chrono::milliseconds Millis(std::uint64_t value) {
  return std::chrono::milliseconds{static_cast<std::int64_t>(value)};
}

// Returns false if the head names a transfer coding with which the end of the body is unknown.
bool HasKnownFraming(const http::fields& head) {
  const auto [begin, end] = head.equal_range(http::field::transfer_encoding);
  if (begin == end) return true;
  const auto value = begin->value();
  return std::next(begin) == end && base::IsChunkedOnly({value.data(), value.size()});
}

// Returns whether the header at the start of `bytes` has a folded line (RFC 9112, 5.2). The parser
// would join folded lines, while another HTTP implementation on the way might read them
// differently.
bool HasFoldedLine(std::string_view bytes) {
  const std::string_view header = bytes.substr(0, bytes.find("\r\n\r\n"));
  return header.find("\r\n ") != std::string_view::npos ||
         header.find("\r\n\t") != std::string_view::npos;
}

// HTTP statuses that replace the status of the error code.
constexpr std::uint32_t kStatusRequestTimeout = 408;
constexpr std::uint32_t kStatusHeaderFieldsTooLarge = 431;

}  // namespace

template <class Stream>
CallerConnection<Stream>::~CallerConnection() {
  if (response_pending_) state_->RemovePendingResponse();
  state_->RemoveSession(this);
}

template <class Stream>
void CallerConnection<Stream>::Start(bool reject) {
  const auto self = this->shared_from_this();
  read_deadline_.Bind(self, [this] { OnReadTimeout(); });
  write_deadline_.Bind(self, [this] { Close(); });
  boost::system::error_code ec;
  stream_.Socket().set_option(asio::ip::tcp::no_delay(true), ec);
  read_deadline_.Set(Millis(state_->options.caller.header_timeout_ms));
  stream_.Handshake([this, self, reject](boost::system::error_code failure) {
    if (failure) return Close();
    if (reject) {
      return RejectAndClose({ErrorCode::kOverloaded, "too many connections", base::Verdict::kNotRun,
                             kRetryAfterOverload},
                            0);
    }
    read_deadline_.Set(Millis(state_->options.caller.idle_timeout_ms));
    Read();
  });
}

template <class Stream>
void CallerConnection<Stream>::PostReply(scheduler::Reply reply) {
  asio::post(context_, [self = this->shared_from_this(), reply = std::move(reply)] {
    if (reply.request == self->request_) self->OnReply(reply);
  });
}

template <class Stream>
void CallerConnection<Stream>::PostRelay(base::RequestId request, std::string data) {
  asio::dispatch(context_, [self = this->shared_from_this(), request, data = std::move(data)] {
    self->OnRelay(request, data);
  });
}

template <class Stream>
void CallerConnection<Stream>::PostClose() {
  asio::post(context_, [self = this->shared_from_this()] { self->Close(); });
}

template <class Stream>
void CallerConnection<Stream>::Read() {
  if (read_pending_ || input_ended_ || phase_ == Phase::kClosed) return;
  const bool busy = phase_ == Phase::kAwaitingReply || phase_ == Phase::kResponding;
  if (busy && buffer_.size() >= kMaxReadAheadBytes) return;
  read_pending_ = true;
  stream_.stream.async_read_some(
      buffer_.prepare(kReadBufferBytes),
      [this, self = this->shared_from_this()](boost::system::error_code ec, std::size_t size) {
        read_pending_ = false;
        OnRead(ec, size);
      });
}

template <class Stream>
void CallerConnection<Stream>::OnRead(boost::system::error_code ec, std::size_t size) {
  if (phase_ == Phase::kClosed) return;
  if (ec) return OnInputEnded();
  buffer_.commit(size);
  if (phase_ == Phase::kLingering) buffer_.clear();
  Parse();
  Read();
}

template <class Stream>
void CallerConnection<Stream>::OnInputEnded() {
  input_ended_ = true;
  if (phase_ == Phase::kResponding) {
    // The caller may have closed only its sending side and still read the response.
    response_options_.keep_alive = false;
    return;
  }
  if (phase_ != Phase::kReading) return Close();
  RejectAndClose(
      {ErrorCode::kInvalidRequest, "the connection ended before the request was complete", {}, {}},
      0);
}

template <class Stream>
void CallerConnection<Stream>::OnReadTimeout() {
  if (phase_ != Phase::kReading) return Close();
  RejectAndClose({ErrorCode::kTimeout, "the request was not received in time", {}, {}},
                 kStatusRequestTimeout);
}

template <class Stream>
void CallerConnection<Stream>::Parse() {
  while (buffer_.size() > 0 && (phase_ == Phase::kIdle || phase_ == Phase::kReading)) {
    if (phase_ == Phase::kIdle) BeginRequest();
    if (!ParseSome()) return;
  }
}

template <class Stream>
void CallerConnection<Stream>::BeginRequest() {
  const auto& limits = state_->options.caller;
  phase_ = Phase::kReading;
  parser_.emplace();
  parser_->header_limit(limits.max_header_bytes);
  parser_->body_limit(limits.max_body_bytes);
  parser_->eager(true);
  continue_sent_ = false;
  read_deadline_.Set(Millis(limits.header_timeout_ms));
}

// Returns false if more bytes are needed or the request is malformed.
template <class Stream>
bool CallerConnection<Stream>::ParseSome() {
  const auto bytes = buffer_.data();
  if (!parser_->is_header_done() &&
      HasFoldedLine({static_cast<const char*>(bytes.data()), bytes.size()})) {
    RejectAndClose({ErrorCode::kInvalidRequest, "the request header has a folded line", {}, {}}, 0);
    return false;
  }
  boost::system::error_code ec;
  const std::size_t consumed = parser_->put(bytes, ec);
  buffer_.consume(consumed);
  if (ec && ec != http::error::need_more) {
    OnMalformed(ec);
    return false;
  }
  if (parser_->is_header_done() && !HasKnownFraming(parser_->get())) {
    OnMalformed(http::error::bad_transfer_encoding);
    return false;
  }
  if (parser_->is_done()) {
    OnRequest();
    return true;
  }
  if (parser_->is_header_done() && !continue_sent_ &&
      boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    continue_sent_ = true;
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return consumed > 0 && !ec;
}

template <class Stream>
void CallerConnection<Stream>::OnMalformed(boost::system::error_code ec) {
  if (ec == http::error::body_limit) {
    return RejectAndClose({ErrorCode::kPayloadTooLarge, "the request body is too large", {}, {}},
                          0);
  }
  if (ec == http::error::header_limit) {
    return RejectAndClose({ErrorCode::kInvalidRequest, "the request header is too large", {}, {}},
                          kStatusHeaderFieldsTooLarge);
  }
  RejectAndClose({ErrorCode::kInvalidRequest, "malformed HTTP request: " + ec.message(), {}, {}},
                 0);
}

template <class Stream>
RawRequest CallerConnection<Stream>::TakeRawRequest() {
  auto message = parser_->release();
  RawRequest raw;
  raw.method = std::string(message.method_string());
  raw.target = std::string(message.target());
  for (const auto& field : message) {
    raw.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  raw.body = std::move(message.body());
  return raw;
}

template <class Stream>
void CallerConnection<Stream>::OnRequest() {
  const auto& message = parser_->get();
  if (message.version() >= 11 && message.count(http::field::host) != 1) {
    return RejectAndClose(
        {ErrorCode::kInvalidRequest, "the request must have exactly one Host header", {}, {}}, 0);
  }
  read_deadline_.Clear();
  response_options_.version = message.version() >= 11 ? 11 : 10;
  response_options_.keep_alive = parser_->keep_alive();
  RawRequest raw = TakeRawRequest();
  parser_.reset();
  response_options_.is_head_request = raw.method == "HEAD";
  phase_ = Phase::kAwaitingReply;
  stream_begun_ = false;
  response_pending_ = true;
  state_->AddPendingResponse();
  request_ = state_->handlers.next_request();
  auto parsed = ParseCallerRequest(std::move(raw));
  if (!parsed) return OnReply(ErrorReply(request_, parsed.error()));
  Submit(std::move(*parsed));
}

template <class Stream>
void CallerConnection<Stream>::Submit(scheduler::CallerRequest request) {
  request.request = request_;
  wants_stream_ = request.stream;
  state_->AddRequest(request_, this->shared_from_this());
  if (state_->handlers.on_request(std::move(request))) return;
  state_->TakeRequest(request_);
  OnReply(ErrorReply(
      request_, {ErrorCode::kOverloaded, "the instance's event queue has no space for new requests",
                 base::Verdict::kNotRun, kRetryAfterOverload}));
}

// Sends an error and closes the connection. It cannot be reused: the start of the next request is
// unknown. With a status of zero, the status follows from the error code.
template <class Stream>
void CallerConnection<Stream>::RejectAndClose(const base::Error& error, std::uint32_t status) {
  read_deadline_.Clear();
  response_options_ = ResponseOptions{};
  response_options_.keep_alive = false;
  request_ = {};
  stream_begun_ = false;
  phase_ = Phase::kAwaitingReply;
  auto reply = ErrorReply({}, error);
  if (status != 0) reply.status = status;
  OnReply(reply);
}

template <class Stream>
void CallerConnection<Stream>::OnReply(const scheduler::Reply& reply) {
  if (phase_ != Phase::kAwaitingReply) return;
  if (state_->draining) response_options_.keep_alive = false;
  phase_ = Phase::kResponding;
  if (stream_begun_) {
    Write(SerializeStreamChunk(reply.body, response_options_) +
          SerializeStreamEnd(reply.headers, response_options_));
    if (response_options_.version < 11) response_options_.keep_alive = false;
  } else {
    Write(SerializeResponse(reply, response_options_));
  }
  if (writing_.empty() && queued_.empty()) FinishResponse();
}

template <class Stream>
void CallerConnection<Stream>::OnRelay(base::RequestId request, const std::string& data) {
  if (phase_ != Phase::kAwaitingReply || request != request_ || data.empty()) return;
  std::string out;
  if (!stream_begun_) {
    stream_begun_ = true;
    if (state_->draining) response_options_.keep_alive = false;
    out = SerializeStreamHeader(response_options_);
  }
  Write(out + SerializeStreamChunk(data, response_options_));
  // Limits the memory that a caller that does not read can use up.
  if (unsent_bytes_ > state_->options.max_unsent_bytes) Close();
}

template <class Stream>
void CallerConnection<Stream>::Write(std::string data) {
  if (phase_ == Phase::kClosed || data.empty()) return;
  unsent_bytes_ += data.size();
  queued_.push_back(std::move(data));
  Flush();
}

template <class Stream>
void CallerConnection<Stream>::Flush() {
  if (!writing_.empty() || queued_.empty() || phase_ == Phase::kClosed) return;
  writing_.swap(queued_);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const auto& part : writing_) buffers.emplace_back(asio::buffer(part));
  write_deadline_.Set(Millis(state_->options.caller.write_timeout_ms));
  asio::async_write(stream_.stream, buffers,
                    [this, self = this->shared_from_this()](
                        boost::system::error_code ec, std::size_t /*size*/) { OnWritten(ec); });
}

template <class Stream>
void CallerConnection<Stream>::OnWritten(boost::system::error_code ec) {
  if (phase_ == Phase::kClosed) return;
  if (ec) return Close();
  write_deadline_.Clear();
  for (const auto& part : writing_) unsent_bytes_ -= part.size();
  writing_.clear();
  Flush();
  if (phase_ == Phase::kResponding && writing_.empty()) FinishResponse();
}

template <class Stream>
void CallerConnection<Stream>::FinishResponse() {
  if (response_pending_) state_->RemovePendingResponse();
  response_pending_ = false;
  request_ = {};
  if (!response_options_.keep_alive) return Linger();
  phase_ = Phase::kIdle;
  read_deadline_.Set(Millis(state_->options.caller.idle_timeout_ms));
  Parse();
  Read();
}

template <class Stream>
void CallerConnection<Stream>::Linger() {
  if (input_ended_) return Close();
  phase_ = Phase::kLingering;
  buffer_.clear();
  read_deadline_.Set(kLingerTimeout);
  stream_.Shutdown(
      [this, self = this->shared_from_this()](boost::system::error_code /*ec*/) { Read(); });
}

template <class Stream>
void CallerConnection<Stream>::Close() {
  if (phase_ == Phase::kClosed) return;
  const bool awaiting_reply = phase_ == Phase::kAwaitingReply;
  phase_ = Phase::kClosed;
  read_deadline_.Stop();
  write_deadline_.Stop();
  boost::system::error_code ec;
  stream_.Socket().close(ec);
  if (response_pending_) state_->RemovePendingResponse();
  response_pending_ = false;
  state_->RemoveSession(this);
  if (awaiting_reply && state_->TakeRequest(request_)) state_->handlers.on_disconnect(request_);
}

template class CallerConnection<PlainStream>;
template class CallerConnection<TlsStream>;

}  // namespace persimmonstair::net
