#include "target_attempt.hpp"

#include <boost/asio/write.hpp>
#include <utility>

#include "target_request.hpp"

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;
using base::Verdict;
using scheduler::FailureKind;

constexpr std::size_t kReadBufferBytes = 16U << 10U;

std::chrono::steady_clock::duration TimeoutOrDefault(base::Duration stated,
                                                     std::chrono::milliseconds fallback) {
  return stated.count() > 0 ? std::chrono::steady_clock::duration(stated)
                            : std::chrono::steady_clock::duration(fallback);
}

}  // namespace

TargetAttempt::TargetAttempt(std::shared_ptr<TargetClientState> shared_state,
                             std::shared_ptr<TargetPool> pool, scheduler::Dispatch dispatch)
    : shared_state_(std::move(shared_state)),
      pool_(std::move(pool)),
      dispatch_(std::move(dispatch)),
      response_parser_(shared_state_->options,
                       CorrelationId(shared_state_->options, dispatch_.attempt),
                       dispatch_.method == "HEAD"),
      deadline_(pool_->Context()) {}

void TargetAttempt::Start() {
  if (ended_) return;
  deadline_.Bind(weak_from_this(), [this] { OnTimeout(); });
  auto text = SerializeRequest(dispatch_, shared_state_->options);
  const auto endpoint = TargetEndpoint(dispatch_.address, dispatch_.port);
  if (!text || !endpoint) return Fail(FailureKind::kConnectRefused);
  request_text_ = std::move(*text);
  endpoint_ = *endpoint;
  if (!dispatch_.fresh_connection) socket_ = pool_->Acquire(endpoint_);
  if (socket_) {
    send_watch_.emplace(*socket_, shared_state_->options.tcp_user_timeout);
    return Send();
  }
  Connect();
}

void TargetAttempt::Connect() {
  socket_ = std::make_unique<asio::ip::tcp::socket>(pool_->Context());
  boost::system::error_code ec;
  socket_->open(endpoint_.protocol(), ec);
  if (ec) return Fail(FailureKind::kConnectRefused);
  socket_->set_option(asio::ip::tcp::no_delay(true), ec);
  send_watch_.emplace(*socket_, shared_state_->options.tcp_user_timeout);
  send_watch_->OnOpen();
  deadline_.Set(
      TimeoutOrDefault(dispatch_.connect_timeout, shared_state_->options.connect_timeout));
  socket_->async_connect(endpoint_, [self = shared_from_this()](boost::system::error_code failure) {
    self->OnConnected(failure);
  });
}

void TargetAttempt::OnConnected(boost::system::error_code ec) {
  if (ended_) return;
  if (ec) {
    return Fail(ec == asio::error::timed_out ? FailureKind::kConnectTimeout
                                             : FailureKind::kConnectRefused);
  }
  Send();
}

void TargetAttempt::Send() {
  // From here on bytes may leave the process, even if the write reports an error.
  write_started_ = true;
  deadline_.Set(
      TimeoutOrDefault(dispatch_.first_byte_timeout, shared_state_->options.first_byte_timeout));
  send_watch_->OnWrite();
  asio::async_write(*socket_, asio::buffer(request_text_),
                    [self = shared_from_this()](boost::system::error_code ec,
                                                std::size_t /*size*/) { self->OnSent(ec); });
  Read();
}

void TargetAttempt::OnSent(boost::system::error_code ec) {
  if (ended_) return;
  request_sent_ = !ec;
  // A target may reject a request before it has read all of it. If its response has started, it is
  // still read.
  if (ec && !response_started_) Fail(FailureKind::kConnectionClosed);
}

void TargetAttempt::Read() {
  socket_->async_read_some(
      buffer_.prepare(kReadBufferBytes),
      [self = shared_from_this()](boost::system::error_code ec, std::size_t size) {
        self->OnRead(ec, size);
      });
}

void TargetAttempt::OnRead(boost::system::error_code ec, std::size_t size) {
  if (ended_) return;
  if (ec) {
    if (ec != asio::error::eof) return Fail(FailureKind::kConnectionClosed);
    switch (response_parser_.OnConnectionEnd()) {
      case TargetResponseParser::State::kDone:
        return Succeed();
      case TargetResponseParser::State::kMalformed:
        return Fail(FailureKind::kMalformedAnswer);
      default:
        return Fail(FailureKind::kConnectionClosed);
    }
  }
  buffer_.commit(size);
  deadline_.Set(TimeoutOrDefault(dispatch_.between_bytes_timeout,
                                 shared_state_->options.between_bytes_timeout));
  if (!response_started_) {
    response_started_ = true;
    shared_state_->handlers.on_first_byte({dispatch_.attempt});
  }
  ParseBuffer();
}

void TargetAttempt::ParseBuffer() {
  const auto state = response_parser_.Add(buffer_);
  RelayEvents();
  switch (state) {
    case TargetResponseParser::State::kNeedMore:
      return Read();
    case TargetResponseParser::State::kDone:
      return Succeed();
    default:
      return Fail(FailureKind::kMalformedAnswer);
  }
}

void TargetAttempt::RelayEvents() {
  std::string events = response_parser_.TakeEvents();
  if (!dispatch_.relay || events.empty()) return;
  relayed_ = true;
  shared_state_->handlers.relay(dispatch_.request, std::move(events));
}

void TargetAttempt::OnTimeout() {
  if (!write_started_) return Fail(FailureKind::kConnectTimeout);
  Fail(response_started_ ? FailureKind::kBetweenBytesTimeout : FailureKind::kFirstByteTimeout);
}

void TargetAttempt::Cancel() { Fail(FailureKind::kCancelled); }

void TargetAttempt::Drop() {
  ended_ = true;
  Close();
}

void TargetAttempt::Succeed() {
  ended_ = true;
  const bool reusable = response_parser_.Reusable() && request_sent_ && buffer_.size() == 0;
  deadline_.Stop();
  send_watch_.reset();
  if (reusable) {
    pool_->Release(endpoint_, std::move(socket_));
  } else {
    Close();
  }
  if (!shared_state_->Remove(dispatch_.attempt)) return;
  auto done = response_parser_.TakeDone();
  done.attempt = dispatch_.attempt;
  shared_state_->handlers.on_done(std::move(done));
}

void TargetAttempt::Fail(FailureKind kind) {
  if (ended_) return;
  ended_ = true;
  Close();
  if (!shared_state_->Remove(dispatch_.attempt)) return;
  const auto verdict = write_started_ ? Verdict::kMayHaveRun : Verdict::kNotRun;
  shared_state_->handlers.on_failed({dispatch_.attempt, kind, verdict, relayed_});
}

void TargetAttempt::Close() {
  deadline_.Stop();
  send_watch_.reset();
  boost::system::error_code ec;
  if (socket_) socket_->close(ec);
}

}  // namespace persimmonstair::net
